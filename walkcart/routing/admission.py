"""Early refusal of what can't be served in time, with fair shares of partners.

An instance runs a limited number of queries of a service at once. The limit
follows the time of a query's median shard: it shrinks when that is far longer
than unloaded, since then requests only queue at the leaves. The slowest shard,
which makes the query's own time, says nothing of the kind: a few stragglers are
no overload, see ``docs/design/admission.md``. Past the limit a
request waits briefly, by turns of the partners, and is refused at once when the
queue is longer than can be drained in that time.

The time to come back is the queue's length over the measured rate of
completions, so a refused caller comes back when there is room.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock

#: Share of a request's time that it may spend waiting for admission.
WAIT_SHARE = 0.1
LEAST_RETRY = timedelta(milliseconds=50)
LONGEST_RETRY = timedelta(seconds=30)
FIRST_LIMIT = 32.0
LEAST_LIMIT = 2.0
#: A query slower than this many times the fastest of late is a sign of overload.
SLOW_FACTOR = 2.5
DECREASE = 0.8
DECREASE_GAP = 0.1
#: Seconds over which the completion rate is measured.
RATE_TIME = 2.0
#: The fastest query of late is forgotten this fast, as a share a second.
BASE_DRIFT = 0.02


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run; tell `Admission.release` when it ends."""


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """The request is refused.

    Args:
        retry_after: when there will likely be room.
    """

    retry_after: timedelta


class _Waiter:
    """A request that waits for its turn."""

    __slots__ = ("admitted", "event")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.admitted = False


class Admission:
    """Admits the queries of one service at one instance.

    Args:
        clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limit = FIRST_LIMIT
        self._most = FIRST_LIMIT
        self._running: dict[str, int] = {}
        self._total = 0
        self._queues: OrderedDict[str, deque[_Waiter]] = OrderedDict()
        self._shares: dict[str, float] = {}
        self._waiting = 0
        self._base: float | None = None
        self._base_at = 0.0
        self._decreased_at = float("-inf")
        self._rate = 0.0
        self._rate_at = clock.monotonic()

    @property
    def in_progress(self) -> int:
        """Queries that are running."""
        return self._total

    @property
    def limit(self) -> int:
        """Queries that may run at once."""
        return int(min(self._limit, self._most))

    async def admit(
        self, partner: str, share: float, max_limit: int, remaining: float
    ) -> Admitted | AdmissionRefused:
        """Admit a request, or refuse it.

        Args:
            partner: whose request it is.
            share: weight of the partner.
            max_limit: bound of the limit, from the routing intent.
            remaining: time left for the request, in seconds.
        """
        self._most = max_limit
        self._shares[partner] = share
        if self._total < self.limit and not self._waiting:
            return self._admit(partner)
        patience = remaining * WAIT_SHARE
        if self._expected_wait(partner) > patience:
            return AdmissionRefused(self._retry_after())
        return await self._wait(partner, patience)

    def release(self, partner: str, typical_time: float | None) -> None:
        """Note that an admitted request ended.

        Args:
            partner: whose request it was.
            typical_time: seconds that the median shard took; None when that
                says nothing about load, as after a failure.
        """
        now = self._clock.monotonic()
        self._running[partner] -= 1
        self._total -= 1
        self._note_completion(now)
        if typical_time is not None:
            self._adapt(now, typical_time)
        self._admit_waiting()

    async def _wait(self, partner: str, patience: float) -> Admitted | AdmissionRefused:
        waiter = _Waiter()
        queue = self._queues.setdefault(partner, deque())
        queue.append(waiter)
        self._waiting += 1
        try:
            with trio.move_on_after(patience):
                await waiter.event.wait()
        except BaseException:
            if waiter.admitted:
                self._running[partner] -= 1
                self._total -= 1
            raise
        finally:
            if not waiter.admitted:
                queue.remove(waiter)
                self._waiting -= 1
        if waiter.admitted:
            return Admitted()
        return AdmissionRefused(self._retry_after())

    def _admit(self, partner: str) -> Admitted:
        self._running[partner] = self._running.get(partner, 0) + 1
        self._total += 1
        return Admitted()

    def _admit_waiting(self) -> None:
        while self._waiting and self._total < self.limit:
            partner = self._next_partner()
            waiter = self._queues[partner].popleft()
            self._waiting -= 1
            waiter.admitted = True
            waiter.event.set()
            self._admit(partner)

    def _next_partner(self) -> str:
        """Return the waiting partner that runs least for its share."""
        waiting = [name for name, queue in self._queues.items() if queue]
        return min(waiting, key=self._usage)

    def _usage(self, partner: str) -> float:
        return self._running.get(partner, 0) / self._shares[partner]

    def _expected_wait(self, partner: str) -> float:
        """Return the seconds that one more request of `partner` would wait."""
        ahead = len(self._queues.get(partner, ()))
        share = self._share_of(partner)
        rate = self._completions()
        return (ahead + 1) / (rate * share) if rate > 0 else float("inf")

    def _share_of(self, partner: str) -> float:
        """Return the part of the service that `partner` gets while it is busy."""
        busy = [name for name, queue in self._queues.items() if queue]
        if partner not in busy:
            busy.append(partner)
        total = sum(self._shares[name] for name in busy)
        return self._shares[partner] / total

    def _retry_after(self) -> timedelta:
        rate = self._completions()
        if rate <= 0:
            return timedelta(seconds=1)
        wait = timedelta(seconds=(self._waiting + 1) / rate)
        return min(LONGEST_RETRY, max(LEAST_RETRY, wait))

    def _completions(self) -> float:
        """Return completions a second."""
        elapsed = self._clock.monotonic() - self._rate_at
        return self._rate * 0.5 ** (elapsed / RATE_TIME)

    def _note_completion(self, now: float) -> None:
        elapsed = now - self._rate_at
        kept = 0.5 ** (elapsed / RATE_TIME)
        # ln 2 / RATE_TIME is the weight at which a steady stream gives its rate.
        self._rate = self._rate * kept + 0.693 / RATE_TIME
        self._rate_at = now

    def _adapt(self, now: float, latency: float) -> None:
        base = self._update_base(now, latency)
        slow = latency > SLOW_FACTOR * base
        if slow and now - self._decreased_at >= DECREASE_GAP:
            self._limit = max(LEAST_LIMIT, self._limit * DECREASE)
            self._decreased_at = now
        elif not slow and self._total + 1 >= self.limit:
            # Room that nobody used says nothing about more room.
            self._limit = min(float(self._most), self._limit + 1.0 / self._limit)

    def _update_base(self, now: float, latency: float) -> float:
        """Return the latency without load: the least of late."""
        if self._base is None:
            self._base = latency
        drift = 1.0 + BASE_DRIFT * (now - self._base_at)
        self._base = min(latency, self._base * drift)
        self._base_at = now
        return self._base
