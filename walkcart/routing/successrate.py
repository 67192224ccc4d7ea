"""Estimates the share of a leaf's recent requests that get a good reply.

A leaf may quickly refuse or fail part of its requests while its health checks succeed.
By its load and its times alone it then looks better than its siblings. Observations
decay over time, so that a leaf that has recovered is used again. The estimate begins
with a few good replies, so that a single bad one has little effect.

Examples:
    >>> share = SuccessRate()
    >>> share.estimate(now=0.0)
    1.0
    >>> for _ in range(4):
    ...     share.record(now=0.0, good=False)
    >>> round(share.estimate(now=0.0), 2)
    0.33
    >>> round(share.estimate(now=4 * HALF_LIFE), 2)
    0.89

See Also:
    `walkcart.routing.ejection.Ejection`, for leaves that fail several times in a row.
"""

from __future__ import annotations

#: Half-life of the observations, in seconds. Partial failures of leaves mostly last
#: some seconds; an attempt that is made too soon costs a repeat.
HALF_LIFE = 2.0
#: Number of good replies that a leaf without observations is credited with.
PRIOR = 2.0
#: Weight of a reply that was lost after the leaf may have run the request; a refusal
#: has weight 1. A loss is noticed only when the reply is due, and it uses up one of the
#: leaves that may run the request.
LOSS_WEIGHT = 2.0


class SuccessRate:
    """The recent share of good replies of one leaf."""

    __slots__ = ("_bad", "_good", "_recorded_at")

    def __init__(self) -> None:
        self._good = 0.0
        self._bad = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, good: bool, lost: bool = False) -> None:
        """Record how one request ended.

        Args:
            now: current time, in seconds.
            good: whether it got a good reply.
            lost: whether it may have run and its reply was lost.
        """
        decay = self._find_decay(now)
        bad = LOSS_WEIGHT if lost else 1.0
        self._good = self._good * decay + (1.0 if good else 0.0)
        self._bad = self._bad * decay + (0.0 if good else bad)
        self._recorded_at = now

    def estimate(self, now: float) -> float:
        """Return the expected share of good replies, above 0 and at most 1."""
        decay = self._find_decay(now)
        good = self._good * decay + PRIOR
        return good / (good + self._bad * decay)

    def _find_decay(self, now: float) -> float:
        return 0.5 ** ((now - self._recorded_at) / HALF_LIFE)
