"""Refused requests in the shared store, which survive a restart of all instances.

Instances exchange their quarantine entries, but these are lost if all instances stop at
once. So the instance that refuses a request first stores its fingerprint, on a lease,
unless the strikes may be of one crash of many leaves: such a refusal is short.
This takes two calls and no extra read, since the keys are read together with those of
the instances.

See Also:
    `walkcart.membership.registration.Registration`, which reads the keys.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.numbers import read_number
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

#: Prefix of the keys, below the prefix that is read for the instances' keys.
QUARANTINE_PREFIX = "walkcart/quarantine/"
#: Lifetime of a key: the longest lease that the platform grants.
KEY_TTL = timedelta(minutes=10)
#: Limit of keys queued to be stored; further ones are only exchanged among instances.
MAX_QUEUED = 32
#: Separates the strikes in a stored value from the time of the last one.
TIME_MARK = b"@"
#: Time between two keys that one instance stores, so that a burst doesn't load the
#: store.
STORE_INTERVAL = timedelta(seconds=1)


class QuarantineKeys:
    """Stores the requests that this instance refused first, and merges stored ones.

    Args:
        store: the shared store.
        quarantine: the quarantine entries of this instance.
        clock: source of time.
        backoff: delays between retries after failures.
        events: log of keys that can't be decoded.
        on_news: called with the fingerprint of each request whose entry changed.
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
        self._queue: deque[bytes] = deque()
        self._wakeup = trio.Event()

    def enqueue(self, fingerprint: bytes) -> None:
        """Queue a request that this instance now refuses to be stored."""
        if len(self._queue) < MAX_QUEUED and fingerprint not in self._queue:
            self._queue.append(fingerprint)
            self._wakeup.set()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Store the queued requests, until cancelled."""
        task_status.started()
        while True:
            if not self._queue:
                self._wakeup = trio.Event()
                await self._wakeup.wait()
            await self._store_next()

    async def _store_next(self) -> None:
        fingerprint = self._queue[0]
        now = self._clock.monotonic()
        wanted = (
            self._quarantine.find_level(fingerprint, now) is QuarantineLevel.REFUSED
        )
        if wanted and not await self._put(fingerprint):
            await trio.sleep(self._backoff.next_delay().total_seconds())
            return
        self._backoff.reset()
        self._queue.popleft()
        await trio.sleep(STORE_INTERVAL.total_seconds())

    async def _put(self, fingerprint: bytes) -> bool:
        """Store a request; return whether that succeeded."""
        held = self._quarantine.find(fingerprint)
        assert held is not None
        value = self._encode(held)
        key = QUARANTINE_PREFIX + fingerprint.hex()
        try:
            lease = await self._store.grant_lease(KEY_TTL)
            put = Put(key, value, lease.id)
            outcome = await self._store.commit(Transaction(puts=(put,)))
        except StoreUnavailable:
            # `StoreCalls` logs the first failure of a series.
            return False
        return isinstance(outcome, Committed)

    def _encode(self, held: StrikeRecord) -> bytes:
        """Return the stored form: the strikes, and the time of day of the last one."""
        strikes = b",".join(b"%d" % strike for strike in sorted(held.strikes))
        age = self._clock.monotonic() - held.struck_at
        return b"%s%s%d" % (strikes, TIME_MARK, self._clock.now().timestamp() - age)

    def _find_strike_time(self, stored: bytes) -> float:
        """Return the monotonic time of a stored time of day; the present without one.

        A later time is the present: the clocks of two machines may differ.

        Raises:
            ValueError: the stored time isn't a number.
        """
        now = self._clock.monotonic()
        if not stored:
            return now
        seconds = read_number(stored)
        if seconds is None:
            raise ValueError(f"expected a time in seconds, got {stored[:80]!r}")
        return now - max(0.0, self._clock.now().timestamp() - seconds)

    def merge_item(self, item: Item) -> None:
        """Merge a stored key, unless its request is known."""
        numbers, _, stored_time = item.value.partition(TIME_MARK)
        try:
            fingerprint = bytes.fromhex(item.key.removeprefix(QUARANTINE_PREFIX))
            strikes = _parse_strikes(numbers)
            struck_at = self._find_strike_time(stored_time)
        except ValueError as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, key=item.key, detail=str(error)[:200]
            )
            return
        if len(fingerprint) != FINGERPRINT_BYTES:
            return
        if self._quarantine.find(fingerprint) is not None:
            return
        now = self._clock.monotonic()
        if self._quarantine.merge(fingerprint, StrikeRecord(strikes, struck_at), now):
            self._on_news(fingerprint)


def _parse_strikes(value: bytes) -> frozenset[int]:
    """Return the strikes in a stored value.

    Raises:
        ValueError: the value isn't a list of up to `REFUSED_STRIKES` numbers.
    """
    strikes = {read_number(part) for part in value.split(b",", REFUSED_STRIKES)}
    found = frozenset(strike for strike in strikes if strike is not None)
    if len(found) != len(strikes) or len(found) > REFUSED_STRIKES:
        raise ValueError(
            f"expected up to {REFUSED_STRIKES} numbers, got {value[:80]!r}"
        )
    return found
