"""Leafs that owe replies for longer than they should."""

from __future__ import annotations

from walkcart.leaves.leaf import Leaf

#: A leaf is stalled when nothing came for this many usual times, and at least
#: `MIN_STALL` seconds, while a request waits there.
STALL_FACTOR = 3.0
MIN_STALL = 0.03


def is_stalled(leaf: Leaf, usual: float, now: float) -> bool:
    """Return whether a leaf owes a reply for longer than it should."""
    if not leaf.in_flight:
        return False
    limit = max(STALL_FACTOR * usual, MIN_STALL)
    oldest = next(iter(leaf.in_flight.values()))
    return now - max(oldest, leaf.last_reply_at) > limit
