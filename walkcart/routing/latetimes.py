"""Decides when the late parts of a question are requested together in another region.

Where every region has a leaf of each shard, a second attempt for a late shard goes to
another region. A single message that returns merged records costs less than a request
and a reply for each late shard. It is sent once the nearby leaves have taken longer
than nine in ten requests do, which is early enough to find stuck requests in time.

Examples:
    >>> time = find_late_request_time(0.0, 0.2, near_high=0.04, late_high=0.06)
    >>> round(time, 3)
    0.05
    >>> find_late_request_time(0.0, objective=0.05, near_high=0.03, late_high=0.06)
    inf

See Also:
    `walkcart.routing.requesttimes.find_hedge_time`, for second attempts one by one.
"""

from __future__ import annotations

#: Seconds from a peer's reply to the next step of the asking instance, while the
#: processors of both are busy.
STEP_TIME = 0.01
#: Seconds after the request time during which replies of other instances are still
#: waited for.
LATE_REPLY_GRACE = 0.008
#: Seconds of the objective that are reserved for the merge of the last reply.
MERGE_RESERVE = 0.005
#: Round trip between regions before any observation, in seconds.
FIRST_ROUND_TRIP = 0.02
#: Weight of a new observation.
NEW_WEIGHT = 0.2


class PeerPartTimes:
    """Learns how long parts from other instances take.

    Examples:
        >>> times = PeerPartTimes()
        >>> times.record_near("search", 0.04)
        >>> round(times.estimate_late("search", 0.06), 3)
        0.07
    """

    def __init__(self) -> None:
        self._near_high: dict[str, float] = {}
        self._round_trip = FIRST_ROUND_TRIP

    def record_near(self, kind: str, high: float) -> None:
        """Record the high time of a leaf near another instance, as that one reports.

        Args:
            kind: kind of the request.
            high: the high time, in seconds.
        """
        before = self._near_high.get(kind, high)
        self._near_high[kind] = before + NEW_WEIGHT * (high - before)

    def record_round_trip(self, elapsed: float) -> None:
        """Record the round trip to an instance in another region, in seconds."""
        self._round_trip += NEW_WEIGHT * (elapsed - self._round_trip)

    def estimate_near(self, kind: str, own: float) -> float:
        """Return the high time of a leaf near the instance that asks it, in seconds.

        Args:
            kind: kind of the request.
            own: high time of leaves near this instance, used if no other instance
                reported one.
        """
        return self._near_high.get(kind, own)

    def estimate_late(self, kind: str, own: float) -> float:
        """Return the high time of late parts from another region, in seconds."""
        return self.estimate_near(kind, own) + self._round_trip + STEP_TIME


def find_late_request_time(
    now: float, objective: float, near_high: float, late_high: float
) -> float:
    """Return when late parts are requested together; infinite when it is too late.

    Args:
        now: current time, in seconds.
        objective: when the answer is wanted, in seconds.
        near_high: high time of a nearby leaf, in seconds.
        late_high: high time of late parts from another region, in seconds.
    """
    if objective == float("inf"):
        return objective
    latest = objective - late_high - MERGE_RESERVE
    earliest = now + near_high + STEP_TIME
    if earliest > latest + late_high / 2:
        return float("inf")
    return earliest
