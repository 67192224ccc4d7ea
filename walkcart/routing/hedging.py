"""When a second request to the sibling leaf is worth its cost.

The delay is learned from the latencies of the shard group: long enough that few
healthy requests reach it, short enough to save the tail. Hedging stops by itself
when the group as a whole is slow, since then the sibling is no faster and each
hedge only adds load.

References:
    Dean, Barroso: The Tail at Scale, 2013, for hedging after a high quantile.

See Also:
    ``docs/design/hedging.md`` for the figures.
"""

from __future__ import annotations

from walkcart.routing.latency import LatencyWindow

#: The delay is this quantile, or this many medians if that is more.
QUANTILE = 0.9
MEDIANS = 2.0
LEAST_DELAY = 0.002
FIRST_DELAY = 0.05
LEAST_OBSERVATIONS = 32
#: The group is slow when its median is this many times the least of late.
SLOW_FACTOR = 1.6
#: Share of itself by which that least one grows in a second.
BASE_DRIFT = 0.005
#: Share of a question's shards that may be late and still earn hedges.
LATE_SHARE = 0.34
#: Late shards that always may.
LATE_COUNT = 2


class HedgeDelay:
    """Learns the delay of one shard group."""

    def __init__(self) -> None:
        self._window = LatencyWindow()
        self._base: float | None = None
        self._base_at = 0.0

    def observe(self, now: float, latency: float) -> None:
        """Take in the latency of one attempt, in seconds."""
        self._window.observe(latency)
        if len(self._window) >= LEAST_OBSERVATIONS:
            self._update_base(now)

    def is_group_slow(self, now: float) -> bool:
        """Return whether the group as a whole is slower than it is unloaded."""
        if self._base is None:
            return False
        return self.median(now) > SLOW_FACTOR * self._base

    def _update_base(self, now: float) -> None:
        """Keep the least median of late; it drifts up so that it can be forgotten."""
        median = self.median(now)
        if self._base is None:
            self._base, self._base_at = median, now
        drifted = self._base * (1.0 + BASE_DRIFT * (now - self._base_at))
        self._base = min(median, drifted)
        self._base_at = now

    def median(self, now: float) -> float:
        """Return the median latency of the group, in seconds."""
        return self._window.quantile(now, 0.5) or FIRST_DELAY

    def current(self, now: float) -> float:
        """Return the delay, in seconds."""
        if len(self._window) < LEAST_OBSERVATIONS:
            return FIRST_DELAY
        high = self._window.quantile(now, QUANTILE) or 0.0
        median = self._window.quantile(now, 0.5) or 0.0
        return max(high, MEDIANS * median, LEAST_DELAY)


def may_hedge(asked: int, late: int) -> bool:
    """Return whether late shards of a question earn hedges.

    Args:
        asked: shards that the question went to.
        late: those without a reply when the delay has passed.
    """
    return late <= max(LATE_COUNT, int(asked * LATE_SHARE))
