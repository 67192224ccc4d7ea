"""How far two places are apart, as far as it matters for cost and time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Distance(IntEnum):
    """Steps of distance, each of which costs more time and money."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True, order=True)
class Location:
    """Where an instance or a leaf stands."""

    region: str
    data_centre: str


def measure_distance(one: Location, other: Location) -> Distance:
    """Return how far two places are apart.

    Examples:
        >>> measure_distance(Location("n", "n-a"), Location("n", "n-b")).name
        'SAME_REGION'
    """
    if one == other:
        return Distance.SAME_DATA_CENTRE
    if one.region == other.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
