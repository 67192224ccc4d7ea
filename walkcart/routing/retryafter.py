"""Spreads the times at which refused callers retry.

Many callers may be refused at the same moment. If all were told the same time to retry
after, all would return together.

Examples:
    >>> from random import Random
    >>> time = draw_retry_after(2.0, Random(1))
    >>> 2.0 <= time.total_seconds() <= 2.0 * MAX_SPREAD
    True
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

#: Longest time to retry after, as a multiple of the shortest one.
MAX_SPREAD = 1.5
#: Longest wait that is spread, in seconds; a longer or infinite one means never.
MAX_WAIT = 3600.0


def draw_retry_after(wait: float, random: Random) -> timedelta:
    """Return a random time after which one of several refused callers is to retry.

    Args:
        wait: seconds until there is capacity again.
        random: source of randomness.
    """
    spread = random.uniform(1.0, MAX_SPREAD)
    return timedelta(seconds=min(MAX_WAIT, wait) * spread)
