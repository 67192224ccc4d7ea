"""Detection of stalled leaves, whose replies are overdue."""

from __future__ import annotations

from walkcart.leaves.leaf import Leaf

#: A leaf is stalled when it has sent nothing for this many times the usual reply time,
#: and at least `MIN_STALL` seconds, while a request is in progress there.
STALL_FACTOR = 3.0
MIN_STALL = 0.03


def is_stalled(leaf: Leaf, usual: float, now: float) -> bool:
    """Return whether a reply of a leaf is overdue.

    Args:
        leaf: the leaf.
        usual: seconds that its replies usually take.
        now: the present, in seconds.
    """
    if not leaf.in_flight:
        return False
    limit = max(STALL_FACTOR * usual, MIN_STALL)
    oldest = next(iter(leaf.in_flight.values()))
    return now - max(oldest, leaf.last_reply_at) > limit
