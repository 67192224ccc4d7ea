"""Estimates of latency that forget by time."""

from __future__ import annotations

#: Seconds after which half of what was observed is forgotten.
HALF_LIFE = 5.0
#: Weight of a new observation.
GAIN = 0.2
WINDOW_SIZE = 512
#: Seconds between two sorts of a window.
REFRESH = 0.1


class DecayedLatency:
    """A moving average that goes back to a prior when nothing is observed.

    Forgetting is what brings a leaf that was slow once back into use.

    Examples:
        >>> latency = DecayedLatency()
        >>> latency.observe(0.0, 1.0)
        >>> latency.estimate(0.0, prior=0.01)
        1.0
        >>> latency.estimate(HALF_LIFE, prior=0.0)
        0.5
    """

    __slots__ = ("_mean", "_then")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._then = 0.0

    def observe(self, now: float, latency: float) -> None:
        """Take in one latency, in seconds."""
        if self._mean is None:
            self._mean = latency
        else:
            kept = self.estimate(now, self._mean)
            self._mean = kept + GAIN * (latency - kept)
        self._then = now

    def observe_at_least(self, now: float, latency: float) -> None:
        """Take in that a request has been waiting for `latency` already."""
        if self._mean is None or latency > self._mean:
            self.observe(now, latency)

    def estimate(self, now: float, prior: float) -> float:
        """Return the expected latency, in seconds.

        Args:
            now: the present, in seconds.
            prior: what to expect of a leaf that nothing is known of.
        """
        if self._mean is None:
            return prior
        weight = 0.5 ** ((now - self._then) / HALF_LIFE)
        return weight * self._mean + (1 - weight) * prior


class LatencyWindow:
    """Quantiles over the last latencies of a group of leaves."""

    def __init__(self) -> None:
        self._values: list[float] = []
        self._next = 0
        self._sorted: list[float] = []
        self._sorted_at = float("-inf")

    def __len__(self) -> int:
        return len(self._values)

    def observe(self, latency: float) -> None:
        """Take in one latency, in seconds."""
        if len(self._values) < WINDOW_SIZE:
            self._values.append(latency)
            return
        self._values[self._next] = latency
        self._next = (self._next + 1) % WINDOW_SIZE

    def quantile(self, now: float, share: float) -> float | None:
        """Return the latency that `share` of the observations don't pass."""
        self._refresh(now)
        if not self._sorted:
            return None
        place = min(len(self._sorted) - 1, int(share * len(self._sorted)))
        return self._sorted[place]

    def _refresh(self, now: float) -> None:
        if now - self._sorted_at >= REFRESH or len(self._sorted) < 16:
            self._sorted = sorted(self._values)
            self._sorted_at = now
