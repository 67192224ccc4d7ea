"""A budget of repeats for each service, held over any window of time.

A repeat is any request to a leaf after the first one of the same question: a retry, a
hedge, a try after a refusal. Over all instances and in any window a service may get
``ratio`` times its requests, plus a fixed allowance. Instances can't ask each other
at each repeat, so each one keeps to the ratio of its own requests and to an equal part
of the allowance; the sums then keep to the whole.

An instance that has just started doesn't know what its former life spent. For one
window it uses only what that life can't have taken: the share kept in reserve.

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

#: Share of what is allowed that is spent; the rest is for windows that are cut
#: differently here and at the leafs, and for views of the fleet that disagree.
SPENT_SHARE = 0.8
#: Share of what an instance may spend that is kept for repeats on which an answer
#: depends. In calm times second attempts take a tenth of the budget, so it binds only
#: when much fails: then a repeat that adds a part to an answer that does without is
#: worth a tenth of one that saves the answer.
VITAL_SHARE = 0.5
#: Repeats of the allowance that an instance keeps for itself if it has as many: where
#: instances are few, those that gather have enough of their own, and what is lent is
#: missing here.
PLENTY = 4.0
#: Parts into which a window is divided.
PARTS = 20


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """What the operators allow.

    Args:
        ratio: repeats for each request.
        window: length of the window, in seconds.
        allowance: repeats beyond that, of all instances together.
    """

    ratio: float
    window: float
    allowance: float


class _Window:
    """Sums over the last parts of a window."""

    __slots__ = ("_parts", "lent", "repeats", "requests")

    def __init__(self) -> None:
        self._parts: deque[list[float]] = deque()
        self.requests = 0.0
        self.repeats = 0.0
        #: Repeats that are lent to other instances and not settled yet.
        self.lent = 0

    def advance(self, part: int) -> None:
        """Forget the parts that left the window, which one more than fills."""
        while self._parts and self._parts[0][0] < part - PARTS:
            _, requests, repeats = self._parts.popleft()
            self.requests -= requests
            self.repeats -= repeats

    def add(self, part: int, requests: int, repeats: float) -> None:
        """Add to the part of now."""
        self.advance(part)
        if not self._parts or self._parts[-1][0] != part:
            self._parts.append([part, 0.0, 0.0])
        self._parts[-1][1] += requests
        self._parts[-1][2] += repeats
        self.requests += requests
        self.repeats += repeats


class RepeatBudget:
    """Says whether a repeat may be sent.

    Args:
        limits: what is allowed.
        now: the present, in seconds; the start of the instance.
    """

    def __init__(self, limits: RepeatLimits, now: float) -> None:
        self.limits = limits
        self._started = now
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Note the first request of a question to a service."""
        self._window(service).add(self._part(now), 1, 0)

    def try_spend(
        self, service: str, now: float, instances: int, vital: bool = True
    ) -> bool:
        """Take one repeat; return False when none is left.

        Args:
            service: that gets the repeat.
            now: the present, in seconds.
            instances: that divide the allowance.
            vital: whether there is no answer without it; the others leave a part.
        """
        window = self._window(service)
        window.advance(self._part(now))
        allowed = self._allowed(window, now, instances)
        if not vital:
            allowed *= 1.0 - VITAL_SHARE
        if window.repeats + window.lent + 1 > allowed + 1e-9:
            return False
        window.add(self._part(now), 0, 1)
        return True

    def lend(self, service: str, now: float, instances: int) -> bool:
        """Set a repeat aside for another instance; return False when none is lent.

        It counts until it is settled, however long that takes.

        Args:
            service: that may get the repeat.
            now: the present, in seconds.
            instances: that divide the allowance.
        """
        if self.limits.allowance / max(1, instances) >= PLENTY:
            return False
        window = self._window(service)
        window.advance(self._part(now))
        allowed = self._allowed(window, now, instances)
        if window.repeats + window.lent + 1 > allowed + 1e-9:
            return False
        window.lent += 1
        return True

    def settle(self, service: str, now: float, spent: bool) -> None:
        """Note how a loan ended; one that was spent counts as a repeat of now.

        Args:
            service: that it was for.
            now: the present, in seconds.
            spent: whether the other instance sent it, or may have.
        """
        window = self._window(service)
        window.lent -= 1
        if spent:
            window.add(self._part(now), 0, 1)

    def find_remaining(self, service: str, now: float, instances: int) -> float:
        """Return how many repeats are left now."""
        window = self._window(service)
        window.advance(self._part(now))
        allowed = self._allowed(window, now, instances)
        return allowed - window.repeats - window.lent

    def _allowed(self, window: _Window, now: float, instances: int) -> float:
        limits = self.limits
        allowance = limits.allowance / max(1, instances)
        young = now - self._started < limits.window
        share = 1.0 - SPENT_SHARE if young else SPENT_SHARE
        return limits.ratio * window.requests * SPENT_SHARE + allowance * share

    def _window(self, service: str) -> _Window:
        if service not in self._windows:
            self._windows[service] = _Window()
        return self._windows[service]

    def _part(self, now: float) -> int:
        return int(now * PARTS // self.limits.window)
