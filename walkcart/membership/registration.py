"""This instance's key in the shared store, and those of the others.

Each instance stores a key that hangs on a lease of its own and renews the lease; the
keys tell the instances of each other. The renewals are also what notices a store that
went silent, since watches wait long.

The number of instances that divide connections and budgets never shrinks at once: a
key can vanish while its instance lives on.

See Also:
    `walkcart.store.items.SharedStore`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.instancekeys import KeyReader
from walkcart.membership.instancerecord import INSTANCE_PREFIX, InstanceRecord
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.items import (
    NO_LEASE,
    Committed,
    Item,
    Lease,
    LeaseNotFound,
    Put,
    SharedStore,
    Transaction,
)

#: Life of the lease: an instance that died is forgotten after this. A living one tries
#: a renewal that failed again for 10 s before it loses its key.
LEASE_TIME = timedelta(seconds=15)
#: Between two renewals while there are few instances. A silent store is noticed after
#: this and the time limit of a call.
RENEW_INTERVAL = timedelta(seconds=1)
#: Renewals a second of all instances together, but for those that watch the store:
#: past it each renews less often.
FLEET_RENEWALS = 10.0
#: A lease is replaced when one this many times as long is wanted.
LEASE_SLACK = 3.0
#: Seconds that an instance lives before that. A replaced lease costs three calls and a
#: renewal a tenth of one, so that in a fleet of 195 it pays after 140 s; replaced at
#: once it took three of the 11.5 calls of each instance at such a fleet's start. All of
#: these are worked out, but for the 11.5, which were counted.
REPLACING_AGE = 140.0
#: Leases outlast this many renewals.
RENEWALS_PER_LEASE = 3
#: Longest pause between two tries while the store doesn't serve this instance, times
#: that of those that watch: it is fed, and only its lease waits, for seconds yet.
FED_PATIENCE = 2.0
#: Between two readings of the others' keys, in renewals.
READ_EVERY = 3
#: Seconds from the first reading to the second: instances that start together have
#: stored their keys by then.
SECOND_READ = 0.5
#: How long an instance that vanished still counts: it may live on, cut off from the
#: store, with its connections open and its repeats within the budgets' window.
COUNT_MEMORY = timedelta(seconds=20)


@dataclass(frozen=True, slots=True)
class Registered:
    """A stored key and the lease that it hangs on."""

    lease: Lease


class Registration:
    """Stores this instance's key and reads the others'.

    Args:
        store: the shared store.
        calls: tell when the store doesn't serve this instance.
        own: what to store.
        clock: source of time.
        backoff: waits after failures.
        events: where changes are logged.
    """

    def __init__(
        self,
        store: SharedStore,
        calls: StoreCalls,
        own: InstanceRecord,
        clock: Clock,
        backoff: Backoff,
        events: EventLog,
    ) -> None:
        self._store = store
        self.own = own
        self._clock = clock
        self._backoff = backoff
        self._events = events
        self._others: dict[str, InstanceRecord] = {}
        self._counts: deque[tuple[float, int]] = deque()
        self._registered: Registered | None = None
        self._turn = 0
        self._began_at = clock.monotonic()
        self._left = False
        self._prompted = trio.Event()
        calls.on_unreachable(self.renew_soon)
        self._watches: Callable[[], bool] = lambda: True
        self._listeners: list[Callable[[], None]] = []
        self._keys = KeyReader(store, own.name, events)

    def add_prefix_reader(self, prefix: str, reader: Callable[[Item], None]) -> None:
        """Give `reader` the items of another prefix below the shared one.

        They come with the keys of the instances, each time these are read.
        """
        self._keys.add(prefix, reader)

    @property
    def is_settled(self) -> bool:
        """Whether the others were read twice: those that start together are known."""
        return self._turn > 1

    @property
    def lease(self) -> Lease | None:
        """The lease that this instance's key hangs on; None without one."""
        return self._registered.lease if self._registered else None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after instances came or went."""
        self._listeners.append(listener)

    def others(self) -> tuple[InstanceRecord, ...]:
        """Return the other instances whose keys were read last."""
        return tuple(self._others.values())

    def find(self, name: str) -> InstanceRecord | None:
        """Return the other instance called `name`, or None."""
        return self._others.get(name)

    def count(self) -> int:
        """Return the instances to divide by: the most of late, this one included."""
        limit = self._clock.monotonic() - COUNT_MEMORY.total_seconds()
        while self._counts and self._counts[0][0] < limit:
            self._counts.popleft()
        return max((count for _, count in self._counts), default=len(self._others) + 1)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Keep the key stored until cancelled."""
        task_status.started()
        while not self._left:
            try:
                await self._keep()
                self._backoff.reset()
                await self._rest()
            except StoreUnavailable:
                # Logged by the calls, which know whether it is the first failure.
                pause = self._backoff.next_delay().total_seconds()
                if not self._watches():
                    pause *= FED_PATIENCE
                await trio.sleep(pause)

    async def _rest(self) -> None:
        """Wait until the lease is to be renewed, or the store to be tried.

        Nothing else tries whether a store that failed is back: a renewal is the
        cheapest call, and one of each instance is enough.
        """
        early = self._turn <= 1
        pause = SECOND_READ if early else self._interval()
        with trio.move_on_after(pause):
            await self._prompted.wait()
        self._prompted = trio.Event()

    def renew_soon(self) -> None:
        """Renew the lease at once, to see whether the store serves this instance."""
        self._prompted.set()

    async def deregister(self) -> None:
        """End the lease, so that the others learn of a planned stop at once."""
        self._left = True
        if self._registered is None:
            return
        try:
            await self._store.end_lease(self._registered.lease)
        except StoreUnavailable as error:
            self._events.emit(Events.STORE_FAILED, detail=f"lease not ended: {error}")
        self._registered = None

    def set_watching_check(self, is_watching: Callable[[], bool]) -> None:
        """Renew often while `is_watching` says that this instance watches the store."""
        self._watches = is_watching

    def _interval(self) -> float:
        """Return the seconds between renewals: the fleet's rate stays bounded."""
        least = RENEW_INTERVAL.total_seconds()
        if self._watches():
            return least
        wanted = max(least, (len(self._others) + 1) / FLEET_RENEWALS)
        if self._registered is None:
            return wanted
        granted = self._registered.lease.time_to_live.total_seconds()
        return min(wanted, granted / RENEWALS_PER_LEASE)

    def _lease_time(self) -> timedelta:
        interval = (len(self._others) + 1) / FLEET_RENEWALS
        renewals = timedelta(seconds=interval * RENEWALS_PER_LEASE)
        return max(LEASE_TIME, renewals)

    async def _keep(self) -> None:
        """Renew the lease or store the key anew; read the others now and then."""
        if self._registered is None:
            # The cheapest call goes first, since the store may be away.
            left_over = await self._read_others()
            lease = await self._take_over(left_over) or await self._grant()
            self._registered = await self._register(lease)
        else:
            await self._renew(self._registered.lease)
            if self._turn % READ_EVERY == 0 or self._turn == 1:
                await self._check_key()
        self._turn += 1

    async def _renew(self, lease: Lease) -> None:
        """Renew the lease, or replace it by one that fits a fleet that grew."""
        if isinstance(await self._store.renew_lease(lease), LeaseNotFound):
            self._lose("the lease ended")
        elif self._wants_longer_lease(lease):
            await self._store.end_lease(lease)
            self._registered = await self._register(await self._grant())

    async def _check_key(self) -> None:
        """Read the others, and whether this instance's own key is still there."""
        own = await self._read_others()
        # A fresh key may be missing from a stale reading; not from the second one.
        if own is None and self._turn >= READ_EVERY and self._registered is not None:
            self._lose("the key is gone")

    def _wants_longer_lease(self, lease: Lease) -> bool:
        """Return whether renewing seldom is worth the calls of another lease."""
        age = self._clock.monotonic() - self._began_at
        longer = self._lease_time() > lease.time_to_live * LEASE_SLACK
        return longer and age >= REPLACING_AGE

    async def _grant(self) -> Lease:
        return await self._store.grant_lease(self._lease_time())

    async def _take_over(self, left_over: Item | None) -> Lease | None:
        """Return the lease of this instance's former life, if it goes on.

        A renewal costs a tenth of what granting another one does.
        """
        if left_over is None or left_over.lease == NO_LEASE:
            return None
        lease = Lease(left_over.lease, LEASE_TIME)
        renewed = await self._store.renew_lease(lease)
        return None if isinstance(renewed, LeaseNotFound) else renewed

    async def _register(self, lease: Lease) -> Registered | None:
        key = INSTANCE_PREFIX + self.own.name
        put = Put(key, msgspec.json.encode(self.own), lease.id)
        match await self._store.commit(Transaction(puts=(put,))):
            case Committed():
                self._events.emit(Events.REGISTERED, key=key)
                return Registered(lease)
            case _:
                self._lose("the lease ended before the key was stored")
                return None

    def _lose(self, reason: str) -> None:
        self._registered = None
        self._events.emit(Events.REGISTRATION_LOST, reason=reason)

    async def _read_others(self) -> Item | None:
        """Read the keys of all instances; return this instance's own."""
        reading = await self._keys.read()
        self._take(reading.others)
        return reading.own

    def _take(self, found: dict[str, InstanceRecord]) -> None:
        self._counts.append((self._clock.monotonic(), len(found) + 1))
        if found == self._others:
            return
        self._events.emit(
            Events.INSTANCES_CHANGED,
            instances=len(found) + 1,
            came=sorted(set(found) - set(self._others))[:20],
            went=sorted(set(self._others) - set(found))[:20],
        )
        self._others = found
        for listener in self._listeners:
            listener()
