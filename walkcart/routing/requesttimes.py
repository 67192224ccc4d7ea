"""Learns how long one kind of request takes, and when a second attempt is due.

A second attempt is due once the first one is late, if a leaf with a free slot is
available for it. A busy leaf gets it as late as possible for the objective, since
there it would displace another question's first attempt.

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

#: Quantile that counts as the high time of a kind of request.
HIGH_QUANTILE = 0.9
#: Observations below which the high time is estimated from the median.
MIN_OBSERVATIONS = 16
#: Medians after which a request counts as late at the earliest, like
#: `walkcart.routing.hedging.MEDIANS`.
LATE_MEDIANS = 2.0
#: Estimated ratio of the high time to the median while there are few observations.
DEFAULT_HIGH_RATIO = 2.0
#: Seconds of the objective that are reserved for the time after the reply: this
#: instance's event loop and the merge.
HEDGE_RESERVE = 0.005
#: High times of the second attempt's leaf that must remain until the objective. A
#: reserve of 1.5 gains nothing.
HIGH_TIMES_LEFT = 1.0
#: High times after which a second attempt without an objective is due.
NO_OBJECTIVE_FACTOR = 1.5


class RequestTimes:
    """Learns the times of one kind of request.

    Args:
        first: time to assume before any observation, in seconds.
    """

    def __init__(self, first: float) -> None:
        self._default = first
        self._window = LatencyWindow()

    def observe(self, elapsed: float) -> None:
        """Record the time of one request, in seconds."""
        self._window.observe(elapsed)

    def median(self, now: float) -> float:
        """Return the median time, in seconds."""
        return self._window.quantile(now, 0.5) or self._default

    def late(self, now: float) -> float:
        """Return the seconds after which such a request counts as late.

        Where all requests take about equally long, the high time alone would repeat one
        in ten requests whose reply is on its way. With leaves that all take 11 ms, a
        question over six shards spent two repeats, and the budget was gone when leaves
        did turn slow.
        """
        return max(self.high(now), LATE_MEDIANS * self.median(now))

    def high(self, now: float) -> float:
        """Return the high time of such a request, in seconds."""
        if len(self._window) < MIN_OBSERVATIONS:
            return max(self._default, self.median(now)) * DEFAULT_HIGH_RATIO
        return self._window.quantile(now, HIGH_QUANTILE) or self._default


def find_hedge_time(
    sent: float, objective: float, late: float, other_high: float
) -> float:
    """Return when a second attempt is due at a leaf with a free slot.

    Args:
        sent: when the first attempt was sent, in seconds.
        objective: when the reply is wanted, in seconds; infinite without an objective.
        late: seconds after which the first attempt counts as late.
        other_high: high time of the second attempt's leaf, in seconds.
    """
    if objective == float("inf"):
        return sent + NO_OBJECTIVE_FACTOR * max(late, other_high)
    return sent + late


def find_last_hedge_time(
    sent: float, objective: float, late: float, other_high: float
) -> float:
    """Return until when a second attempt may wait for a leaf with a free slot.

    Args:
        sent: when the first attempt was sent, in seconds.
        objective: when the reply is wanted, in seconds; infinite without an objective.
        late: seconds after which the first attempt counts as late.
        other_high: high time of the second attempt's leaf, in seconds.
    """
    earliest = find_hedge_time(sent, objective, late, other_high)
    if objective == float("inf"):
        return earliest
    latest = objective - HIGH_TIMES_LEFT * other_high - HEDGE_RESERVE
    return max(earliest, latest)


def find_recheck_time(sent: float, objective: float, deadline: float) -> float:
    """Return when postponed second attempts are considered again.

    They are postponed where many replies are late at once, since the leaves are then
    overloaded and second attempts add to the load. A reply that is still missing after
    half of the time is likely lost, and the answer may depend on it. The budget of
    repeats limits these attempts too.

    Args:
        sent: when the question was sent, in seconds.
        objective: when the reply is wanted, in seconds; infinite without an objective.
        deadline: when the caller stops waiting, in seconds.

    Examples:
        >>> find_recheck_time(0.0, objective=0.3, deadline=4.0)
        2.0
        >>> find_recheck_time(0.0, objective=0.3, deadline=0.4)
        0.3
    """
    half = (sent + deadline) / 2
    return half if objective == float("inf") else max(half, objective)
