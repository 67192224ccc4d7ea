"""The grants of teams' rate limits that an instance holds, and how many it asks for.

The scheme has to suit many instances with a few requests of each team, one instance
with many requests, and a team far above its limit, whose refusals must cost next to
nothing.

Examples:
    >>> allowance = Allowance(hold=0.25)
    >>> allowance.try_consume(now=10.0)
    False
    >>> allowance.add_grant(2, until=10.25)
    >>> allowance.try_consume(now=10.1), allowance.try_consume(now=10.3)
    (True, False)

See Also:
    `walkcart.routing.quotas`, the side that grants.
"""

from __future__ import annotations

import math

from walkcart.routing.exhaustedshares import ExhaustedShares

#: Time constant of the average use of a team at this instance, in seconds.
USE_TIME = 1.0
#: Largest amount asked for at once: what a very busy instance uses while a grant holds.
MAX_REQUEST_AMOUNT = 64
#: Fraction of a grant's validity within which a request that didn't run is refunded.
REFUND_FRACTION = 0.5
#: Bounds of the timeout after which the next accountant is asked, in seconds. The lower
#: one is above the pauses of a busy processor. With the upper one a request still asks
#: several silent accountants before it is refused.
MIN_TIMEOUT = 0.04
MAX_TIMEOUT = 0.12
#: Timeout as a multiple of the usual reply time.
TIMEOUT_FACTOR = 3.0
#: Weight of the newest reply in the usual reply time.
NEWEST_WEIGHT = 0.1


class Allowance:
    """The requests that this instance may run of one team's limit.

    Args:
        hold: validity of a grant, in seconds.

    Attributes:
        full: the shares that were recently exhausted.
    """

    __slots__ = (
        "_decayed_at",
        "_expires_at",
        "_granted",
        "_hold",
        "_use_rate",
        "full",
    )

    def __init__(self, hold: float) -> None:
        self._hold = hold
        self._granted = 0
        self._expires_at = -math.inf
        self._use_rate = 0.0
        self._decayed_at = -math.inf
        self.full = ExhaustedShares()

    def try_consume(self, now: float) -> bool:
        """Use up one held request; return False when none is held."""
        if now >= self._expires_at:
            self._granted = 0
        if self._granted < 1:
            return False
        self._granted -= 1
        return True

    def add_grant(self, amount: int, until: float) -> None:
        """Add a grant; all held requests expire with the grant that ends first."""
        if amount < 1:
            return
        self._expires_at = min(until, self._expires_at) if self._granted else until
        self._granted += amount

    def refund(self, admitted_at: float, now: float) -> None:
        """Add back a request that was admitted just now and didn't run.

        Args:
            admitted_at: when the request was admitted, in seconds.
            now: current time of the same clock, in seconds.
        """
        until = admitted_at + self._hold * REFUND_FRACTION
        if now < until:
            self.add_grant(1, until)

    def record_use(self, now: float) -> None:
        """Record that a request was admitted."""
        self._decay(now)
        self._use_rate += 1.0 / USE_TIME

    def find_request_amount(self, now: float) -> int:
        """Return how many requests to ask for: one plus the use while a grant holds."""
        self._decay(now)
        return min(MAX_REQUEST_AMOUNT, 1 + math.floor(self._use_rate * self._hold))

    def _decay(self, now: float) -> None:
        if now > self._decayed_at:
            self._use_rate *= math.exp((self._decayed_at - now) / USE_TIME)
            self._decayed_at = now


class ReplyTimeout:
    """Adapts the timeout after which another accountant is asked.

    Examples:
        >>> timeout = ReplyTimeout()
        >>> timeout.find_timeout()
        0.12
        >>> for _ in range(60):
        ...     timeout.record(0.002)
        >>> timeout.find_timeout()
        0.04
    """

    __slots__ = ("_usual_time",)

    def __init__(self) -> None:
        self._usual_time = MAX_TIMEOUT / TIMEOUT_FACTOR

    def record(self, seconds: float) -> None:
        """Record the time of a reply; one above the usual time replaces it at once."""
        average = self._usual_time + NEWEST_WEIGHT * (seconds - self._usual_time)
        self._usual_time = max(seconds, average)

    def find_timeout(self) -> float:
        """Return the timeout, in seconds."""
        wanted = TIMEOUT_FACTOR * self._usual_time
        return min(MAX_TIMEOUT, max(MIN_TIMEOUT, wanted))
