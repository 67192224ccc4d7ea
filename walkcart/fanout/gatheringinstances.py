"""The instances that gather parts of questions, as this instance sees them.

See Also:
    `walkcart.routing.gatherers`, which decides by plain data.
    `walkcart.fanout.delegationclient.DelegationClient`, which asks them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from walkcart.intent.routes import RouteTable, ToShards
from walkcart.kernel.clock import Clock
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.registration import Registration
from walkcart.routing.distance import Location
from walkcart.routing.gatherers import (
    PartRate,
    choose_gatherers,
    find_needed_capacity,
    rank_by_capacity,
)
from walkcart.routing.shares import rank_rendezvous

#: Returns the places that have leafs of the services that questions go to.
FindPlaces = Callable[[], Collection[Location]]


def find_gathering_places(
    table: RouteTable, directory: LeafDirectory
) -> frozenset[Location]:
    """Return the places that have leafs of any service that is asked with others.

    Args:
        table: of the routes.
        directory: of the leafs.
    """
    places: set[Location] = set()
    for route in table.document.routes:
        match route.target:
            case ToShards(services):
                for service in services:
                    places |= {
                        place
                        for place in directory.places_of(service)
                        if route.regions.allows(place.region)
                    }
    return frozenset(places)


class GatheringInstances:
    """Knows who gathers in each data centre.

    Args:
        registration: knows the instances.
        clock: source of time.
        find_places: where there is anything to gather.
    """

    def __init__(
        self, registration: Registration, clock: Clock, find_places: FindPlaces
    ) -> None:
        self._registration = registration
        self._clock = clock
        self._find_places = find_places
        self._rate = PartRate()
        self._ranked: dict[str, tuple[list[str], dict[str, float]]] = {}
        self._places: frozenset[str] | None = None
        registration.on_change(self._ranked.clear)

    def invalidate_places(self) -> None:
        """Note that routes or leafs changed."""
        self._places = None

    def count(self) -> int:
        """Return how many instances gather, in all data centres."""
        return sum(
            len(self.in_data_centre(place)) for place in self._gathering_places()
        )

    def record_question(self, parts: int) -> None:
        """Note that a caller's question over so many parts was begun."""
        self._rate.record(self._clock.monotonic(), parts)

    def is_own(self) -> bool:
        """Return whether this instance gathers."""
        own = self._registration.own
        return own.name in self.in_data_centre(own.data_centre)

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Return the names of those of a data centre, this instance's included."""
        ranked, capacities = self._rank(data_centre)
        rate = self._rate.estimate(self._clock.monotonic())
        instances = len(self._registration.others()) + 1
        needed = find_needed_capacity(rate, instances, len(self._gathering_places()))
        return choose_gatherers(ranked, capacities, needed)

    def rank_for(self, data_centre: str) -> list[str]:
        """Return who is to work with the leafs of a data centre, in order.

        Those that gather there; where no instance stands in it, all of them.
        """
        found = self.in_data_centre(data_centre)
        if found:
            return found
        names = [record.name for record in self._list_instances()]
        return sorted(names, key=lambda name: rank_rendezvous(data_centre, name))

    def all(self) -> list[str]:
        """Return the names of the others that gather, of all data centres."""
        own = self._registration.own.name
        places = sorted(self._gathering_places())
        return [
            name
            for place in places
            for name in self.in_data_centre(place)
            if name != own
        ]

    def _gathering_places(self) -> frozenset[str]:
        if self._places is None:
            found = self._find_places()
            self._places = frozenset(place.data_centre for place in found)
        return self._places

    def _rank(self, data_centre: str) -> tuple[list[str], dict[str, float]]:
        if data_centre not in self._ranked:
            capacities = {
                record.name: record.cores
                for record in self._list_instances()
                if record.data_centre == data_centre and record.peer_address
            }
            ranked = rank_by_capacity(data_centre, capacities)
            self._ranked[data_centre] = (ranked, capacities)
        return self._ranked[data_centre]

    def _list_instances(self) -> list[InstanceRecord]:
        return [*self._registration.others(), self._registration.own]
