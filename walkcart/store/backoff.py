"""Waits between tries that grow, with jitter so that instances spread out."""

from __future__ import annotations

from datetime import timedelta
from random import Random

GROWTH = 2.0


class Backoff:
    """Gives the next wait after each failure.

    Args:
        first: longest wait after the first failure.
        limit: longest wait at all.
        random: source of the jitter.
    """

    def __init__(self, first: timedelta, limit: timedelta, random: Random) -> None:
        self._first = first.total_seconds()
        self._limit = limit.total_seconds()
        self._random = random
        self._next = self._first

    def next_delay(self) -> timedelta:
        """Return the next wait: half to all of a bound that grows."""
        bound = self._next
        self._next = min(self._next * GROWTH, self._limit)
        return timedelta(seconds=bound * self._random.uniform(0.5, 1.0))

    def reset(self) -> None:
        """Start again after a success."""
        self._next = self._first
