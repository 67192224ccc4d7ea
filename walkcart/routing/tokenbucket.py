"""A token bucket that grants tokens in advance while it is well filled.

Many callers of one team may ask, some of which are refused. Near the limit no token may
lie idle at one asker while another is refused, and refused callers must not all retry
at the same time.

Examples:
    >>> bucket = TokenBucket(BucketSize(rate=2.0, depth=8.0, start=0.0), 8.0, now=0.0)
    >>> bucket.consume(5, now=0.0), bucket.consume(5, now=0.0)
    (4, 1)

See Also:
    `walkcart.routing.quotas`, which keeps one for each team.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Fraction of its depth below which a bucket grants one token at a time, so that near
#: the limit no token is held unused.
SCARCE_FRACTION = 0.5
#: Time constant of the average use of a team, in seconds.
USE_TIME = 2.0
#: Longest wait that a refused caller is told, in seconds, since its demand may change.
MAX_TURN_WAIT = 5.0
#: Tolerance for rounding errors.
_EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class BucketSize:
    """The size of a token bucket.

    Args:
        rate: tokens per second.
        depth: maximum number of tokens.
        start: tokens in a new bucket.
    """

    rate: float
    depth: float
    start: float


class TokenBucket:
    """The tokens of one team in one share of its limit.

    Args:
        size: rate and depth.
        level: current number of tokens.
        now: current time of a monotonic clock, in seconds.
    """

    __slots__ = ("_filled_at", "_level", "_turn_at", "_use_rate", "size")

    def __init__(self, size: BucketSize, level: float, now: float) -> None:
        self.size = size
        self._level = min(size.depth, level)
        self._filled_at = now
        self._use_rate = 0.0
        self._turn_at = now

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is full, as a new one would be."""
        self._refill(now)
        return self._level >= self.size.depth

    def resize(self, size: BucketSize, now: float) -> None:
        """Change the size; tokens above the new depth are lost."""
        self._refill(now)
        self.size = size
        self._level = min(self._level, size.depth)
        self._turn_at = now

    def consume(self, wanted: int, now: float) -> int:
        """Take up to `wanted` tokens; return how many were taken."""
        self._refill(now)
        if self._level < 1.0 - _EPSILON:
            return 0
        spare = self._level - 1.0 - self.size.depth * SCARCE_FRACTION
        taken = 1 + min(max(0, wanted - 1), max(0, math.floor(spare)))
        self._level -= taken
        self._use_rate += taken / USE_TIME
        return taken

    def find_wait(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self._refill(now)
        return max(0.0, 1.0 - self._level) / self.size.rate

    def assign_turn(self, now: float) -> float:
        """Return the seconds until the turn of one more refused caller.

        Each caller gets a later turn, so that callers return at the rate of the tokens.
        """
        earliest = now + self.find_wait(now)
        self._turn_at = max(earliest, self._turn_at + 1.0 / self.size.rate)
        self._turn_at = min(self._turn_at, max(earliest, now + MAX_TURN_WAIT))
        return self._turn_at - now

    def find_use(self, now: float) -> float:
        """Return the tokens per second that were recently taken."""
        self._refill(now)
        return self._use_rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._level = min(self.size.depth, self._level + elapsed * self.size.rate)
        self._use_rate *= math.exp(-elapsed / USE_TIME)
        self._filled_at = max(self._filled_at, now)
