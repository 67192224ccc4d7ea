"""Divides the services of a question into groups that other instances gather.

This instance asks the services with a leaf in its own data centre itself, up to the
number that one processor handles without delay. The rest is gathered in data centres
that have the leaves, so that one merged reply crosses between data centres instead of
many.

Examples:
    >>> here, north, south = Location("r", "a"), Location("r", "b"), Location("s", "c")
    >>> places = {"a": {here}, "b": {north, south}, "c": {north}, "d": set()}
    >>> divide_services("abcd", places.__getitem__, here, Random(1))
    [Group(services=('b', 'c'), place=Location(region='r', data_centre='b'))]
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from walkcart.routing.distance import Location, measure_distance

#: Minimum number of services of a group; fewer are asked directly. One more reply costs
#: little, and a message to another instance costs about as much.
MIN_GROUP = 2
#: Maximum number of services that one instance asks at once for a question. Each takes
#: about half a millisecond of a fast processor, and small instances have half of one.
MAX_SERVICES = 24


@dataclass(frozen=True, slots=True)
class Group:
    """Services to be gathered together.

    Args:
        services: names of the services.
        place: a place that has a leaf of each of them.
    """

    services: tuple[str, ...]
    place: Location


def divide_services(
    services: Sequence[str],
    places_of: Callable[[str], Collection[Location]],
    own: Location,
    random: Random,
    gathers: bool = True,
) -> list[Group]:
    """Return the groups to delegate; this instance asks all other services itself.

    Args:
        services: names of the question's services.
        places_of: returns the places where a service has leaves.
        own: this instance's place.
        random: chooses among places that are equally good.
        gathers: whether this instance is one of those that gather; if not, it leaves
            the services of its own place to those that are.
    """
    left = {name: set(places) for name in services if (places := places_of(name))}
    groups: list[Group] = []
    while left:
        place = _choose_place(left, own, random)
        chosen = [name for name, places in left.items() if place in places]
        for name in chosen:
            del left[name]
        chunks = split_evenly(chosen, MAX_SERVICES)
        if place == own and gathers:
            # This instance asks the first chunk itself.
            chunks = chunks[1:]
        groups += [Group(chunk, place) for chunk in chunks if len(chunk) >= MIN_GROUP]
    return groups


def _choose_place(
    left: dict[str, set[Location]], own: Location, random: Random
) -> Location:
    """Return the nearest place; among equally near ones, one with the most services."""
    counts: dict[Location, int] = {}
    for places in left.values():
        for place in places:
            counts[place] = counts.get(place, 0) + 1
    ranks = {
        place: (measure_distance(place, own), -count) for place, count in counts.items()
    }
    best_rank = min(ranks.values())
    return random.choice(sorted(place for place in ranks if ranks[place] == best_rank))


def split_evenly(names: Sequence[str], max_size: int) -> list[tuple[str, ...]]:
    """Return the names in the fewest chunks of about equal size, up to `max_size`.

    Examples:
        >>> split_evenly("abcde", 3)
        [('a', 'c', 'e'), ('b', 'd')]
    """
    count = -(-len(names) // max_size)
    return [tuple(names[start::count]) for start in range(count)]
