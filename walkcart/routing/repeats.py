"""A budget of repeats for each service, enforced over any window of time.

A repeat is any request to a leaf after the first one of the same question: a retry, a
hedge, an attempt after a refusal. Over all instances and in any window a service may
get ``ratio`` times its requests as repeats, plus a fixed allowance. Instances can't
coordinate at each repeat, so each one keeps to the ratio of its own requests and to an
equal part of the allowance. The sum then keeps to the whole.

An instance that has just started doesn't know what it spent before its restart. For one
window it uses only the reserve, which it can't have spent before.

Examples:
    >>> budget = RepeatBudget(RepeatLimits(0.2, 10.0, 14.0), now=-60.0)
    >>> sum(budget.try_spend("s", now=0.0, instances=7) for _ in range(5))
    1
    >>> for _ in range(50):
    ...     budget.record_request("s", now=1.0)
    >>> sum(budget.try_spend("s", now=1.5, instances=7) for _ in range(50))
    8
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

#: Share of the allowed repeats that is spent. The rest covers windows that are divided
#: differently here and at the leaves, and different views of the fleet.
SPENT_SHARE = 0.8
#: Share of an instance's budget that is reserved for repeats on which an answer
#: depends. In calm times second attempts take a tenth of the budget, so the reserve
#: matters only when much fails. Then a repeat that only completes a partial answer is
#: worth a tenth of one that saves the answer.
VITAL_SHARE = 0.5
#: An instance lends none if its part of the allowance is at least this many repeats per
#: window. In a small fleet the instances that gather have enough of their own, and a
#: lent repeat is then missing at the lender.
MAX_LENDER_ALLOWANCE = 4.0
#: Parts into which a window is divided.
WINDOW_PARTS = 20


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """The limits that operators set.

    Args:
        ratio: repeats per request.
        window: length of the window, in seconds.
        allowance: further repeats per window, of all instances together.
    """

    ratio: float
    window: float
    allowance: float


class _Window:
    """Sliding sums over the parts of a window."""

    __slots__ = ("_parts", "lent", "repeats", "requests")

    def __init__(self) -> None:
        self._parts: deque[list[float]] = deque()
        self.requests = 0.0
        self.repeats = 0.0
        #: Repeats that are lent to other instances and not yet settled.
        self.lent = 0

    def advance(self, part: int) -> None:
        """Drop expired parts; one more part than the window has is kept."""
        while self._parts and self._parts[0][0] < part - WINDOW_PARTS:
            _, requests, repeats = self._parts.popleft()
            self.requests -= requests
            self.repeats -= repeats

    def add(self, part: int, requests: int, repeats: float) -> None:
        """Add to the current part."""
        self.advance(part)
        if not self._parts or self._parts[-1][0] != part:
            self._parts.append([part, 0.0, 0.0])
        self._parts[-1][1] += requests
        self._parts[-1][2] += repeats
        self.requests += requests
        self.repeats += repeats


class RepeatBudget:
    """Decides whether a repeat may be sent.

    Args:
        limits: the limits that operators set.
        now: current time, in seconds; counts as the start of the instance.
    """

    def __init__(self, limits: RepeatLimits, now: float) -> None:
        self.limits = limits
        self._started_at = now
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Record the first request of a question to a service."""
        self._find_window(service).add(self._find_part(now), 1, 0)

    def try_spend(
        self, service: str, now: float, instances: int, vital: bool = True
    ) -> bool:
        """Spend one repeat; return False when none is left.

        Args:
            service: name of the service that gets the repeat.
            now: current time, in seconds.
            instances: number of instances that divide the allowance.
            vital: whether there is no answer without it; other repeats leave
                `VITAL_SHARE` of the budget.
        """
        window = self._find_window(service)
        window.advance(self._find_part(now))
        allowed = self._find_allowed(window, now, instances)
        if not vital:
            allowed *= 1.0 - VITAL_SHARE
        if window.repeats + window.lent + 1 > allowed + 1e-9:
            return False
        window.add(self._find_part(now), 0, 1)
        return True

    def lend(self, service: str, now: float, instances: int) -> bool:
        """Reserve a repeat for another instance; return False when none is lent.

        It counts as spent until it is settled, however long that takes.

        Args:
            service: name of the service that may get the repeat.
            now: current time, in seconds.
            instances: number of instances that divide the allowance.
        """
        if self.limits.allowance / max(1, instances) >= MAX_LENDER_ALLOWANCE:
            return False
        window = self._find_window(service)
        window.advance(self._find_part(now))
        allowed = self._find_allowed(window, now, instances)
        if window.repeats + window.lent + 1 > allowed + 1e-9:
            return False
        window.lent += 1
        return True

    def settle(self, service: str, now: float, spent: bool) -> None:
        """Record how a loan ended; if spent, it counts as a repeat of the current time.

        Args:
            service: name of the service that the loan was for.
            now: current time, in seconds.
            spent: whether the other instance sent the repeat, or may have sent it.
        """
        window = self._find_window(service)
        window.lent -= 1
        if spent:
            window.add(self._find_part(now), 0, 1)

    def find_remaining(self, service: str, now: float, instances: int) -> float:
        """Return how many repeats are left at the current time."""
        window = self._find_window(service)
        window.advance(self._find_part(now))
        allowed = self._find_allowed(window, now, instances)
        return allowed - window.repeats - window.lent

    def _find_allowed(self, window: _Window, now: float, instances: int) -> float:
        limits = self.limits
        allowance = limits.allowance / max(1, instances)
        just_started = now - self._started_at < limits.window
        share = 1.0 - SPENT_SHARE if just_started else SPENT_SHARE
        return limits.ratio * window.requests * SPENT_SHARE + allowance * share

    def _find_window(self, service: str) -> _Window:
        if service not in self._windows:
            self._windows[service] = _Window()
        return self._windows[service]

    def _find_part(self, now: float) -> int:
        return int(now * WINDOW_PARTS // self.limits.window)
