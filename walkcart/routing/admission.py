"""Admission control with early refusal and fair shares of the partners.

An instance runs a limited number of queries of a service at once. The limit
adapts to the time of a query's median shard: it shrinks when that is far longer
than without load, since then requests only queue at the leaves. The slowest
shard, which determines the query's own time, doesn't show overload: a few
stragglers are no overload, see ``docs/design/admission.md``. Above the limit a
request waits briefly, in a queue that is fair among the partners, and is refused at
once when the queue can't be drained in that time.

The time to retry after is the queue's length over the measured completion rate,
so a refused caller comes back when there is capacity.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock

#: Share of a request's remaining time that it may wait for admission.
MAX_WAIT_SHARE = 0.1
#: Bounds of the time to retry after.
MIN_RETRY = timedelta(milliseconds=50)
MAX_RETRY = timedelta(seconds=30)
#: First limit and lower bound of the limit, in queries.
FIRST_LIMIT = 32.0
MIN_LIMIT = 2.0
#: A query slower than this many times the recently fastest one is a sign of overload.
SLOW_FACTOR = 2.5
#: Factor on the limit at overload, and seconds between two decreases.
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL = 0.1
#: Half-life of the completion rate, in seconds.
RATE_HALF_LIFE = 2.0
#: Relative growth per second of the recently fastest time, so that it is forgotten.
BASE_DRIFT = 0.02


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run; call `Admission.release` when it ends."""


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """The request is refused.

    Args:
        retry_after: time until there will likely be capacity.
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
        self._max_limit = FIRST_LIMIT
        self._running: dict[str, int] = {}
        self._total = 0
        self._queues: OrderedDict[str, deque[_Waiter]] = OrderedDict()
        self._weights: dict[str, float] = {}
        self._waiting = 0
        self._base_latency: float | None = None
        self._base_at = 0.0
        self._decreased_at = float("-inf")
        self._rate = 0.0
        self._rate_at = clock.monotonic()

    @property
    def in_progress(self) -> int:
        """Number of queries that are running."""
        return self._total

    @property
    def limit(self) -> int:
        """Number of queries that may run at once."""
        return int(min(self._limit, self._max_limit))

    async def admit(
        self, partner: str, share: float, max_limit: int, remaining: float
    ) -> Admitted | AdmissionRefused:
        """Admit a request or refuse it, possibly after a short wait.

        Args:
            partner: name of the partner that sent the request.
            share: weight of the partner.
            max_limit: upper bound of the limit, from the routing intent.
            remaining: time left for the request, in seconds.
        """
        self._max_limit = max_limit
        self._weights[partner] = share
        if self._total < self.limit and not self._waiting:
            return self._admit(partner)
        max_wait = remaining * MAX_WAIT_SHARE
        if self._expected_wait(partner) > max_wait:
            return AdmissionRefused(self._retry_after())
        return await self._wait(partner, max_wait)

    def release(self, partner: str, typical_time: float | None) -> None:
        """Record that an admitted request ended.

        Args:
            partner: name of the partner that sent the request.
            typical_time: seconds that the median shard took; None when that
                says nothing about load, as after a failure.
        """
        now = self._clock.monotonic()
        self._running[partner] -= 1
        self._total -= 1
        self._record_completion(now)
        if typical_time is not None:
            self._adapt(now, typical_time)
        self._admit_waiting()

    async def _wait(self, partner: str, max_wait: float) -> Admitted | AdmissionRefused:
        waiter = _Waiter()
        queue = self._queues.setdefault(partner, deque())
        queue.append(waiter)
        self._waiting += 1
        try:
            with trio.move_on_after(max_wait):
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
        """Return the waiting partner with the fewest running queries per weight."""
        waiting = [name for name, queue in self._queues.items() if queue]
        return min(waiting, key=self._usage_per_weight)

    def _usage_per_weight(self, partner: str) -> float:
        return self._running.get(partner, 0) / self._weights[partner]

    def _expected_wait(self, partner: str) -> float:
        """Return the seconds that another request of `partner` would wait."""
        queued = len(self._queues.get(partner, ()))
        share = self._find_fraction(partner)
        rate = self._completion_rate()
        return (queued + 1) / (rate * share) if rate > 0 else float("inf")

    def _find_fraction(self, partner: str) -> float:
        """Return the share of completions that `partner` gets among those waiting."""
        busy = [name for name, queue in self._queues.items() if queue]
        if partner not in busy:
            busy.append(partner)
        total = sum(self._weights[name] for name in busy)
        return self._weights[partner] / total

    def _retry_after(self) -> timedelta:
        rate = self._completion_rate()
        if rate <= 0:
            return timedelta(seconds=1)
        wait = timedelta(seconds=(self._waiting + 1) / rate)
        return min(MAX_RETRY, max(MIN_RETRY, wait))

    def _completion_rate(self) -> float:
        """Return the recent completions per second."""
        elapsed = self._clock.monotonic() - self._rate_at
        return self._rate * 0.5 ** (elapsed / RATE_HALF_LIFE)

    def _record_completion(self, now: float) -> None:
        elapsed = now - self._rate_at
        decay = 0.5 ** (elapsed / RATE_HALF_LIFE)
        # With weight ln 2 / RATE_HALF_LIFE a steady stream yields its own rate.
        self._rate = self._rate * decay + 0.693 / RATE_HALF_LIFE
        self._rate_at = now

    def _adapt(self, now: float, latency: float) -> None:
        base = self._update_base(now, latency)
        slow = latency > SLOW_FACTOR * base
        if slow and now - self._decreased_at >= DECREASE_INTERVAL:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
            self._decreased_at = now
        elif not slow and self._total + 1 >= self.limit:
            # Only a limit that is fully used may grow.
            self._limit = min(float(self._max_limit), self._limit + 1.0 / self._limit)

    def _update_base(self, now: float, latency: float) -> float:
        """Return the latency without load: the recent minimum."""
        if self._base_latency is None:
            self._base_latency = latency
        drift = 1.0 + BASE_DRIFT * (now - self._base_at)
        self._base_latency = min(latency, self._base_latency * drift)
        self._base_at = now
        return self._base_latency
