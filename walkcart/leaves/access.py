"""Which leafs a request may go to now, by all that bears on it.

See Also:
    `walkcart.routing.eligibility` and `walkcart.routing.coldleaves`, which decide.
"""

from __future__ import annotations

from datetime import timedelta

from walkcart.intent.teams import Grant
from walkcart.leaves.attempts import Attempt
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.pooltools import PoolTools
from walkcart.routing.distance import Location
from walkcart.routing.eligibility import ALL_REGIONS, NO_REGIONS, Obstacle, Regions
from walkcart.wire.verdicts import NotRun, Reason


class LeafAccess:
    """Shows the leafs that requests may go to, and asks again before each send.

    Args:
        tools: of the pool.
    """

    def __init__(self, tools: PoolTools) -> None:
        self._tools = tools

    def is_upheld(self, kind: str, grant: Grant | None) -> bool:
        """Return whether what let a request in is still in force."""
        return grant is None or self._tools.keeper.table.still_admits(kind, grant)

    def regions_now(self, kind: str, regions: Regions, grant: Grant | None) -> Regions:
        """Return the regions among some that the document in force allows still.

        Args:
            kind: name of the request's route.
            regions: that whoever admitted it allowed.
            grant: by what it was let in; None where that isn't looked at.
        """
        if not self.is_upheld(kind, grant):
            return NO_REGIONS
        table = self._tools.keeper.table
        return regions.intersect(
            table.find_allowed_regions(kind, grant.team if grant else "")
        )

    def leaves_of(
        self, service: str, regions: Regions = ALL_REGIONS
    ) -> tuple[Leaf, ...]:
        """Return the leafs of a service in some regions that may get new work."""
        leaves = self._tools.directory.leaves_of(service)
        if regions.names is None:
            return leaves
        return tuple(leaf for leaf in leaves if regions.allows(leaf.region))

    def available_leaves(self, service: str, regions: Regions) -> list[Leaf]:
        """Return those among them that may get a request now, cold ones included."""
        leaves = list(self.leaves_of(service, regions))
        cold = self._tools.cold
        if cold is None:
            return leaves
        now = self._tools.link.clock.monotonic()
        leaves = [leaf for leaf in leaves if cold.wait(leaf, now) <= 0.0]
        draw = self._tools.random.random
        offered = [
            leaf
            for leaf in leaves
            if (share := cold.find_offered_share(leaf, now)) >= 1.0 or draw() < share
        ]
        return offered or leaves

    def places_of(
        self, service: str, regions: Regions = ALL_REGIONS
    ) -> frozenset[Location]:
        """Return the places in some regions where a service has such leafs."""
        places = self._tools.directory.places_of(service)
        if regions.names is None:
            return places
        return frozenset(place for place in places if regions.allows(place.region))

    def admit(self, leaf: Leaf, attempt: Attempt) -> NotRun | None:
        """Return why an attempt may not be sent to a leaf now; None when it may.

        Asked just before the first byte: regions, data centres and keys may have been
        taken away while the attempt waited for a connection.
        """
        obstacle = self._find_obstacle(leaf, attempt)
        cold, now = self._tools.cold, self._tools.link.clock.monotonic()
        if obstacle is None and cold is not None and not cold.take(leaf, now):
            obstacle = Obstacle.COLD
        if obstacle is None:
            return None
        self._tools.link.metrics.count("leaf.barred")
        return NotRun(Reason.NO_LEAF, f"leaf {leaf.id}: {obstacle.value}")

    def _find_obstacle(self, leaf: Leaf, attempt: Attempt) -> Obstacle | None:
        if not self.is_upheld(attempt.kind, attempt.grant):
            return Obstacle.ACCESS_GONE
        regions = self.regions_now(attempt.kind, attempt.regions, attempt.grant)
        return self._tools.directory.find_obstacle(leaf, regions)

    def find_retry_after(self, service: str, regions: Regions) -> timedelta | None:
        """Return when a service's leafs have room again; None where none is cold."""
        cold, now = self._tools.cold, self._tools.link.clock.monotonic()
        if cold is None:
            return None
        waits = [cold.wait(leaf, now) for leaf in self.leaves_of(service, regions)]
        return timedelta(seconds=min(waits)) if waits else None
