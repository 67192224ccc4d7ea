"""How many requests one instance keeps in progress at one leaf.

The limit follows the latency: it grows while replies come about as fast as
they ever do and shrinks when they slow down or the leaf sheds. What is over
waits in this instance, where it can still be cancelled at no cost.

References:
    Additive increase, multiplicative decrease after Chiu and Jain, 1989.
"""

from __future__ import annotations

LEAST = 1.0
#: A reply slower than this many times the usual counts as a sign of queueing.
SLOW_FACTOR = 3.0
DECREASE = 0.8
#: Seconds between two decreases, so that one burst counts once.
DECREASE_GAP = 0.1


class ConcurrencyLimit:
    """The limit for one leaf.

    Args:
        first: limit to start with, in requests.
        most: limit never passed, in requests.
    """

    __slots__ = ("_decreased_at", "_limit", "_most")

    def __init__(self, first: float, most: float) -> None:
        self._limit = max(LEAST, min(first, most))
        self._most = max(LEAST, most)
        self._decreased_at = float("-inf")

    @property
    def current(self) -> int:
        """Requests that may be in progress."""
        return int(self._limit)

    def set_most(self, most: float) -> None:
        """Change the bound that is never passed."""
        self._most = max(LEAST, most)
        self._limit = min(self._limit, self._most)

    def note_reply(self, now: float, latency: float, usual: float) -> None:
        """Take in a reply.

        Args:
            now: the present, in seconds.
            latency: of the reply, in seconds.
            usual: median latency of the leaf's group, in seconds.
        """
        if latency > SLOW_FACTOR * usual:
            self._decrease(now)
        else:
            self._limit = min(self._most, self._limit + 1.0 / self._limit)

    def note_shed(self, now: float) -> None:
        """Take in that the leaf refused a request for load."""
        self._decrease(now)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at >= DECREASE_GAP:
            self._limit = max(LEAST, self._limit * DECREASE)
            self._decreased_at = now
