"""When callers that were refused come back.

The load it answers: many callers that are refused together. Told the same time they
would all be back together.

Examples:
    >>> from random import Random
    >>> time = draw_retry_after(2.0, Random(1))
    >>> 2.0 <= time.total_seconds() <= 2.0 * MAX_SPREAD
    True
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

#: Longest time to come back, as a share of the shortest.
MAX_SPREAD = 1.5


def draw_retry_after(drained: float, random: Random) -> timedelta:
    """Return after which time one of several refused callers is to come back.

    Args:
        drained: seconds until there is room again.
        random: spreads the callers.
    """
    return timedelta(seconds=drained * random.uniform(1.0, MAX_SPREAD))
