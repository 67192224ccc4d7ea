"""How long one kind of request takes, and when a second attempt is due.

A second attempt is due once the first has taken longer than nine in ten do, if a leaf
for it has a free slot; a busy one gets it as late as it may be and still come in time,
since it would take the place of another question's first attempt.

Examples:
    >>> find_hedge_time(0.0, objective=0.2, usual_high=0.05, other_high=0.08)
    0.05
    >>> time = find_last_hedge_time(0.0, 0.2, usual_high=0.05, other_high=0.08)
    >>> round(time, 3)
    0.115
    >>> find_last_hedge_time(0.0, 0.1, usual_high=0.06, other_high=0.08)
    0.06
"""

from __future__ import annotations

from walkcart.routing.latency import LatencyWindow

#: What counts as a long time for such a request.
HIGH_QUANTILE = 0.9
#: Observations below which the high time is guessed from the first guess.
LEAST_OBSERVATIONS = 16
#: High time over the usual one while little was observed.
GUESSED_RATIO = 2.0
#: Seconds kept back from the objective for what happens after the reply: its way
#: through this instance's event loop and the merge.
HEDGE_RESERVE = 0.005
#: High times of the second attempt's leaf that must be left until the objective. 1.5
#: was tried and gained nothing.
OTHER_FACTOR = 1.0
#: Second attempts without an objective are due after this many high times.
PLAIN_FACTOR = 1.5


class KindTimes:
    """Learns the times of one kind of request.

    Args:
        first: seconds that it is taken to need before any was observed.
    """

    def __init__(self, first: float) -> None:
        self._first = first
        self._window = LatencyWindow()

    def observe(self, elapsed: float) -> None:
        """Take in the seconds that one request took."""
        self._window.observe(elapsed)

    def median(self, now: float) -> float:
        """Return the usual time, in seconds."""
        return self._window.quantile(now, 0.5) or self._first

    def high(self, now: float) -> float:
        """Return a long time for such a request, in seconds."""
        if len(self._window) < LEAST_OBSERVATIONS:
            return max(self._first, self.median(now)) * GUESSED_RATIO
        return self._window.quantile(now, HIGH_QUANTILE) or self._first


def find_hedge_time(
    sent: float, objective: float, usual_high: float, other_high: float
) -> float:
    """Return when a second attempt is due at a leaf with a free slot.

    Args:
        sent: when the first one was sent, in seconds.
        objective: by when the reply is wanted; infinite when it doesn't matter.
        usual_high: a long time for the first attempt's leaf.
        other_high: a long time for the second attempt's leaf.
    """
    if objective == float("inf"):
        return sent + PLAIN_FACTOR * max(usual_high, other_high)
    return sent + usual_high


def find_last_hedge_time(
    sent: float, objective: float, usual_high: float, other_high: float
) -> float:
    """Return until when a second attempt may wait for a leaf with a free slot.

    Args:
        sent: when the first one was sent, in seconds.
        objective: by when the reply is wanted; infinite when it doesn't matter.
        usual_high: a long time for the first attempt's leaf.
        other_high: a long time for the second attempt's leaf.
    """
    earliest = find_hedge_time(sent, objective, usual_high, other_high)
    if objective == float("inf"):
        return earliest
    latest = objective - OTHER_FACTOR * other_high - HEDGE_RESERVE
    return max(earliest, latest)
