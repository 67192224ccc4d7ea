"""Distance between two locations, in the steps that matter for cost and time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Distance(IntEnum):
    """Steps of distance; each one costs more time and money than the one before."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True, order=True)
class Location:
    """The location of an instance or a leaf."""

    region: str
    data_centre: str


def measure_distance(one: Location, other: Location) -> Distance:
    """Return the distance between two locations.

    Examples:
        >>> measure_distance(Location("n", "n-a"), Location("n", "n-b")).name
        'SAME_REGION'
    """
    if one == other:
        return Distance.SAME_DATA_CENTRE
    if one.region == other.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
