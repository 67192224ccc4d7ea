"""Decides where a request may go; nothing else does.

Operators restrict some requests to some regions and take data centres out of service.
Leaves shut down, are replaced, and take little load while they are cold. All requests
are checked here, whether first attempts, repeats, hedges, late parts or groups that are
handed to other instances. Each is checked twice: when a leaf or an instance is chosen,
and again just before the first byte is sent, since the result may change while an
attempt waits for a connection.

Examples:
    >>> home = Regions(frozenset({"north"}))
    >>> leaf = LeafState("north", "north-a")
    >>> find_obstacle(leaf, home) is None
    True
    >>> find_obstacle(LeafState("south", "south-a"), home).name
    'OUTSIDE_REGIONS'
    >>> find_obstacle(leaf, home, evacuated=frozenset({"north-a"})).name
    'EVACUATED'
    >>> may_carry(home, "south"), may_carry(ALL_REGIONS, "south")
    (False, True)
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NO_DATA_CENTRES: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Regions:
    """The regions that a request may be served in.

    Args:
        names: names of the regions; None for all regions, empty for none.
    """

    names: frozenset[str] | None = None

    def allows(self, region: str) -> bool:
        """Return whether a request may be served in a region."""
        return self.names is None or region in self.names

    def intersect(self, other: Regions) -> Regions:
        """Return the regions that are allowed by both.

        Examples:
            >>> both = Regions(frozenset("ab")).intersect(Regions(frozenset("bc")))
            >>> sorted(both.names)
            ['b']
        """
        if self.names is None:
            return other
        if other.names is None:
            return self
        return Regions(self.names & other.names)


#: The default, when operators set no regions.
ALL_REGIONS = Regions()
#: For requests that may no longer be served at all.
NO_REGIONS = Regions(frozenset())


class Obstacle(Enum):
    """The reason why a request may not go to a leaf."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    GONE = "gone"
    COLD = "cold"
    EVACUATED = "evacuated"
    OUTSIDE_REGIONS = "outside_regions"
    ACCESS_GONE = "access_gone"


@dataclass(frozen=True, slots=True)
class LeafState:
    """The properties of a leaf that decide whether it may get a request.

    Args:
        region: region of the leaf; empty if unknown.
        data_centre: data centre of the leaf.
        leaving: whether the leaf announced that it takes no new work.
        replaced: whether another leaf answered at its address.
    """

    region: str
    data_centre: str
    leaving: bool = False
    replaced: bool = False


def find_obstacle(
    leaf: LeafState,
    regions: Regions = ALL_REGIONS,
    evacuated: frozenset[str] = NO_DATA_CENTRES,
) -> Obstacle | None:
    """Return why a request may not go to a leaf, or None when it may.

    Args:
        leaf: location and state of the leaf.
        regions: regions that the request may be served in.
        evacuated: data centres whose leaves get no requests.
    """
    if not regions.allows(leaf.region):
        return Obstacle.OUTSIDE_REGIONS
    if leaf.data_centre in evacuated:
        return Obstacle.EVACUATED
    if leaf.leaving:
        return Obstacle.LEAVING
    if leaf.replaced:
        return Obstacle.REPLACED
    return None


def may_carry(regions: Regions, region: str) -> bool:
    """Return whether a request may be handed to an instance in a region.

    The region of the request's caller would be allowed too, but an instance can't
    know it.
    """
    return regions.allows(region)
