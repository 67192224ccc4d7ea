"""Where a request may go: the one place that decides it.

Operators keep some requests to some regions, and take data centres out of service;
leafs leave, are replaced, and bear little while they are cold. Every way by which a
request travels asks here: first attempts, repeats, hedges, late parts and groups handed
to other instances. It is asked twice: when a leaf or an instance is chosen, and again
just before the first byte leaves, since an attempt may have waited for a connection
while the answer changed.

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
    """Regions that a request may be served in.

    Args:
        names: of the regions; None where any will do, empty where none will.
    """

    names: frozenset[str] | None = None

    def allows(self, region: str) -> bool:
        """Return whether a request may be served in a region."""
        return self.names is None or region in self.names

    def intersect(self, other: Regions) -> Regions:
        """Return the regions that both allow.

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


#: Where operators set no regions.
ALL_REGIONS = Regions()
#: For what may not be served at all any more.
NO_REGIONS = Regions(frozenset())


class Obstacle(Enum):
    """Why a leaf gets no request."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    GONE = "gone"
    COLD = "cold"
    EVACUATED = "evacuated"
    OUTSIDE_REGIONS = "outside_regions"
    ACCESS_GONE = "access_gone"


@dataclass(frozen=True, slots=True)
class LeafState:
    """What of a leaf decides whether it may get a request.

    Args:
        region: that it stands in; empty where that isn't known.
        data_centre: that it stands in.
        leaving: whether it said that it wants no new work.
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
        leaf: where it stands and how it is.
        regions: that the request may be served in.
        evacuated: data centres whose leafs get nothing.
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

    An instance can't know its caller's region, which would be allowed too.
    """
    return regions.allows(region)
