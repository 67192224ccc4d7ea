"""Refused requests in the shared store, for when all instances start anew.

Instances tell each other what they know, but it is gone when all of them end at once.
So whoever refuses a request first stores its fingerprint, on a lease: two calls, and no
reading of its own, since the keys are read along with those of the instances.

See Also:
    `walkcart.membership.registration.Registration`, which reads them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.routing.quarantine import (
    REFUSED_STRIKES,
    Quarantine,
    QuarantineLevel,
    StrikeRecord,
)
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import Committed, Item, Put, SharedStore, Transaction
from walkcart.wire.fingerprint import FINGERPRINT_BYTES

#: Start of the keys; read with the prefix that it shares with the instances' keys.
QUARANTINE_PREFIX = "walkcart/quarantine/"
#: For how long the store keeps a key: the longest lease that the platform grants.
KEY_TIME = timedelta(minutes=10)
#: Keys that wait to be stored; requests past it are only told among instances.
MOST_WAITING = 32
#: Between two keys of one instance, so that a flood of them leaves the store alone.
STORE_INTERVAL = timedelta(seconds=1)


class QuarantineKeys:
    """Stores what this instance refused first, and takes what is stored.

    Args:
        store: the shared store.
        quarantine: what is known here.
        clock: source of time.
        backoff: waits after failures.
        events: where keys that can't be read are logged.
        on_news: told the fingerprint of each request of which news came.
    """

    def __init__(
        self,
        store: SharedStore,
        quarantine: Quarantine,
        clock: Clock,
        backoff: Backoff,
        events: EventLog,
        on_news: Callable[[bytes], None],
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        self._backoff = backoff
        self._events = events
        self._on_news = on_news
        self._waiting: deque[bytes] = deque()
        self._wakeup = trio.Event()

    def enqueue(self, fingerprint: bytes) -> None:
        """Store a request that this instance refuses from now on."""
        if len(self._waiting) < MOST_WAITING and fingerprint not in self._waiting:
            self._waiting.append(fingerprint)
            self._wakeup.set()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Store what is to be kept, until cancelled."""
        task_status.started()
        while True:
            if not self._waiting:
                self._wakeup = trio.Event()
                await self._wakeup.wait()
            await self._store_next()

    async def _store_next(self) -> None:
        fingerprint = self._waiting[0]
        now = self._clock.monotonic()
        wanted = (
            self._quarantine.find_level(fingerprint, now) is QuarantineLevel.REFUSED
        )
        if wanted and not await self._put(fingerprint):
            await trio.sleep(self._backoff.next_delay().total_seconds())
            return
        self._backoff.reset()
        self._waiting.popleft()
        await trio.sleep(STORE_INTERVAL.total_seconds())

    async def _put(self, fingerprint: bytes) -> bool:
        """Store a request; return whether the store took it."""
        held = self._quarantine.find(fingerprint)
        assert held is not None
        value = b",".join(b"%d" % strike for strike in sorted(held.strikes))
        key = QUARANTINE_PREFIX + fingerprint.hex()
        try:
            lease = await self._store.grant_lease(KEY_TIME)
            put = Put(key, value, lease.id)
            outcome = await self._store.commit(Transaction(puts=(put,)))
        except StoreUnavailable:
            # Logged by the calls, which know whether it is the first failure.
            return False
        return isinstance(outcome, Committed)

    def merge_item(self, item: Item) -> None:
        """Take a stored key, unless its request is known: how old it is isn't."""
        try:
            fingerprint = bytes.fromhex(item.key.removeprefix(QUARANTINE_PREFIX))
            strikes = frozenset(int(word) for word in item.value.split(b","))
        except ValueError as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, key=item.key, detail=str(error)[:200]
            )
            return
        if len(fingerprint) != FINGERPRINT_BYTES or len(strikes) > REFUSED_STRIKES:
            return
        if self._quarantine.find(fingerprint) is not None:
            return
        now = self._clock.monotonic()
        if self._quarantine.merge(fingerprint, StrikeRecord(strikes, now), now):
            self._on_news(fingerprint)
