"""Exponential backoff with jitter, so that instances don't retry together."""

from __future__ import annotations

from datetime import timedelta
from random import Random

#: Factor of the delay from one failure to the next.
GROWTH_FACTOR = 2.0


class Backoff:
    """Exponential backoff with jitter.

    Args:
        first: maximum delay after the first failure.
        limit: maximum delay after any failure.
        random: source of the jitter.
    """

    def __init__(self, first: timedelta, limit: timedelta, random: Random) -> None:
        self._first = first.total_seconds()
        self._limit = limit.total_seconds()
        self._random = random
        self._next = self._first

    def next_delay(self) -> timedelta:
        """Return the next delay, random from half of a growing bound to the bound."""
        bound = self._next
        self._next = min(self._next * GROWTH_FACTOR, self._limit)
        return timedelta(seconds=bound * self._random.uniform(0.5, 1.0))

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self._next = self._first
