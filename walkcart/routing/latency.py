"""Latency estimates that decay over time."""

from __future__ import annotations

#: Half-life of the observations, in seconds.
HALF_LIFE = 5.0
#: Weight of a new observation.
NEW_WEIGHT = 0.2
#: Number of observations in a window.
WINDOW_SIZE = 512
#: Seconds between two sorts of a window.
SORT_INTERVAL = 0.1


class DecayedLatency:
    """A moving average that decays to a prior while nothing is observed.

    The decay brings a leaf that was slow once back into use.

    Examples:
        >>> latency = DecayedLatency()
        >>> latency.observe(0.0, 1.0)
        >>> latency.estimate(0.0, prior=0.01)
        1.0
        >>> latency.estimate(HALF_LIFE, prior=0.0)
        0.5
    """

    __slots__ = ("_mean", "_observed_at")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._observed_at = 0.0

    def observe(self, now: float, latency: float) -> None:
        """Record one latency, in seconds."""
        if self._mean is None:
            self._mean = latency
        else:
            kept = self.estimate(now, self._mean)
            self._mean = kept + NEW_WEIGHT * (latency - kept)
        self._observed_at = now

    def observe_at_least(self, now: float, latency: float) -> None:
        """Record that a request has already been waiting for `latency` seconds."""
        if self._mean is None or latency > self._mean:
            self.observe(now, latency)

    def estimate(self, now: float, prior: float) -> float:
        """Return the expected latency, in seconds.

        Args:
            now: current time, in seconds.
            prior: latency to expect without observations, in seconds.
        """
        if self._mean is None:
            return prior
        weight = 0.5 ** ((now - self._observed_at) / HALF_LIFE)
        return weight * self._mean + (1 - weight) * prior


class LatencyWindow:
    """Quantiles of the last latencies of a group of leaves."""

    def __init__(self) -> None:
        self._values: list[float] = []
        self._next = 0
        self._sorted: list[float] = []
        self._sorted_at = float("-inf")

    def __len__(self) -> int:
        return len(self._values)

    def observe(self, latency: float) -> None:
        """Record one latency, in seconds."""
        if len(self._values) < WINDOW_SIZE:
            self._values.append(latency)
            return
        self._values[self._next] = latency
        self._next = (self._next + 1) % WINDOW_SIZE

    def quantile(self, now: float, share: float) -> float | None:
        """Return the quantile `share` of the observations, None without any."""
        self._refresh(now)
        if not self._sorted:
            return None
        place = min(len(self._sorted) - 1, int(share * len(self._sorted)))
        return self._sorted[place]

    def _refresh(self, now: float) -> None:
        if now - self._sorted_at >= SORT_INTERVAL or len(self._sorted) < 16:
            self._sorted = sorted(self._values)
            self._sorted_at = now
