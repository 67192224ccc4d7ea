"""Selects the instances of a data centre that gather parts of questions for others.

Only a few instances gather. They have connections to the leaves and know how each leaf
performs, and every other instance has links to them ready. In a fleet of 195 in which
all instances gathered, nearly each pair communicated for the first time with a
question: a link took longer to set up than the question could wait, and 46 of 344 long
questions failed.

The largest machines are selected first: a group of 24 parts keeps a machine of 2.15
cores busy for about 7 ms and one of half a core for 28 ms (calculated), a third of the
shortest objective. The number of gatherers follows the load, so a larger fleet under
the same load has no more of them.

Examples:
    >>> machines = {"a": 0.5, "b": 2.0, "c": 0.5, "d": 0.5}
    >>> ranked = rank_by_capacity("north", machines)
    >>> ranked[0]
    'b'
    >>> len(choose_gatherers(ranked, machines, needed=0.1))
    3
    >>> len(choose_gatherers(ranked, machines, needed=3.2))
    4
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from walkcart.routing.shares import rank_rendezvous

#: Minimum number of gatherers in a data centre: one may be starting and one silent.
MIN_GATHERERS = 3
#: Processor time of a part at its gatherer, in seconds of one core: 0.31 ms for a
#: request and its reply, measured with the HTTP library alone, and an estimated equal
#: time for the choice of the leaf, the event loop and the merge.
PART_CPU_TIME = 0.0006
#: Share of a gatherer's processor that its parts may use at the usual rate; three times
#: that rate still leaves capacity.
MAX_CPU_SHARE = 0.25
#: Time constant of the average rate of parts, in seconds: a small instance of a large
#: fleet gets a question only every three seconds.
AVERAGING_TIME = 30.0
#: The estimated rate falls only when the measured one is at most this share of it, so
#: that an uncertain rate doesn't change the gatherers back and forth.
FALL_SHARE = 0.25


def rank_by_capacity(data_centre: str, capacities: Mapping[str, float]) -> list[str]:
    """Return the instances of a data centre in the order in which they gather.

    Args:
        data_centre: name of the data centre; orders machines with equal cores.
        capacities: cores of the machine of each instance.
    """
    return sorted(
        capacities,
        key=lambda name: (-capacities[name], rank_rendezvous(data_centre, name)),
    )


def choose_gatherers(
    ranked: Sequence[str], capacities: Mapping[str, float], needed: float
) -> list[str]:
    """Return the gatherers: the first instances that together have enough cores.

    Args:
        ranked: the instances of a data centre in order of rank.
        capacities: cores of the machine of each instance.
        needed: number of cores that gathering needs in the data centre.
    """
    chosen: list[str] = []
    held = 0.0
    for name in ranked:
        if len(chosen) >= MIN_GATHERERS and held >= needed:
            break
        chosen.append(name)
        held += capacities[name]
    return chosen


class PartRate:
    """The rate of parts that this instance's callers ask for.

    Callers are spread over the instances, so the fleet's rate is about this rate times
    the number of instances. The rate is rounded up to a power of two, so that instances
    with slightly different rates select the same gatherers, and others nearly the same.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = float("-inf")
        self._estimate = 0.0

    def record(self, now: float, parts: int) -> None:
        """Record a question that consists of `parts` parts."""
        self._count = self._decay(now) + parts
        self._counted_at = now

    def estimate(self, now: float) -> float:
        """Return the parts per second, rounded up; it falls only by a large factor."""
        rate = self._decay(now) / AVERAGING_TIME
        wanted = 2.0 ** math.ceil(math.log2(rate)) if rate >= 1.0 else 0.0
        if wanted > self._estimate or wanted <= self._estimate * FALL_SHARE:
            self._estimate = wanted
        return self._estimate

    def _decay(self, now: float) -> float:
        return self._count * math.exp(min(0.0, self._counted_at - now) / AVERAGING_TIME)


def find_needed_capacity(rate: float, instances: int, data_centres: int) -> float:
    """Return the number of cores that gathering needs in each data centre.

    Args:
        rate: parts per second that one instance's callers ask for.
        instances: number of instances in the fleet.
        data_centres: number of data centres with leaves to gather from.
    """
    return rate * instances * PART_CPU_TIME / MAX_CPU_SHARE / max(1, data_centres)
