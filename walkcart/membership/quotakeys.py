"""The keys that name the accountants of the rate limits.

A key hangs on a lease of its own, so that an instance which lives keeps its share
whatever becomes of its registration.

See Also:
    `walkcart.membership.quotashares`, which decides who tries to take one, and when.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from walkcart.kernel.clock import Clock
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

#: Start of the keys; the number of a share follows.
QUOTA_PREFIX = "walkcart/quota/"
#: Life of the lease: a silent store of several seconds is ridden out, and a lost
#: accountant's share is unused for as long.
LEASE_TIME = timedelta(seconds=8)
#: Seconds by which the lease outlasts the window of the limits at the least: a key that
#: ran out was taken more than a window ago.
LEASE_MARGIN = 3.0
#: Seconds from the grant of a lease to the key on it at the most, for the same reason.
TAKE_TIME = 2.0
#: Seconds kept back from a lease: clocks run apart, and a grant takes its time.
USE_MARGIN = 0.5


class QuotaKey(msgspec.Struct, frozen=True):
    """What is stored for a share.

    Args:
        holder: name of the accountant; empty when it gave the share up.
        started: names the accountant's process life.
        starts: takings that followed each other within a window, this one included.
    """

    holder: str
    started: str
    starts: int


@dataclass(frozen=True, slots=True)
class StoredKey:
    """A key as it was read or written.

    Args:
        key: what is stored.
        revision: of it.
    """

    key: QuotaKey
    revision: int


@dataclass(frozen=True, slots=True)
class TakenKey:
    """A key that says that this instance accounts a share.

    Args:
        stored: the key.
        lease: that it hangs on.
        until: to when the lease surely lasts, in seconds.
    """

    stored: StoredKey
    lease: Lease
    until: float


def read_key(item: Item) -> StoredKey:
    """Return a stored item as a key.

    Raises:
        msgspec.MsgspecError: it isn't one.
    """
    return StoredKey(msgspec.json.decode(item.value, type=QuotaKey), item.revision)


def read_share(key: str) -> int | None:
    """Return the share that a key stands for, or None."""
    number = key.removeprefix(QUOTA_PREFIX)
    return int(number) if number.isdecimal() else None


class QuotaKeys:
    """Takes, renews and gives up keys.

    Args:
        store: the shared store.
        own: this instance.
        clock: source of time.
        window: of the limits, in seconds.
    """

    def __init__(
        self, store: SharedStore, own: InstanceRecord, clock: Clock, window: float
    ) -> None:
        self._store = store
        self._own = own
        self._clock = clock
        lease_time = max(LEASE_TIME.total_seconds(), window + LEASE_MARGIN)
        self._lease_time = timedelta(seconds=lease_time)

    async def read(self, share: int) -> StoredKey | None:
        """Return what is stored for a share now.

        Raises:
            StoreUnavailable: the store has no usable reply.
            msgspec.MsgspecError: what is stored isn't a key.
        """
        name = QUOTA_PREFIX + str(share)
        page = await self._store.list_items(name, "", fresh=True)
        found = [item for item in page.items if item.key == name]
        return read_key(found[0]) if found else None

    def is_free(self, stored: StoredKey | None) -> bool:
        """Return whether this instance may take a share with such a key.

        The key of a former life of this instance is free: that life has ended.
        """
        return stored is None or stored.key.holder in ("", self._own.name)

    def is_own(self, stored: StoredKey) -> bool:
        """Return whether a key was stored by this life of this instance."""
        own = (self._own.name, self._own.started)
        return (stored.key.holder, stored.key.started) == own

    async def take(self, share: int, stored: StoredKey | None) -> TakenKey | None:
        """Take a share that is free; return None if it wasn't any more.

        Args:
            share: which one.
            stored: its present key, if any.

        Raises:
            StoreUnavailable: the store has no usable reply.
        """
        sent_at = self._clock.monotonic()
        lease = await self._store.grant_lease(self._lease_time)
        starts = min(stored.key.starts, MAX_STARTS) + 1 if stored else 1
        key = QuotaKey(self._own.name, self._own.started, starts)
        expected = stored.revision if stored else ABSENT
        revision = await self._put(share, key, expected, lease)
        if revision is None or self._clock.monotonic() > sent_at + TAKE_TIME:
            return None
        return TakenKey(StoredKey(key, revision), lease, _end(lease, sent_at))

    async def renew(self, taken: TakenKey) -> TakenKey | None:
        """Renew a key's lease; return None if it is over.

        Raises:
            StoreUnavailable: the store has no usable reply.
        """
        sent_at = self._clock.monotonic()
        renewed = await self._store.renew_lease(taken.lease)
        if isinstance(renewed, LeaseNotFound):
            return None
        until = max(taken.until, _end(renewed, sent_at))
        return TakenKey(taken.stored, renewed, until)

    async def settle(self, share: int, taken: TakenKey) -> TakenKey | None:
        """Store that a share was held for a window; return None if it is lost.

        Raises:
            StoreUnavailable: the store has no usable reply.
        """
        key = QuotaKey(self._own.name, self._own.started, 0)
        revision = await self._put(share, key, taken.stored.revision, taken.lease)
        if revision is None:
            return None
        return TakenKey(StoredKey(key, revision), taken.lease, taken.until)

    async def give_up(self, share: int, taken: TakenKey) -> int | None:
        """Store that a share is free; return the key's revision, None if it failed.

        The key stays until its lease ends, so that whoever takes it knows its starts.
        """
        key = QuotaKey("", "", taken.stored.key.starts)
        try:
            return await self._put(share, key, taken.stored.revision, taken.lease)
        except StoreUnavailable:
            # Logged by the calls. The key runs out with its lease.
            return None

    async def _put(
        self, share: int, key: QuotaKey, expected: int, lease: Lease
    ) -> int | None:
        """Store a key in place of a revision; return None if that isn't there."""
        name = QUOTA_PREFIX + str(share)
        put = Put(name, msgspec.json.encode(key), lease.id)
        outcome = await self._store.commit(Transaction(((name, expected),), (put,)))
        return outcome.revision if isinstance(outcome, Committed) else None


def _end(lease: Lease, sent_at: float) -> float:
    return sent_at + lease.time_to_live.total_seconds() - USE_MARGIN
