"""Which leaf of a service gets the next request of a routed question.

The leaf with the least expected time wins. That is what such a request takes there
by itself, plus the wait behind what is already there, over the share of requests that
it answers well; the bytes that a leaf in another region costs count as a longer time,
and so does a failure, which costs a repeat or a part of an answer.

Examples:
    >>> here, there = Distance.SAME_DATA_CENTRE, Distance.OTHER_REGION
    >>> near = LeafCandidate("near", load=0.0, slots=2, time=0.03, distance=here)
    >>> far = LeafCandidate("far", load=0.0, slots=2, time=0.046, distance=there)
    >>> choose_leaf([far, near], 0.1, Random(1)).key
    'near'
    >>> failing = LeafCandidate("near", 0.0, 2, time=0.03, distance=here, good_share=0.4)
    >>> choose_leaf([far, failing], 0.1, Random(1)).key
    'far'
    >>> busy = LeafCandidate("near", load=6.0, slots=2, time=0.03, distance=here)
    >>> choose_leaf([far, busy], 0.1, Random(1)).key
    'far'
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from walkcart.routing.distance import Distance

#: Share of a request's objective that the bytes of a leaf in another region are worth:
#: operators pay for them. Measured: see ``docs/design/platform.md``.
FAR_SHARE = 0.2
#: That cost by distance, as a share of the one for another region: one user pays more
#: for bytes between data centres than between regions, the other a quarter.
COST_SHARES = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: 0.5,
    Distance.OTHER_REGION: 1.0,
}
#: Share of a request's objective that a failure costs beside the time to try again: a
#: repeat of those that are allowed, or else a part of the answer. At 0.5 a leaf that
#: fails six of ten loses to a good one in another region, one that fails one of ten
#: doesn't.
FAILURE_SHARE = 0.5
#: Seconds added for a leaf that has been silent for longer than it should: about the
#: pause of a leaf that stopped to tidy up.
STALLED_COST = 0.25
#: A leaf that has just started is slower by up to this factor.
COLD_FACTOR = 1.6
#: Expected times closer than this share are drawn lots over.
NEAR_TIE = 0.1


@dataclass(frozen=True, slots=True)
class LeafCandidate:
    """One leaf, as its choice sees it.

    Args:
        key: names the leaf.
        load: requests that wait or run there.
        slots: requests that it runs at once.
        time: seconds that such a request likely takes there by itself.
        distance: how far away it is.
        cold: whether it has just started.
        stalled: whether it owes replies for longer than it should.
        ejected: whether it failed lately.
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


def expect_time(standing: LeafCandidate, objective: float) -> float:
    """Return the seconds that a request would likely take at a leaf, with its costs.

    Args:
        standing: of the leaf.
        objective: seconds within which the request is to be answered.
    """
    service = standing.time
    if standing.cold:
        service *= COLD_FACTOR
    waiting = max(0.0, standing.load + 1.0 - standing.slots)
    time = service * (1.0 + waiting / max(1, standing.slots))
    time /= standing.success_rate
    time += (1.0 - standing.success_rate) * FAILURE_SHARE * objective
    time += FAR_SHARE * objective * COST_SHARES[standing.distance]
    if standing.stalled:
        time += STALLED_COST
    return time


def choose_leaf(
    candidates: Sequence[LeafCandidate], objective: float, random: Random
) -> LeafCandidate | None:
    """Return the leaf for the next request, or None without any.

    Ejected leafs are used only when no others are left.

    Args:
        candidates: of the leafs.
        objective: seconds within which the request is to be answered.
        random: draws lots among those that are about as good.
    """
    usable = [item for item in candidates if not item.ejected] or candidates
    if len(usable) <= 1:
        return usable[0] if usable else None
    timed = [(expect_time(item, objective), item) for item in usable]
    least = min(time for time, _ in timed)
    best = [item for time, item in timed if time <= least * (1.0 + NEAR_TIE)]
    return best[0] if len(best) == 1 else random.choice(best)
