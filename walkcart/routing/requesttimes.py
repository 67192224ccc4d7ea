"""How long one kind of request takes, and when a second attempt is due.

A second attempt is due once the first is late, if a leaf for it has a free slot. A busy
one gets it as late as it may be and still come in time, since it would take the place
of another question's first attempt.

Examples:
    >>> find_hedge_time(0.0, objective=0.2, late=0.05, other_high=0.08)
    0.05
    >>> time = find_last_hedge_time(0.0, 0.2, late=0.05, other_high=0.08)
    >>> round(time, 3)
    0.115
    >>> find_last_hedge_time(0.0, 0.1, late=0.06, other_high=0.08)
    0.06
"""

from __future__ import annotations

from walkcart.routing.latency import LatencyWindow

#: What counts as a long time for such a request.
HIGH_QUANTILE = 0.9
#: Observations below which the high time is guessed from the first guess.
LEAST_OBSERVATIONS = 16
#: Usual times after which a request counts as late at the earliest; as
#: `walkcart.routing.hedging.MEDIANS`.
LATE_MEDIANS = 2.0
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


class RequestTimes:
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

    def late(self, now: float) -> float:
        """Return the seconds after which such a request counts as late.

        Where all take about as long, the high time alone would have one in ten asked
        for again that is on its way: with leafs that all take 11 ms a question over six
        shards spent two repeats, and the budget was gone when leafs did turn slow.
        """
        return max(self.high(now), LATE_MEDIANS * self.median(now))

    def high(self, now: float) -> float:
        """Return a long time for such a request, in seconds."""
        if len(self._window) < LEAST_OBSERVATIONS:
            return max(self._first, self.median(now)) * GUESSED_RATIO
        return self._window.quantile(now, HIGH_QUANTILE) or self._first


def find_hedge_time(
    sent: float, objective: float, late: float, other_high: float
) -> float:
    """Return when a second attempt is due at a leaf with a free slot.

    Args:
        sent: when the first one was sent, in seconds.
        objective: by when the reply is wanted; infinite when it doesn't matter.
        late: seconds after which the first attempt counts as late.
        other_high: a long time for the second attempt's leaf.
    """
    if objective == float("inf"):
        return sent + PLAIN_FACTOR * max(late, other_high)
    return sent + late


def find_last_hedge_time(
    sent: float, objective: float, late: float, other_high: float
) -> float:
    """Return until when a second attempt may wait for a leaf with a free slot.

    Args:
        sent: when the first one was sent, in seconds.
        objective: by when the reply is wanted; infinite when it doesn't matter.
        late: seconds after which the first attempt counts as late.
        other_high: a long time for the second attempt's leaf.
    """
    earliest = find_hedge_time(sent, objective, late, other_high)
    if objective == float("inf"):
        return earliest
    latest = objective - OTHER_FACTOR * other_high - HEDGE_RESERVE
    return max(earliest, latest)


def find_recheck_time(sent: float, objective: float, deadline: float) -> float:
    """Return when second attempts that were put off are considered again.

    They are put off where many replies are late at once: the leafs are overloaded, and
    second attempts add to it. A reply that is still missing when half of the time has
    passed is likely lost, and the answer may depend on it. The budget of repeats bounds
    these attempts too.

    Args:
        sent: when the question was sent, in seconds.
        objective: by when the reply is wanted; infinite when it doesn't matter.
        deadline: when its caller leaves.

    Examples:
        >>> find_recheck_time(0.0, objective=0.3, deadline=4.0)
        2.0
        >>> find_recheck_time(0.0, objective=0.3, deadline=0.4)
        0.3
    """
    half = (sent + deadline) / 2
    return half if objective == float("inf") else max(half, objective)
