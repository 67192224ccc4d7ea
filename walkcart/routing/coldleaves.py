"""Limits the requests to cold leaves, divided among the instances.

A leaf that has just started, or whose data centre has just come back, can take a
bounded rate of requests and fails well above it. The bound holds for all instances
together, which can't coordinate at each request. So it is divided into a few shares,
each of which one instance holds at a time (`walkcart.membership.coldshares`). Instances
without a share use other leaves.

Examples:
    >>> bound = ColdBound(tolerance=1.5, slack=5.0)
    >>> bound.max_requests(4.0)
    11
    >>> [ColdShare(index, 3).find_limit(11) for index in range(3)]
    [4, 4, 3]
    >>> bound.max_requests(0.0) is None
    True
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

#: Length of the sliding window in which the bound holds, in seconds.
WINDOW = 1.0
#: Seconds added to the window: requests that are sent slightly more than a window apart
#: may arrive within one.
WINDOW_MARGIN = 0.1


@dataclass(frozen=True, slots=True)
class ColdBound:
    """The number of requests that a cold leaf gets within a window.

    Args:
        tolerance: factor on the rate that its service states.
        slack: further requests per window.
    """

    tolerance: float = 1.0
    slack: float = 0.0

    def max_requests(self, rate: float) -> int | None:
        """Return the bound per window for all instances; None without a bound.

        Args:
            rate: requests per second that a cold leaf can take; 0 if none is set.
        """
        if rate <= 0.0:
            return None
        return math.floor(rate * self.tolerance * WINDOW + self.slack + 1e-9)


@dataclass(frozen=True, slots=True)
class ColdShare:
    """One of the shares that the bound of each cold leaf is divided into.

    Args:
        index: index of the share, from 0.
        count: number of shares.
    """

    index: int
    count: int

    def find_limit(self, max_requests: int) -> int:
        """Return this share's part of the bound, in requests per window."""
        return max_requests // self.count + (self.index < max_requests % self.count)


class SendLog:
    """A log of the requests that were recently sent to one cold leaf.

    Examples:
        >>> log = SendLog()
        >>> [log.try_send(0.1 * number, max_requests=2) for number in range(3)]
        [True, True, False]
        >>> round(log.wait(0.2, max_requests=2), 3)
        0.9
        >>> log.try_send(1.2, max_requests=2)
        True
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def wait(self, now: float, max_requests: int) -> float:
        """Return the seconds until a request may be sent; infinite if never."""
        while self._sent and self._sent[0] <= now - WINDOW - WINDOW_MARGIN:
            self._sent.popleft()
        if max_requests <= 0:
            return float("inf")
        if len(self._sent) < max_requests:
            return 0.0
        return self._sent[len(self._sent) - max_requests] + WINDOW + WINDOW_MARGIN - now

    def try_send(self, now: float, max_requests: int) -> bool:
        """Log a request that is sent now; return False when the bound is reached."""
        if self.wait(now, max_requests) > 0.0:
            return False
        self._sent.append(now)
        return True


def find_offered_share(now: float, cold_until: float, cold_time: float) -> float:
    """Return the share of choices in which a leaf that was cold is offered.

    The share rises to 1 over as long as the leaf was cold, so that not all instances
    turn to the leaf at once.

    Examples:
        >>> find_offered_share(11.5, cold_until=10.0, cold_time=3.0)
        0.5
        >>> find_offered_share(14.0, cold_until=10.0, cold_time=3.0)
        1.0
    """
    if cold_time <= 0.0 or cold_until <= 0.0:
        return 1.0
    return min(1.0, max(0.0, (now - cold_until) / cold_time))
