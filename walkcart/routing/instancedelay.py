"""Learns how long an instance itself delays answers, so that it can begin earlier.

It is used for two delays. One is how late an answer is sent that was due at its
objective, since ready tasks wait for the processor and the merge takes time. The other
is how long sending a question's requests keeps the processor busy.

Examples:
    >>> delay = InstanceDelay()
    >>> for _ in range(20):
    ...     delay.observe(0.004)
    >>> delay.estimate(now=1.0)
    0.004
"""

from __future__ import annotations

from walkcart.routing.latency import LatencyWindow

#: Share of the answers that are to be in time.
IN_TIME_SHARE = 0.9
#: Observations below which no delay is estimated.
MIN_OBSERVATIONS = 8
#: Upper bound of the estimate, in seconds. An instance with a longer delay answers late
#: in any case, and allowing for that delay would cost every answer its parts.
MAX_DELAY = 0.03


class InstanceDelay:
    """Learns one delay of an instance."""

    def __init__(self) -> None:
        self._window = LatencyWindow()

    def observe(self, delay: float) -> None:
        """Record one delay, in seconds."""
        self._window.observe(delay)

    def estimate(self, now: float) -> float:
        """Return the delay to allow for, in seconds."""
        if len(self._window) < MIN_OBSERVATIONS:
            return 0.0
        delay = self._window.quantile(now, IN_TIME_SHARE) or 0.0
        return min(MAX_DELAY, delay)
