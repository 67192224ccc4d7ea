"""When the late parts of a question are asked for in another region, all together.

Where a leaf of each shard stands in every region, a second attempt at a late shard
goes to another region. One message there that brings back merged records costs less
than a request and a reply for each late shard. It is sent once a near leaf has taken
longer than nine in ten do: what waits there in vain is then found in time.

Examples:
    >>> round(find_late_request_time(0.0, objective=0.2, near_high=0.04, late_high=0.06), 3)
    0.05
    >>> find_late_request_time(0.0, objective=0.05, near_high=0.03, late_high=0.06)
    inf

See Also:
    `walkcart.routing.requesttimes.find_hedge_time`, for second attempts one by one.
"""

from __future__ import annotations

#: Seconds from an instance's reply to the asker's next step: both are busy.
STEP_TIME = 0.01
#: Seconds past the time to settle for which other instances' replies are waited for.
LATE_REPLY_GRACE = 0.008
#: Seconds kept back from the objective for the merge of the last reply.
SETTLE_RESERVE = 0.005
#: Seconds between regions and back before any was observed.
FIRST_WAY = 0.02
#: Weight of a new observation.
GAIN = 0.2


class PeerPartTimes:
    """Learns what decides how long parts from other instances take.

    Examples:
        >>> times = PeerPartTimes()
        >>> times.record_near("search", 0.04)
        >>> round(times.estimate_late("search", 0.06), 3)
        0.07
    """

    def __init__(self) -> None:
        self._near: dict[str, float] = {}
        self._way = FIRST_WAY

    def record_near(self, kind: str, high: float) -> None:
        """Note what an instance says is a long time for a leaf near to it."""
        before = self._near.get(kind, high)
        self._near[kind] = before + GAIN * (high - before)

    def record_round_trip(self, elapsed: float) -> None:
        """Note the seconds to an instance in another region and back."""
        self._way += GAIN * (elapsed - self._way)

    def estimate_near(self, kind: str, own: float) -> float:
        """Return a long time for a leaf near the instance that asks it.

        Args:
            kind: of the request.
            own: what it is for leafs near this instance, if no other one said.
        """
        return self._near.get(kind, own)

    def estimate_late(self, kind: str, own: float) -> float:
        """Return a long time for late parts from another region."""
        return self.estimate_near(kind, own) + self._way + STEP_TIME


def find_late_request_time(
    now: float, objective: float, near_high: float, late_high: float
) -> float:
    """Return when late parts are asked for together; infinite when that's too late.

    Args:
        now: the present, in seconds.
        objective: by when the answer is wanted.
        near_high: a long time for a leaf that is near.
        late_high: a long time for late parts from another region.
    """
    if objective == float("inf"):
        return objective
    latest = objective - late_high - SETTLE_RESERVE
    earliest = now + near_high + STEP_TIME
    if earliest > latest + late_high / 2:
        return float("inf")
    return earliest
