"""The shares of the request bounds on cold leaves that this instance holds.

The bound on each cold leaf of a data centre is divided into a few shares. A share is a
key in the shared store, attached to the lease of its holder. So no two instances hold
the same share, however their views of the fleet differ. The store may delete a key
without notice to its holder. A holder therefore reads its key before it uses the share
and trusts that read for a short time. An instance that takes a free share waits for
that time, and for the window of the bound, before it sends any request.

Nothing is stored while no service has a bound, and nothing is read while no leaf is
cold.

See Also:
    `walkcart.routing.coldleaves`, which defines the bounds.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.registration import Registration
from walkcart.routing.coldleaves import WINDOW, WINDOW_MARGIN, ColdShare
from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import (
    ABSENT,
    Committed,
    Item,
    Lease,
    Put,
    Rejected,
    SharedStore,
    Transaction,
)

#: Prefix of the keys; the data centre and the number of the share follow.
SHARE_PREFIX = "walkcart/cold/"
#: Shares of each data centre. At least this many instances gather answers in each, so
#: when a holder dies two thirds stay in use until its key is gone.
SHARE_COUNT = 3
#: Seconds for which a read that found the key is trusted. This is four refresh
#: intervals, so that one slow call to the store does no harm. A share that became free
#: stays unused for as long.
KEY_TRUST_TIME = 2.0
#: Seconds between two calls of `ColdShares.refresh`.
REFRESH_INTERVAL = 0.5
#: Seconds before the instance tries again to take shares that others hold. Doubles
#: after each attempt, up to the maximum.
MIN_RETRY_INTERVAL = 2.0
MAX_RETRY_INTERVAL = 60.0


@dataclass(frozen=True, slots=True)
class HeldShare:
    """A share that this instance has taken.

    Args:
        share: the index of the share and the number of shares.
        key: the share's key in the store.
        revision: the revision of the key.
        lease: the lease that the key is attached to.
        usable_from: the time after which no former holder uses the share, in seconds.
    """

    share: ColdShare
    key: str
    revision: int
    lease: Lease
    usable_from: float


@dataclass(frozen=True, slots=True)
class ColdShareDemand:
    """Functions that tell which shares are needed and who should hold them.

    Args:
        find_bounded: returns the data centres that have leaves with a bound.
        find_cold: returns those of them that have cold leaves now.
        rank: returns the names of the instances of a data centre that should hold its
            shares, by rank.
    """

    find_bounded: Callable[[], frozenset[str]]
    find_cold: Callable[[], frozenset[str]]
    rank: Callable[[str], list[str]]


class ColdShares:
    """Takes shares of the bounds on cold leaves and tells which may be used now.

    Args:
        store: the shared store.
        registration: the registration of this instance, for its name and its lease.
        demand: tells which shares are needed and who should hold them.
        clock: source of time.
        events: log of shares taken and lost.
    """

    def __init__(
        self,
        store: SharedStore,
        registration: Registration,
        demand: ColdShareDemand,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._store = store
        self._registration = registration
        self._demand = demand
        self._clock = clock
        self._events = events
        self._held: dict[str, HeldShare] = {}
        self._trusted_until: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._retry_intervals: dict[str, float] = {}

    def find_share(self, data_centre: str) -> ColdShare | None:
        """Return the share of a data centre that may be used now, or None."""
        held = self._held.get(data_centre)
        now = self._clock.monotonic()
        if held is None or now < held.usable_from:
            return None
        if now >= self._trusted_until.get(data_centre, float("-inf")):
            return None
        return held.share

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Take shares and check their keys, until cancelled."""
        task_status.started()
        while True:
            with suppress(StoreUnavailable):
                # `StoreCalls` logs the first failure of a series.
                await self.refresh()
            await trio.sleep(REFRESH_INTERVAL)

    async def refresh(self) -> None:
        """Take the shares that this instance should hold and check those in use.

        Raises:
            StoreUnavailable: the store gave no usable reply.
        """
        self._drop_ended()
        for data_centre in sorted(self._demand.find_cold() & set(self._held)):
            await self._check_key(data_centre)
        for data_centre in sorted(self._demand.find_bounded() - set(self._held)):
            if self._may_take(data_centre):
                await self._take_any(data_centre)

    def _drop_ended(self) -> None:
        """Drop the shares that are attached to a lease this instance no longer has."""
        lease = self._registration.lease
        for data_centre, held in list(self._held.items()):
            if lease is None or held.lease.id != lease.id:
                self._lose(data_centre, "the lease ended")

    def _lose(self, data_centre: str, reason: str) -> None:
        del self._held[data_centre]
        self._trusted_until.pop(data_centre, None)
        self._events.emit(
            Events.COLD_SHARE_LOST, data_centre=data_centre, reason=reason
        )

    async def _check_key(self, data_centre: str) -> None:
        """Read whether the key of a held share still exists; drop the share if not.

        Does nothing if the key was found less than half of `KEY_TRUST_TIME` ago.
        """
        held = self._held[data_centre]
        asked_at = self._clock.monotonic()
        if asked_at < self._trusted_until.get(data_centre, 0.0) - KEY_TRUST_TIME / 2:
            return
        page = await self._store.list_items(held.key, "", fresh=True)
        revisions = {item.key: item.revision for item in page.items}
        if revisions.get(held.key) == held.revision:
            self._trusted_until[data_centre] = asked_at + KEY_TRUST_TIME
        else:
            self._lose(data_centre, "the key is gone")

    def _may_take(self, data_centre: str) -> bool:
        if self._registration.lease is None:
            return False
        if self._clock.monotonic() < self._retry_at.get(data_centre, 0.0):
            return False
        own = self._registration.own.name
        return own in self._demand.rank(data_centre)[:SHARE_COUNT]

    async def _take_any(self, data_centre: str) -> None:
        """Take any share of a data centre, beginning at this instance's rank."""
        preferred = self._demand.rank(data_centre).index(self._registration.own.name)
        for step in range(SHARE_COUNT):
            share = ColdShare((preferred + step) % SHARE_COUNT, SHARE_COUNT)
            if await self._take(data_centre, share):
                self._retry_intervals.pop(data_centre, None)
                return
        interval = self._retry_intervals.get(data_centre, MIN_RETRY_INTERVAL)
        self._retry_at[data_centre] = self._clock.monotonic() + interval
        self._retry_intervals[data_centre] = min(MAX_RETRY_INTERVAL, interval * 2)

    async def _take(self, data_centre: str, share: ColdShare) -> bool:
        """Try to take a share; return whether this instance holds it now."""
        lease = self._registration.lease
        if lease is None:
            return False
        key = f"{SHARE_PREFIX}{data_centre}/{share.index}"
        own = self._registration.own
        value = f"{own.name} {own.started}".encode()
        put = Put(key, value, lease.id)
        outcome = await self._store.commit(Transaction(((key, ABSENT),), (put,)))
        if isinstance(outcome, Rejected):
            for item in outcome.present:
                if item.value == value:
                    # An earlier call succeeded, but its reply was lost.
                    self._hold(data_centre, share, item, lease)
                    return True
                if item.lease == lease.id and item.value < value:
                    # Stored by an earlier process of this instance. The new revision
                    # takes the share away from it, in case it is still running.
                    expected = ((key, item.revision),)
                    outcome = await self._store.commit(Transaction(expected, (put,)))
        if isinstance(outcome, Committed):
            item = Item(key, value, outcome.revision)
            self._hold(data_centre, share, item, lease)
            return True
        return False

    def _hold(
        self, data_centre: str, share: ColdShare, item: Item, lease: Lease
    ) -> None:
        """Hold a share whose key is stored, unused until no former holder uses it."""
        usable_from = self._clock.monotonic() + KEY_TRUST_TIME + WINDOW + WINDOW_MARGIN
        self._held[data_centre] = HeldShare(
            share, item.key, item.revision, lease, usable_from
        )
        self._events.emit(
            Events.COLD_SHARE_TAKEN, data_centre=data_centre, share=share.index
        )
