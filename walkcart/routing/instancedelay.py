"""How long an instance itself delays answers: a busy or slow one begins earlier.

Two delays are learned with this: how late an answer leaves that was to be given at its
objective, since tasks that are ready wait for the processor and the merge takes time;
and how long the processor is kept by sending a question's requests.

Examples:
    >>> overshoot = InstanceDelay()
    >>> for _ in range(20):
    ...     overshoot.observe(0.004)
    >>> overshoot.estimate(now=1.0)
    0.004
"""

from __future__ import annotations

from walkcart.routing.latency import LatencyWindow

#: Share of the answers that shall leave in time.
IN_TIME_SHARE = 0.9
#: Fewer observations say nothing.
LEAST_OBSERVATIONS = 8
#: Longest delay that is planned for, in seconds: an instance that lags by more answers
#: late whatever it plans, and planning for it would cost every answer its parts.
LONGEST = 0.03


class InstanceDelay:
    """Learns one delay of an instance."""

    def __init__(self) -> None:
        self._window = LatencyWindow()

    def observe(self, delay: float) -> None:
        """Take in how late one answer left, in seconds."""
        self._window.observe(delay)

    def estimate(self, now: float) -> float:
        """Return the delay to plan for, in seconds."""
        if len(self._window) < LEAST_OBSERVATIONS:
            return 0.0
        delay = self._window.quantile(now, IN_TIME_SHARE) or 0.0
        return min(LONGEST, delay)
