"""Which services of a question which instances gather.

Services with a leaf in this data centre are asked from here, up to so many that one
processor handles without delay. The rest is gathered in data centres that have the
leafs: what crosses is one merged reply instead of many.

Examples:
    >>> here, north, south = Place("r", "a"), Place("r", "b"), Place("s", "c")
    >>> places = {"a": {here}, "b": {north, south}, "c": {north}, "d": set()}
    >>> divide_services("abcd", places.__getitem__, here, Random(1))
    [Group(services=('b', 'c'), place=Place(region='r', data_centre='b'))]
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from walkcart.routing.distance import Location, measure_distance

#: Fewer services than this are asked directly: one reply more costs little, and a
#: message to another instance costs about as much.
MIN_GROUP = 2
#: Services that one instance asks at once for a question. Each takes about half a
#: millisecond of a fast processor, and small instances have half of one.
MAX_SERVICES = 24


@dataclass(frozen=True, slots=True)
class Group:
    """Services to be gathered together.

    Args:
        services: their names.
        place: which has a leaf of each of them.
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
    """Return the groups to be gathered elsewhere; what is in none is asked from here.

    Args:
        services: of the question.
        places_of: returns the places where a service has leafs.
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
            # The first chunk is asked from here.
            chunks = chunks[1:]
        groups += [Group(chunk, place) for chunk in chunks if len(chunk) >= MIN_GROUP]
    return groups


def _choose_place(
    left: dict[str, set[Location]], own: Location, random: Random
) -> Location:
    """Return the nearest place, of equally near ones one with the most services."""
    counts: dict[Location, int] = {}
    for places in left.values():
        for place in places:
            counts[place] = counts.get(place, 0) + 1
    ranks = {
        place: (measure_distance(place, own), -count) for place, count in counts.items()
    }
    least = min(ranks.values())
    return random.choice(sorted(place for place in ranks if ranks[place] == least))


def split_evenly(names: Sequence[str], max_size: int) -> list[tuple[str, ...]]:
    """Return the names in as few chunks of about equal size as `max_size` allows.

    Examples:
        >>> split_evenly("abcde", 3)
        [('a', 'c', 'e'), ('b', 'd')]
    """
    count = -(-len(names) // max_size)
    return [tuple(names[start::count]) for start in range(count)]
