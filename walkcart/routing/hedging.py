"""Decides when to hedge: when to send a second request to the sibling leaf.

The hedge delay is learned from the latencies of the shard group. It is long enough
that few healthy requests reach it, and short enough to cut the tail latency. Hedging
stops while the group as a whole is slow, since then the sibling is no faster and each
hedge only adds load.

References:
    Dean, Barroso: The Tail at Scale, 2013, for hedging after a high quantile.

See Also:
    ``docs/design/hedging.md`` for the figures.
"""

from __future__ import annotations

from walkcart.routing.latency import LatencyWindow

#: The delay is the larger one of this quantile and this many medians.
QUANTILE = 0.9
MEDIANS = 2.0
#: Lower bound of the delay, and delay while there are few observations, in seconds.
MIN_DELAY = 0.002
FIRST_DELAY = 0.05
#: Observations below which `FIRST_DELAY` applies.
MIN_OBSERVATIONS = 32
#: A group is slow when its median is this many times its recent minimum.
SLOW_FACTOR = 1.6
#: Relative growth of that minimum per second.
BASE_DRIFT = 0.005
#: Share of a question's shards that may be late and still be hedged.
MAX_LATE_SHARE = 0.34
#: Number of late shards that may always be hedged.
MAX_LATE_COUNT = 2


class HedgeDelay:
    """Learns the hedge delay of one shard group."""

    def __init__(self) -> None:
        self._window = LatencyWindow()
        self._base_median: float | None = None
        self._base_updated_at = 0.0

    def observe(self, now: float, latency: float) -> None:
        """Record the latency of one attempt, in seconds."""
        self._window.observe(latency)
        if len(self._window) >= MIN_OBSERVATIONS:
            self._update_base(now)

    def is_group_slow(self, now: float) -> bool:
        """Return whether the group as a whole is slower than without load."""
        if self._base_median is None:
            return False
        return self.median(now) > SLOW_FACTOR * self._base_median

    def _update_base(self, now: float) -> None:
        """Update the minimum of the median, which drifts up so that it is forgotten."""
        median = self.median(now)
        if self._base_median is None:
            self._base_median, self._base_updated_at = median, now
        drifted = self._base_median * (1.0 + BASE_DRIFT * (now - self._base_updated_at))
        self._base_median = min(median, drifted)
        self._base_updated_at = now

    def median(self, now: float) -> float:
        """Return the median latency of the group, in seconds."""
        return self._window.quantile(now, 0.5) or FIRST_DELAY

    def current(self, now: float) -> float:
        """Return the hedge delay, in seconds."""
        if len(self._window) < MIN_OBSERVATIONS:
            return FIRST_DELAY
        high = self._window.quantile(now, QUANTILE) or 0.0
        median = self._window.quantile(now, 0.5) or 0.0
        return max(high, MEDIANS * median, MIN_DELAY)


def may_hedge(asked: int, late: int) -> bool:
    """Return whether the late shards of a question may be hedged.

    Args:
        asked: number of shards that the question went to.
        late: number of shards without a reply after the hedge delay.
    """
    return late <= max(MAX_LATE_COUNT, int(asked * MAX_LATE_SHARE))
