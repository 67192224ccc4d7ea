"""The stored keys that name the accountants of the shares of rate limits.

Each key is attached to a lease of its own, so that a running instance keeps its share
whatever happens to its registration.

See Also:
    `walkcart.membership.quotashares`, which decides when to take a share.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from walkcart.kernel.clock import Clock
from walkcart.kernel.decoding import Count, JsonDecoder
from walkcart.kernel.numbers import read_number
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.routing.quotas import MAX_STARTS
from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import (
    ABSENT,
    Committed,
    Item,
    Lease,
    LeaseNotFound,
    Put,
    SharedStore,
    Transaction,
)

#: Prefix of the keys; the number of the share follows.
QUOTA_PREFIX = "walkcart/quota/"
#: Shortest lease. An accountant survives an outage of the store of several seconds; the
#: share of an accountant that died is unused for as long.
MIN_LEASE_TTL = timedelta(seconds=8)
#: Minimum number of seconds by which a lease is longer than the window of the limits,
#: so that an expired key was taken more than a window ago.
MIN_LEASE_MARGIN = 3.0
#: Maximum time in seconds from the request for a lease until the key is stored. It is
#: shorter than `MIN_LEASE_MARGIN`, so that this holds for a key that was stored late.
TAKE_TIMEOUT = 2.0
#: Seconds before the end of its lease at which a share stops being used, since clocks
#: drift and a grant takes some time.
EXPIRY_MARGIN = 0.5


class QuotaKey(msgspec.Struct, frozen=True):
    """The value that is stored for a share.

    Args:
        holder: the name of the accountant; empty if it released the share.
        started: identifies the process of the accountant.
        starts: how many times in a row the share was taken, each within a window of
            the time before; counts this time too.
    """

    holder: str
    started: str
    starts: Count


_KEY = JsonDecoder(QuotaKey)


@dataclass(frozen=True, slots=True)
class StoredKey:
    """A key that was read or written.

    Args:
        key: the stored value.
        revision: the revision of the key.
    """

    key: QuotaKey
    revision: int


@dataclass(frozen=True, slots=True)
class TakenKey:
    """A key that names this instance as the accountant of a share.

    Args:
        stored: the key.
        lease: the lease that the key is attached to.
        until: the time until which the lease certainly lasts, in seconds.
    """

    stored: StoredKey
    lease: Lease
    until: float


def decode_key(item: Item) -> StoredKey:
    """Return the key in a stored item.

    Raises:
        walkcart.kernel.decoding.BadData: the value is not a valid key.
    """
    return StoredKey(_KEY.decode(item.value), item.revision)


def parse_share(key: str) -> int | None:
    """Return the number of the share in the name of a key, or None."""
    return read_number(key.removeprefix(QUOTA_PREFIX))


class QuotaKeys:
    """Takes, renews and releases the keys of shares.

    Args:
        store: the shared store.
        own: the record of this instance.
        clock: source of time.
        window: the window of the limits, in seconds.
    """

    def __init__(
        self, store: SharedStore, own: InstanceRecord, clock: Clock, window: float
    ) -> None:
        self._store = store
        self._own = own
        self._clock = clock
        lease_ttl = max(MIN_LEASE_TTL.total_seconds(), window + MIN_LEASE_MARGIN)
        self._lease_ttl = timedelta(seconds=lease_ttl)

    async def read(self, share: int) -> StoredKey | None:
        """Return the stored key of a share, or None.

        Raises:
            StoreUnavailable: the store gave no usable reply.
            walkcart.kernel.decoding.BadData: the value is not a valid key.
        """
        name = QUOTA_PREFIX + str(share)
        page = await self._store.list_items(name, "", fresh=True)
        found = [item for item in page.items if item.key == name]
        return decode_key(found[0]) if found else None

    def is_free(self, stored: StoredKey | None) -> bool:
        """Return whether this instance may take a share with the given key.

        The key of an earlier process of this instance is free: that process has ended.
        """
        return stored is None or stored.key.holder in ("", self._own.name)

    def is_own(self, stored: StoredKey) -> bool:
        """Return whether a key was stored by this process."""
        own = (self._own.name, self._own.started)
        return (stored.key.holder, stored.key.started) == own

    async def take(self, share: int, stored: StoredKey | None) -> TakenKey | None:
        """Take a free share.

        Args:
            share: the share.
            stored: the present key of the share, if any.

        Returns:
            The new key, or None if the key had changed or the call took too long.

        Raises:
            StoreUnavailable: the store gave no usable reply.
        """
        sent_at = self._clock.monotonic()
        lease = await self._store.grant_lease(self._lease_ttl)
        starts = min(stored.key.starts, MAX_STARTS) + 1 if stored else 1
        key = QuotaKey(self._own.name, self._own.started, starts)
        expected = stored.revision if stored else ABSENT
        revision = await self._put(share, key, expected, lease)
        if revision is None or self._clock.monotonic() > sent_at + TAKE_TIMEOUT:
            return None
        return TakenKey(StoredKey(key, revision), lease, _find_expiry(lease, sent_at))

    async def renew(self, taken: TakenKey) -> TakenKey | None:
        """Renew the lease of a key; return None if it has ended.

        Raises:
            StoreUnavailable: the store gave no usable reply.
        """
        sent_at = self._clock.monotonic()
        renewed = await self._store.renew_lease(taken.lease)
        if isinstance(renewed, LeaseNotFound):
            return None
        until = max(taken.until, _find_expiry(renewed, sent_at))
        return TakenKey(taken.stored, renewed, until)

    async def settle(self, share: int, taken: TakenKey) -> TakenKey | None:
        """Reset the count of starts of a share that was held for a whole window.

        Returns:
            The new key, or None if the share is lost.

        Raises:
            StoreUnavailable: the store gave no usable reply.
        """
        key = QuotaKey(self._own.name, self._own.started, 0)
        revision = await self._put(share, key, taken.stored.revision, taken.lease)
        if revision is None:
            return None
        return TakenKey(StoredKey(key, revision), taken.lease, taken.until)

    async def release(self, share: int, taken: TakenKey) -> int | None:
        """Store that a share is free; return the new revision, None if that failed.

        The key stays until its lease ends, so that its next holder knows its starts.
        """
        key = QuotaKey("", "", taken.stored.key.starts)
        try:
            return await self._put(share, key, taken.stored.revision, taken.lease)
        except StoreUnavailable:
            # Logged by `StoreCalls`. The key expires with its lease.
            return None

    async def _put(
        self, share: int, key: QuotaKey, expected: int, lease: Lease
    ) -> int | None:
        """Replace the `expected` revision of a key; return None if it has changed."""
        name = QUOTA_PREFIX + str(share)
        put = Put(name, msgspec.json.encode(key), lease.id)
        outcome = await self._store.commit(Transaction(((name, expected),), (put,)))
        return outcome.revision if isinstance(outcome, Committed) else None


def _find_expiry(lease: Lease, sent_at: float) -> float:
    return sent_at + lease.time_to_live.total_seconds() - EXPIRY_MARGIN
