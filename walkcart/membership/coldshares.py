"""The shares of cold leafs' bounds that this instance holds.

The bound of each cold leaf of a data centre is cut into a few shares. A share is a key
in the shared store that hangs on the lease of the instance that holds it, so that never
two hold one, whatever views of the fleet there are. The store may take a key away
without a word to its holder. So a holder that wants to use its share reads its key
first, and trusts that for a short time; whoever takes a share that became free waits
for that time, and for the window of the bound, before it sends anything.

While no service has a bound nothing is stored; while no leaf is cold nothing is read.

See Also:
    `walkcart.routing.coldleaves`, for what a share stands for.
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

#: Start of the keys; a data centre and the number of a share follow.
SHARE_PREFIX = "walkcart/cold/"
#: Shares of each data centre: as many as gather in it at the least, so that one that
#: ended leaves two thirds in use until its key is gone.
SHARES = 3
#: Seconds for which a reading that showed the key is trusted. Four looks, so that one
#: slow call of the store does no harm; a free share is unused for as long.
TRUST = 2.0
#: Seconds between two looks at what is to be taken or read.
LOOK = 0.5
#: Seconds before shares that others hold are tried for again; doubles to the longest.
FIRST_RETRY = 2.0
LONGEST_RETRY = 60.0


@dataclass(frozen=True, slots=True)
class HeldShare:
    """A share that this instance has taken.

    Args:
        share: which one.
        key: that says so.
        revision: of the key.
        lease: that it hangs on.
        usable_from: when no former holder uses it any more, in seconds.
    """

    share: ColdShare
    key: str
    revision: int
    lease: Lease
    usable_from: float


@dataclass(frozen=True, slots=True)
class ColdShareDemand:
    """Which shares are of use.

    Args:
        find_bounded: returns the data centres with leafs that have a bound.
        find_cold: returns those among them with leafs that are cold now.
        rank: returns the instances that are to hold a data centre's shares, in order.
    """

    find_bounded: Callable[[], frozenset[str]]
    find_cold: Callable[[], frozenset[str]]
    rank: Callable[[str], list[str]]


class ColdShares:
    """Takes shares of cold leafs' bounds and says which of them may be used.

    Args:
        store: the shared store.
        registration: of this instance, for its name and its lease.
        needs: which shares are of use.
        clock: source of time.
        events: where shares that come and go are logged.
    """

    def __init__(
        self,
        store: SharedStore,
        registration: Registration,
        needs: ColdShareDemand,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._store = store
        self._registration = registration
        self._needs = needs
        self._clock = clock
        self._events = events
        self._held: dict[str, HeldShare] = {}
        self._trusted_until: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._retry: dict[str, float] = {}

    def find_share(self, data_centre: str) -> ColdShare | None:
        """Return the share of a data centre's cold leafs that may be used now."""
        held = self._held.get(data_centre)
        now = self._clock.monotonic()
        if held is None or now < held.usable_from:
            return None
        if now >= self._trusted_until.get(data_centre, float("-inf")):
            return None
        return held.share

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Take shares and read their keys, until cancelled."""
        task_status.started()
        while True:
            with suppress(StoreUnavailable):
                # Logged by the calls, which know whether it is the first failure.
                await self.refresh()
            await trio.sleep(LOOK)

    async def refresh(self) -> None:
        """Take the shares that this instance is to hold, and see to those it uses.

        Raises:
            StoreUnavailable: the store has no usable reply.
        """
        self._drop_ended()
        for data_centre in sorted(self._needs.find_cold() & set(self._held)):
            await self._confirm(data_centre)
        for data_centre in sorted(self._needs.find_bounded() - set(self._held)):
            if self._may_try(data_centre):
                await self._try_all(data_centre)

    def _drop_ended(self) -> None:
        """Forget the shares whose lease this instance no longer has."""
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

    async def _confirm(self, data_centre: str) -> None:
        """Read whether the key of a share is still there."""
        held = self._held[data_centre]
        asked_at = self._clock.monotonic()
        if asked_at < self._trusted_until.get(data_centre, 0.0) - TRUST / 2:
            return
        page = await self._store.list_items(held.key, "", fresh=True)
        revisions = {item.key: item.revision for item in page.items}
        if revisions.get(held.key) == held.revision:
            self._trusted_until[data_centre] = asked_at + TRUST
        else:
            self._lose(data_centre, "the key is gone")

    def _may_try(self, data_centre: str) -> bool:
        if self._registration.lease is None:
            return False
        if self._clock.monotonic() < self._retry_at.get(data_centre, 0.0):
            return False
        own = self._registration.own.name
        return own in self._needs.rank(data_centre)[:SHARES]

    async def _try_all(self, data_centre: str) -> None:
        """Take a share of a data centre, this instance's own number first."""
        first = self._needs.rank(data_centre).index(self._registration.own.name)
        for step in range(SHARES):
            share = ColdShare((first + step) % SHARES, SHARES)
            if await self._try(data_centre, share):
                self._retry.pop(data_centre, None)
                return
        retry = self._retry.get(data_centre, FIRST_RETRY)
        self._retry_at[data_centre] = self._clock.monotonic() + retry
        self._retry[data_centre] = min(LONGEST_RETRY, retry * 2)

    async def _try(self, data_centre: str, share: ColdShare) -> bool:
        """Take one share; return whether it is this instance's."""
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
                    # An answer that was lost may have been of a call that was done.
                    self._take(data_centre, share, item, lease)
                    return True
                if item.lease == lease.id and item.value < value:
                    # Of a life that began earlier; the new revision tells that one,
                    # should it go on.
                    expected = ((key, item.revision),)
                    outcome = await self._store.commit(Transaction(expected, (put,)))
        if isinstance(outcome, Committed):
            item = Item(key, value, outcome.revision)
            self._take(data_centre, share, item, lease)
            return True
        return False

    def _take(
        self, data_centre: str, share: ColdShare, item: Item, lease: Lease
    ) -> None:
        """Hold a share whose key is stored; it is used once no former holder is."""
        usable_from = self._clock.monotonic() + TRUST + WINDOW + WINDOW_MARGIN
        self._held[data_centre] = HeldShare(
            share, item.key, item.revision, lease, usable_from
        )
        self._events.emit(
            Events.COLD_SHARE_TAKEN, data_centre=data_centre, share=share.index
        )
