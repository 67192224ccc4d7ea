"""What a cold leaf may get, and how instances divide it.

A leaf that has just started, or whose data centre has just come back, bears a bounded
rate of requests and falls over well above it. The bound holds for all instances
together, which can't ask each other at each request. So it is cut into a few shares,
each of which one instance holds at a time (`walkcart.membership.coldshares`); who holds
none uses other leafs.

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

#: Seconds in which the bound holds, wherever they begin.
WINDOW = 1.0
#: Seconds added: what is sent a little more than a window apart may arrive within one.
WINDOW_MARGIN = 0.1


@dataclass(frozen=True, slots=True)
class ColdBound:
    """How many requests a cold leaf gets within a window.

    Args:
        tolerance: factor on the rate that its service states.
        slack: requests on top.
    """

    tolerance: float = 1.0
    slack: float = 0.0

    def max_requests(self, rate: float) -> int | None:
        """Return the requests within a window, of all instances; None without a bound.

        Args:
            rate: requests a second that a cold leaf bears; 0 where none is set.
        """
        if rate <= 0.0:
            return None
        return math.floor(rate * self.tolerance * WINDOW + self.slack + 1e-9)


@dataclass(frozen=True, slots=True)
class ColdShare:
    """One of the shares that the bound of each cold leaf is cut into.

    Args:
        index: of the share.
        count: of the shares.
    """

    index: int
    count: int

    def find_limit(self, max_requests: int) -> int:
        """Return the requests within a window that this share stands for."""
        return max_requests // self.count + (self.index < max_requests % self.count)


class SendLog:
    """The requests that were sent to one cold leaf of late.

    Examples:
        >>> log = SendLog()
        >>> [log.try_send(0.1 * number, most=2) for number in range(3)]
        [True, True, False]
        >>> round(log.wait(0.2, most=2), 3)
        0.9
        >>> log.try_send(1.2, most=2)
        True
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def wait(self, now: float, max_requests: int) -> float:
        """Return the seconds until a request may be sent; infinite if none ever may."""
        while self._sent and self._sent[0] <= now - WINDOW - WINDOW_MARGIN:
            self._sent.popleft()
        if max_requests <= 0:
            return float("inf")
        if len(self._sent) < max_requests:
            return 0.0
        return self._sent[len(self._sent) - max_requests] + WINDOW + WINDOW_MARGIN - now

    def try_send(self, now: float, max_requests: int) -> bool:
        """Take room for a request that is sent now; return False when there is none."""
        if self.wait(now, max_requests) > 0.0:
            return False
        self._sent.append(now)
        return True


def find_offered_share(now: float, cold_until: float, cold_time: float) -> float:
    """Return the share of choices that a leaf takes part in after it was cold.

    It rises over as long as the leaf was cold, so that all instances together don't
    turn to it at once.

    Examples:
        >>> find_offered_share(11.5, cold_until=10.0, cold_time=3.0)
        0.5
        >>> find_offered_share(14.0, cold_until=10.0, cold_time=3.0)
        1.0
    """
    if cold_time <= 0.0 or cold_until <= 0.0:
        return 1.0
    return min(1.0, max(0.0, (now - cold_until) / cold_time))
