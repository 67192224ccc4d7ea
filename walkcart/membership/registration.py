"""Registration of this instance in the shared store, and discovery of the others.

Each instance stores a key attached to a lease of its own and renews that lease. The
instances discover each other by reading these keys. The renewals also detect a store
that has stopped responding, since a watch may wait a long time for its next event.

The number of instances that connections and budgets are divided by never shrinks at
once, because a key can vanish while its instance is still running.

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

#: Shortest lease. A dead instance is forgotten after this time; a running one retries a
#: failed renewal for 10 s before it loses its key.
MIN_LEASE_TTL = timedelta(seconds=15)
#: Time between two renewals in a small fleet. A store that stops responding is noticed
#: after this time plus the timeout of one call.
MIN_RENEW_INTERVAL = timedelta(seconds=1)
#: Renewals a second of all instances together, not counting those that watch the store.
#: In a larger fleet each instance renews less often.
MAX_FLEET_RENEWAL_RATE = 10.0
#: A lease is replaced when the wanted one is more than this many times as long.
LEASE_REPLACE_FACTOR = 3.0
#: Seconds that an instance runs before it replaces its lease. Replacing costs three
#: calls and a renewal a tenth of one, so in a fleet of 195 it pays off after 140 s.
#: Done at once, it took three of each instance's 11.5 calls when such a fleet started.
MIN_REPLACE_AGE = 140.0
#: Renewals within the time to live of one lease.
RENEWALS_PER_LEASE = 3
#: Factor on the backoff of an instance that doesn't watch the store: it is fed, so only
#: its lease needs the store, and that lasts some more seconds.
FED_BACKOFF_FACTOR = 2.0
#: Renewals between two reads of the other instances' keys.
RENEWALS_PER_READ = 3
#: Seconds from the first read to the second. Instances that start together have stored
#: their keys by then.
SECOND_READ_DELAY = 0.5
#: Time for which an instance that vanished still counts. It may still be running, cut
#: off from the store, with open connections and retries within the budgets' window.
COUNT_WINDOW = timedelta(seconds=20)


@dataclass(frozen=True, slots=True)
class Registered:
    """The lease that the stored key of this instance is attached to."""

    lease: Lease


class Registration:
    """Stores this instance's key and reads the keys of the others.

    Args:
        store: the shared store.
        calls: the store's calls, which report when the store becomes unavailable.
        own: the record of this instance.
        clock: source of time.
        backoff: delays between retries after failures.
        events: log of changes and failures.
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
        self._cycles = 0
        self._started_at = clock.monotonic()
        self._is_stopping = False
        self._renew_requested = trio.Event()
        calls.on_unreachable(self.renew_soon)
        self._is_watching: Callable[[], bool] = lambda: True
        self._listeners: list[Callable[[], None]] = []
        self._renewal_listeners: list[Callable[[], None]] = []
        self._keys = KeyReader(store, own.name, events)

    def add_prefix_reader(self, prefix: str, reader: Callable[[Item], None]) -> None:
        """Pass the items of another prefix below the shared one to `reader`.

        They are read in the same call as the keys of the instances.
        """
        self._keys.add_prefix_reader(prefix, reader)

    @property
    def is_settled(self) -> bool:
        """Whether the others were read twice; those started together are known then."""
        return self._cycles > 1

    @property
    def lease(self) -> Lease | None:
        """The lease of this instance's key; None while it has none."""
        return self._registered.lease if self._registered else None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after instances appeared or disappeared."""
        self._listeners.append(listener)

    def on_renewed(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each renewal of the lease, also of a new one."""
        self._renewal_listeners.append(listener)

    def others(self) -> tuple[InstanceRecord, ...]:
        """Return the other instances as of the latest read."""
        return tuple(self._others.values())

    def find(self, name: str) -> InstanceRecord | None:
        """Return the other instance called `name`, or None."""
        return self._others.get(name)

    def count(self) -> int:
        """Return the maximum number of instances, with this one, in `COUNT_WINDOW`."""
        limit = self._clock.monotonic() - COUNT_WINDOW.total_seconds()
        while self._counts and self._counts[0][0] < limit:
            self._counts.popleft()
        return max((count for _, count in self._counts), default=len(self._others) + 1)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Keep this instance registered until cancelled."""
        task_status.started()
        while not self._is_stopping:
            try:
                await self._maintain()
                self._backoff.reset()
                await self._wait_for_next_cycle()
            except StoreUnavailable:
                # `StoreCalls` logs the first failure of a series.
                pause = self._backoff.next_delay().total_seconds()
                if not self._is_watching():
                    pause *= FED_BACKOFF_FACTOR
                await trio.sleep(pause)
        # The stop may have begun while the key was being stored.
        await self._end_lease()

    async def _wait_for_next_cycle(self) -> None:
        """Wait until the next renewal is due or requested.

        Nothing else probes a failed store: one renewal, the cheapest call, is enough.
        """
        is_starting = self._cycles <= 1
        pause = SECOND_READ_DELAY if is_starting else self._renew_interval()
        with trio.move_on_after(pause):
            await self._renew_requested.wait()
        self._renew_requested = trio.Event()

    def renew_soon(self) -> None:
        """Renew the lease now, to check whether the store is available."""
        self._renew_requested.set()

    async def deregister(self) -> None:
        """Revoke the lease, so that the others learn of a planned stop at once."""
        self._is_stopping = True
        self.renew_soon()
        await self._end_lease()

    async def _end_lease(self) -> None:
        """End the lease of this instance's key, if it has one; this removes the key."""
        registered, self._registered = self._registered, None
        if registered is None:
            return
        try:
            await self._store.end_lease(registered.lease)
        except StoreUnavailable as error:
            self._events.emit(Events.STORE_FAILED, detail=f"lease not ended: {error}")

    def set_watching_check(self, is_watching: Callable[[], bool]) -> None:
        """Renew often while this instance watches the store, as `is_watching` tells."""
        self._is_watching = is_watching

    def _renew_interval(self) -> float:
        """Return the seconds between renewals; the rate of the fleet stays bounded."""
        shortest = MIN_RENEW_INTERVAL.total_seconds()
        if self._is_watching():
            return shortest
        wanted = max(shortest, (len(self._others) + 1) / MAX_FLEET_RENEWAL_RATE)
        if self._registered is None:
            return wanted
        granted = self._registered.lease.time_to_live.total_seconds()
        return max(shortest, min(wanted, granted / RENEWALS_PER_LEASE))

    def _wanted_ttl(self) -> timedelta:
        interval = (len(self._others) + 1) / MAX_FLEET_RENEWAL_RATE
        renewals = timedelta(seconds=interval * RENEWALS_PER_LEASE)
        return max(MIN_LEASE_TTL, renewals)

    async def _maintain(self) -> None:
        """Renew the lease, or store the key again; read the others at intervals."""
        if self._registered is None:
            # The cheapest call goes first, since the store may be unavailable.
            previous = await self._read_others()
            lease = await self._reuse_lease(previous) or await self._grant()
            self._registered = await self._register(lease)
            self._notify_renewed()
        else:
            await self._renew(self._registered.lease)
            self._notify_renewed()
            if self._cycles % RENEWALS_PER_READ == 0 or self._cycles == 1:
                await self._check_key()
        self._cycles += 1

    def _notify_renewed(self) -> None:
        for listener in self._renewal_listeners:
            listener()

    async def _renew(self, lease: Lease) -> None:
        """Renew the lease; replace it by a longer one when the fleet has grown."""
        if isinstance(await self._store.renew_lease(lease), LeaseNotFound):
            self._drop_registration("the lease ended")
        elif self._wants_longer_lease(lease):
            await self._store.end_lease(lease)
            self._registered = await self._register(await self._grant())

    async def _check_key(self) -> None:
        """Read the other instances, and check that the own key still exists."""
        own = await self._read_others()
        # A new key may be missing from the first, possibly stale, read.
        if (
            own is None
            and self._cycles >= RENEWALS_PER_READ
            and self._registered is not None
        ):
            self._drop_registration("the key is gone")

    def _wants_longer_lease(self, lease: Lease) -> bool:
        """Return whether fewer renewals are worth the calls that a new lease costs."""
        age = self._clock.monotonic() - self._started_at
        is_too_short = self._wanted_ttl() > lease.time_to_live * LEASE_REPLACE_FACTOR
        return is_too_short and age >= MIN_REPLACE_AGE

    async def _grant(self) -> Lease:
        return await self._store.grant_lease(self._wanted_ttl())

    async def _reuse_lease(self, previous: Item | None) -> Lease | None:
        """Renew the lease of this instance's previous process; return it if it lasts.

        A renewal costs a tenth of what granting a new lease does.
        """
        if previous is None or previous.lease == NO_LEASE:
            return None
        lease = Lease(previous.lease, MIN_LEASE_TTL)
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
                self._drop_registration("the lease ended before the key was stored")
                return None

    def _drop_registration(self, reason: str) -> None:
        self._registered = None
        self._events.emit(Events.REGISTRATION_LOST, reason=reason)

    async def _read_others(self) -> Item | None:
        """Read the keys of all instances; return the one of this instance."""
        reading = await self._keys.read()
        self._update_others(reading.others)
        return reading.own

    def _update_others(self, found: dict[str, InstanceRecord]) -> None:
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
