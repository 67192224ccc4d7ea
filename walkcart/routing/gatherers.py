"""Which instances of a data centre gather parts of questions for the others.

Gathering is kept to a few: they have connections to the leafs and know how each of them
does, and links to them are ready at every other instance. In a fleet of 195 in which
all gathered, nearly each pair met for the first time with a question: a link took
longer to come up than the question could wait, and 46 of 344 long questions failed.

The largest machines go first: a group of 24 parts keeps one of 2.15 cores busy for some
7 ms and one of half a core for 28 ms (worked out), a third of the shortest objective.
How many it takes follows the load, so that a larger fleet under the same load has no
more.

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

#: Gatherers of a data centre at the least: one may be starting and one silent.
LEAST_GATHERERS = 3
#: Seconds of one core that a part takes at its gatherer: 0.31 ms for a request and its
#: reply, measured with the HTTP library alone, and about as much for the choice of the
#: leaf, the event loop and the merge, estimated.
PART_CPU_TIME = 0.0006
#: Share of a gatherer's processor that its parts may take at the usual rate: three
#: times that rate still leaves room.
MOST_BUSY = 0.25
#: Seconds over which the rate of parts is averaged: a small instance of a large fleet
#: takes a question each three seconds.
AVERAGING_TIME = 30.0
#: The rate that gatherers were counted for falls to a new one once that is this share
#: of it, so that an uncertain rate doesn't move them back and forth.
FALL_SHARE = 0.25


def rank_by_capacity(data_centre: str, capacities: Mapping[str, float]) -> list[str]:
    """Return the instances of a data centre, those that gather before others first.

    Args:
        data_centre: its name; draws lots among machines that are alike.
        capacities: cores of each instance's machine.
    """
    return sorted(
        capacities,
        key=lambda name: (-capacities[name], rank_rendezvous(data_centre, name)),
    )


def choose_gatherers(
    ranked: Sequence[str], capacities: Mapping[str, float], needed: float
) -> list[str]:
    """Return those that gather: the first ones that have the cores together.

    Args:
        ranked: the instances of a data centre in their order.
        capacities: cores of each.
        needed: cores that gathering needs there.
    """
    chosen: list[str] = []
    held = 0.0
    for name in ranked:
        if len(chosen) >= LEAST_GATHERERS and held >= needed:
            break
        chosen.append(name)
        held += capacities[name]
    return chosen


class PartRate:
    """The rate at which this instance's callers have parts asked for.

    Callers are spread over the instances, so the fleet's rate is about this one's times
    their number. It is rounded up to a power of two: instances whose callers differ a
    little choose the same gatherers, and others nearly the same.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._at = float("-inf")
        self._held = 0.0

    def record(self, now: float, parts: int) -> None:
        """Note a question over so many parts."""
        self._count = self._decay(now) + parts
        self._at = now

    def estimate(self, now: float) -> float:
        """Return the parts a second, rounded up; it falls only by much."""
        rate = self._decay(now) / AVERAGING_TIME
        wanted = 2.0 ** math.ceil(math.log2(rate)) if rate >= 1.0 else 0.0
        if wanted > self._held or wanted <= self._held * FALL_SHARE:
            self._held = wanted
        return self._held

    def _decay(self, now: float) -> float:
        return self._count * math.exp(min(0.0, self._at - now) / AVERAGING_TIME)


def find_needed_capacity(rate: float, instances: int, data_centres: int) -> float:
    """Return the cores that gathering needs in each of some data centres.

    Args:
        rate: parts a second that one instance's callers have asked for.
        instances: in the fleet.
        data_centres: data centres that have leafs to gather from.
    """
    return rate * instances * PART_CPU_TIME / MOST_BUSY / max(1, data_centres)
