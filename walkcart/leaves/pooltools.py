"""What the pool of links to leafs works with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from walkcart.intent.routekeeper import RouteKeeper
from walkcart.leaves.coldlimiter import ColdLimiter
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.exchange import LinkTools
from walkcart.routing.distance import Location


@dataclass(frozen=True, slots=True)
class PoolTools:
    """What the pool works with.

    Args:
        directory: the leafs.
        keeper: the routing document, for the services' connections.
        link: what every link uses.
        instances: returns the number of instances that share connections.
        place: of this instance.
        random: breaks ties.
        cold: what may be sent to cold leafs; None where leafs don't say that they are.
    """

    directory: LeafDirectory
    keeper: RouteKeeper
    link: LinkTools
    instances: Callable[[], int]
    place: Location
    random: Random
    cold: ColdLimiter | None = None


class Gathering(Protocol):
    """Who asks the leafs for most questions."""

    def is_own(self) -> bool:
        """Return whether this instance is one of them."""
        ...

    def count(self) -> int:
        """Return how many they are."""
        ...
