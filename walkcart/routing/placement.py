"""Chooses the leaf of a service for the next request of a routed question.

The leaf with the lowest estimated time is chosen. The estimate is the service time of
such a request plus the wait behind the requests already there, divided by the share of
requests that the leaf answers well. The cost of traffic to another region is added as
time, and so is the cost of a failure: a repeat, or a missing part of the answer.

Examples:
    >>> here, there = Distance.SAME_DATA_CENTRE, Distance.OTHER_REGION
    >>> near = LeafCandidate("near", load=0.0, slots=2, time=0.03, distance=here)
    >>> far = LeafCandidate("far", load=0.0, slots=2, time=0.046, distance=there)
    >>> choose_leaf([far, near], 0.1, Random(1)).key
    'near'
    >>> failing = LeafCandidate("near", 0.0, 2, 0.03, here, success_rate=0.4)
    >>> choose_leaf([far, failing], 0.1, Random(1)).key
    'far'
    >>> busy = LeafCandidate("near", load=6.0, slots=2, time=0.03, distance=here)
    >>> choose_leaf([far, busy], 0.1, Random(1)).key
    'far'
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter
from random import Random

from walkcart.routing.distance import Distance

#: Cost of traffic to a leaf in another region, as a share of the request's objective:
#: operators pay for those bytes. See ``docs/design/platform.md`` for the measurement.
OTHER_REGION_COST = 0.2
#: Cost of traffic by distance, as a share of the cost to another region. One user pays
#: more for bytes between data centres than between regions, the other one a quarter as
#: much.
COST_BY_DISTANCE = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: 0.5,
    Distance.OTHER_REGION: 1.0,
}
#: Cost of a failure beside the time of another attempt, as a share of the request's
#: objective: it uses up an allowed repeat, or else loses a part of the answer. At 0.5 a
#: leaf that fails six of ten requests loses to a good one in another region; one that
#: fails one of ten doesn't.
FAILURE_COST = 0.5
#: Seconds added for a leaf whose replies are overdue: about the pause of a leaf that
#: stops for housekeeping.
STALLED_COST = 0.25
#: Factor by which a leaf that has just started may be slower.
COLD_FACTOR = 1.6
#: Relative difference of estimated times within which the choice is random.
NEAR_TIE = 0.1


@dataclass(frozen=True, slots=True)
class LeafCandidate:
    """The properties of a leaf that decide the choice.

    Args:
        key: identifies the leaf.
        load: number of requests that wait or run there.
        slots: number of requests that it runs at once.
        time: expected service time of such a request there, in seconds.
        distance: distance from this instance.
        cold: whether it has just started.
        stalled: whether its replies are overdue.
        ejected: whether it is ejected after recent failures.
        success_rate: share of such requests that it answers well.
    """

    key: str
    load: float
    slots: int
    time: float
    distance: Distance
    cold: bool = False
    stalled: bool = False
    ejected: bool = False
    success_rate: float = 1.0


def estimate_time(standing: LeafCandidate, objective: float) -> float:
    """Return the estimated time of a request at a leaf, with its costs, in seconds.

    Args:
        standing: the properties of the leaf.
        objective: seconds within which the request is to be answered.
    """
    service = standing.time
    if standing.cold:
        service *= COLD_FACTOR
    waiting = max(0.0, standing.load + 1.0 - standing.slots)
    time = service * (1.0 + waiting / max(1, standing.slots))
    time /= standing.success_rate
    time += (1.0 - standing.success_rate) * FAILURE_COST * objective
    time += OTHER_REGION_COST * objective * COST_BY_DISTANCE[standing.distance]
    if standing.stalled:
        time += STALLED_COST
    return time


def choose_leaf(
    candidates: Sequence[LeafCandidate], objective: float, random: Random
) -> LeafCandidate | None:
    """Return the leaf for the next request, or None without leaves.

    Ejected leaves are used only when no others are left. The order of the candidates
    doesn't matter.

    Args:
        candidates: the leaves to choose from.
        objective: seconds within which the request is to be answered.
        random: breaks ties between leaves that are about equally good.
    """
    usable = [item for item in candidates if not item.ejected] or candidates
    if len(usable) <= 1:
        return usable[0] if usable else None
    timed = [(estimate_time(item, objective), item) for item in usable]
    shortest = min(time for time, _ in timed)
    best = [item for time, item in timed if time <= shortest * (1.0 + NEAR_TIE)]
    if len(best) == 1:
        return best[0]
    return random.choice(sorted(best, key=attrgetter("key")))
