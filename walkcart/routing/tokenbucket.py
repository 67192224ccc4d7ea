"""A token bucket that grants ahead of demand while there is plenty.

The load this answers: many callers of one team, some of which are refused. Near the
limit nothing may lie idle with one asker while another is refused, and those that are
refused must not return together.

Examples:
    >>> bucket = TokenBucket(BucketSize(rate=2.0, depth=8.0, start=0.0), 8.0, now=0.0)
    >>> bucket.take(5, now=0.0), bucket.take(5, now=0.0)
    (4, 1)

See Also:
    `walkcart.routing.quotas`, which keeps one for each team.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Of a bucket below this part of its depth each ask gets one at a time, so that near
#: the limit nothing is held without being used.
SCARCE_PART = 0.5
#: Seconds over which the use of a team is averaged.
USE_TIME = 2.0
#: Longest wait that refused callers are told, in seconds: what they ask may change.
MAX_TURN_WAIT = 5.0
#: For comparing sums of fractions.
_TINY = 1e-9


@dataclass(frozen=True, slots=True)
class BucketSize:
    """How a share of a limit is accounted.

    Args:
        rate: tokens a second.
        depth: most tokens at once.
        start: tokens with which a new account starts.
    """

    rate: float
    depth: float
    start: float


class TokenBucket:
    """Tokens of one team in one share.

    Args:
        size: rate and depth.
        level: tokens now.
        now: seconds of a steady clock.
    """

    __slots__ = ("_at", "_level", "_turn_at", "_use", "size")

    def __init__(self, size: BucketSize, level: float, now: float) -> None:
        self.size = size
        self._level = min(size.depth, level)
        self._at = now
        self._use = 0.0
        self._turn_at = now

    def is_full(self, now: float) -> bool:
        """Return whether a new bucket would be no different."""
        self._fill(now)
        return self._level >= self.size.depth

    def resize(self, size: BucketSize, now: float) -> None:
        """Take another size from now on; what is above its depth is gone."""
        self._fill(now)
        self.size = size
        self._level = min(self._level, size.depth)
        self._turn_at = now

    def take(self, wanted: int, now: float) -> int:
        """Take up to `wanted` tokens; return how many, 0 where there is none."""
        self._fill(now)
        if self._level < 1.0 - _TINY:
            return 0
        spare = self._level - 1.0 - self.size.depth * SCARCE_PART
        taken = 1 + min(max(0, wanted - 1), max(0, math.floor(spare)))
        self._level -= taken
        self._use += taken / USE_TIME
        return taken

    def find_wait(self, now: float) -> float:
        """Return the seconds until there is a token."""
        self._fill(now)
        return max(0.0, 1.0 - self._level) / self.size.rate

    def take_turn(self, now: float) -> float:
        """Return the seconds until one more refused caller's turn.

        Each gets a later one, so that they return as fast as tokens do.
        """
        earliest = now + self.find_wait(now)
        self._turn_at = max(earliest, self._turn_at + 1.0 / self.size.rate)
        self._turn_at = min(self._turn_at, max(earliest, now + MAX_TURN_WAIT))
        return self._turn_at - now

    def find_use(self, now: float) -> float:
        """Return the tokens a second that were taken of late."""
        self._fill(now)
        return self._use

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._level = min(self.size.depth, self._level + passed * self.size.rate)
        self._use *= math.exp(-passed / USE_TIME)
        self._at = max(self._at, now)
