"""What an instance holds of teams' rate limits, and whom it asks for more.

The load this answers: many instances with a few requests of each team, one instance
with many, and a team far above its limit whose refusals must cost next to nothing.

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

from walkcart.routing.exhaustedshares import FullShares

#: Seconds over which the use of a team at this instance is averaged.
USE_TIME = 1.0
#: Most that is asked for at once: the flow of a very busy instance within the hold.
MOST_WANTED = 64
#: Part of the hold within which a request that didn't run gives back what it took.
GIVE_BACK_PART = 0.5
#: Least and most seconds that an accountant may take before the next one is asked.
#: The least is above the pauses of a busy processor; with the most, a request still
#: reaches several silent accountants before it is refused.
LEAST_PATIENCE = 0.04
MOST_PATIENCE = 0.12
#: Seconds to wait for an answer, as a multiple of the usual time of one.
PATIENCE_FACTOR = 3.0
#: Weight of the newest answer in the usual time.
NEWEST_WEIGHT = 0.1


class Allowance:
    """What is held of one team's limit.

    Args:
        hold: seconds for which a grant holds.

    Attributes:
        full: the shares that had no room.
    """

    __slots__ = ("_at", "_held", "_hold", "_until", "_use", "full")

    def __init__(self, hold: float) -> None:
        self._hold = hold
        self._held = 0
        self._until = -math.inf
        self._use = 0.0
        self._at = -math.inf
        self.full = FullShares()

    def try_consume(self, now: float) -> bool:
        """Take one request from what is held; False when nothing is."""
        if now >= self._until:
            self._held = 0
        if self._held < 1:
            return False
        self._held -= 1
        return True

    def add_grant(self, amount: int, until: float) -> None:
        """Hold what was granted, until the earlier end of what is held."""
        if amount < 1:
            return
        self._until = min(until, self._until) if self._held else until
        self._held += amount

    def refund(self, admitted_at: float, now: float) -> None:
        """Hold again what a request took that didn't run, if that was just now.

        Args:
            admitted_at: when the request came, in seconds.
            now: seconds of the same clock.
        """
        until = admitted_at + self._hold * GIVE_BACK_PART
        if now < until:
            self.add_grant(1, until)

    def record_use(self, now: float) -> None:
        """Note that a request was admitted."""
        self._fade(now)
        self._use += 1.0 / USE_TIME

    def find_request_amount(self, now: float) -> int:
        """Return how much to ask for: one, and what is used while a grant holds."""
        self._fade(now)
        return min(MOST_WANTED, 1 + math.floor(self._use * self._hold))

    def _fade(self, now: float) -> None:
        if now > self._at:
            self._use *= math.exp((self._at - now) / USE_TIME)
            self._at = now


class ReplyTimeout:
    """For how long to wait for an accountant before another is asked.

    Examples:
        >>> patience = ReplyTimeout()
        >>> patience.find_timeout()
        0.12
        >>> for _ in range(60):
        ...     patience.record(0.002)
        >>> patience.find_timeout()
        0.04
    """

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual = MOST_PATIENCE / PATIENCE_FACTOR

    def record(self, seconds: float) -> None:
        """Note how long an answer took; longer ones count at once."""
        faded = self._usual + NEWEST_WEIGHT * (seconds - self._usual)
        self._usual = max(seconds, faded)

    def find_timeout(self) -> float:
        """Return the seconds to wait."""
        wanted = PATIENCE_FACTOR * self._usual
        return min(MOST_PATIENCE, max(LEAST_PATIENCE, wanted))
