"""Dependencies of the pool of links to leaves."""

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
    """Dependencies of the pool.

    Args:
        directory: the leaves.
        keeper: the routing document, for the connection limits of the services.
        link: dependencies of every link.
        instances: returns the number of instances that share connections.
        place: place of this instance.
        random: breaks ties.
        cold: limits on requests to cold leaves; None where leaves don't state that
            they are cold.
    """

    directory: LeafDirectory
    keeper: RouteKeeper
    link: LinkTools
    instances: Callable[[], int]
    place: Location
    random: Random
    cold: ColdLimiter | None = None


class Gathering(Protocol):
    """The instances that gather the replies of leaves for most questions."""

    def is_own(self) -> bool:
        """Return whether this instance is one of them."""
        ...

    def count(self) -> int:
        """Return the number of these instances."""
        ...
