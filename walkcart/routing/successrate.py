"""What share of a leaf's requests bring a good reply, of late.

A leaf may refuse or fail part of what it gets while its checks are good, and be quick
about it: by its load and its times alone it looks better than its siblings. The share
is decayed by time, so that a leaf that has mended is tried again, and begins with a
few good replies, so that one bad one doesn't condemn it.

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
    `walkcart.routing.ejection.Ejection`, for leafs that fail in a row.
"""

from __future__ import annotations

#: Seconds after which half of what was observed is forgotten. Leafs that fail in part
#: mostly do so for some seconds; tried again too soon each try costs a repeat.
HALF_LIFE = 2.0
#: Good replies that a leaf nothing is known of is credited with.
PRIOR = 2.0
#: Weight of an answer that was lost after the leaf may have run the request; a refusal
#: weighs 1. A loss is seen only when the answer was due, and uses up one of the leafs
#: that may run the request.
LOSS_WEIGHT = 2.0


class SuccessRate:
    """The share of good replies of one leaf."""

    __slots__ = ("_bad", "_good", "_then")

    def __init__(self) -> None:
        self._good = 0.0
        self._bad = 0.0
        self._then = 0.0

    def record(self, now: float, good: bool, lost: bool = False) -> None:
        """Take in how one request ended.

        Args:
            now: the present, in seconds.
            good: whether it brought a good reply.
            lost: whether it may have run, and its answer was lost.
        """
        kept = self._keep(now)
        bad = LOSS_WEIGHT if lost else 1.0
        self._good = self._good * kept + (1.0 if good else 0.0)
        self._bad = self._bad * kept + (0.0 if good else bad)
        self._then = now

    def estimate(self, now: float) -> float:
        """Return the share to expect, over 0 and up to 1."""
        kept = self._keep(now)
        good = self._good * kept + PRIOR
        return good / (good + self._bad * kept)

    def _keep(self, now: float) -> float:
        return 0.5 ** ((now - self._then) / HALF_LIFE)
