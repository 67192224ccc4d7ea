"""A view of the pool of links to leaves, limited to what one question may use.

See Also:
    `walkcart.routing.eligibility`, which decides where a request may go.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from walkcart.intent.teams import Grant
from walkcart.leaves.attempts import Attempt, Deliver
from walkcart.leaves.leaf import Leaf
from walkcart.routing.distance import Distance, Location
from walkcart.routing.eligibility import Regions
from walkcart.routing.requesttimes import RequestTimes

if TYPE_CHECKING:
    from walkcart.leaves.pool import LeafPool


class ScopedPool:
    """Finds the leaves that a question may go to, and sends requests to them.

    Regions, teams and keys are looked up on each call: a configuration that withdraws
    one applies to all later requests, also of questions in progress.

    Args:
        pool: pool of the instance.
        kind: name of the question's route.
        regions: regions that were allowed when the question was admitted.
        grant: grant that admitted it; None where that isn't checked.
    """

    def __init__(
        self, pool: LeafPool, kind: str, regions: Regions, grant: Grant | None
    ) -> None:
        self._pool = pool
        self._access = pool.access
        self._kind = kind
        self._regions = regions
        self._grant = grant

    @property
    def regions(self) -> Regions:
        """Regions that may serve the question now."""
        return self._access.current_regions(self._kind, self._regions, self._grant)

    @property
    def may_send(self) -> bool:
        """Whether the question may send further requests at all."""
        return self._access.is_grant_valid(self._kind, self._grant)

    def leaves_of(self, service: str) -> tuple[Leaf, ...]:
        """Return the leaves of a service that may get the question."""
        return self._access.leaves_of(service, self.regions)

    def available_leaves(self, service: str) -> list[Leaf]:
        """Return the leaves of a service that may get a request now.

        Cold leaves that have reached their limit are left out.
        """
        return self._access.available_leaves(service, self.regions)

    def find_retry_after(self, service: str) -> timedelta | None:
        """Return the time until a leaf of a service may get a request.

        None where leaves have no cold limits or the service has no leaves.
        """
        return self._access.find_retry_after(service, self.regions)

    def places_of(self, service: str) -> frozenset[Location]:
        """Return the places with leaves of a service that may get the question."""
        return self._access.places_of(service, self.regions)

    def choose(
        self,
        service: str,
        kind: str,
        without: frozenset[str],
        objective: float,
        now: float,
    ) -> Leaf | None:
        """Return the leaf for the next request; see `LeafPool.choose`."""
        return self._pool.choose(
            service, kind, without, objective, now, regions=self.regions
        )

    def times_of(self, kind: str, distance: Distance) -> RequestTimes:
        """Return the observed times of a kind of request at leaves at a distance."""
        return self._pool.times_of(kind, distance)

    def distance_to(self, leaf: Leaf) -> Distance:
        """Return the distance class of a leaf from this instance."""
        return self._pool.distance_to(leaf)

    def submit(self, leaf: Leaf, attempt: Attempt, kind: str, deliver: Deliver) -> None:
        """Send `attempt` to `leaf`; `deliver` is called once with its outcome."""
        self._pool.submit(leaf, attempt, kind, deliver)

    @property
    def has_waiting(self) -> bool:
        """Whether any attempt is queued inside this instance."""
        return self._pool.room.has_waiting

    def estimate_wait(self, service: str, rank: int) -> float:
        """Return the seconds until a request to a service is likely to be sent."""
        return self._pool.room.estimate_wait(self.leaves_of(service), self._kind, rank)

    def is_waiting(self, leaf: Leaf, attempt_id: str) -> bool:
        """Return whether an attempt is still queued inside this instance."""
        return self._pool.is_waiting(leaf, attempt_id)

    def withdraw(self, leaf: Leaf, attempt_id: str) -> bool:
        """Remove an attempt that is still queued; return whether it was."""
        return self._pool.withdraw(leaf, attempt_id)

    def cancel(self, leaf: Leaf, attempt_id: str, kind: str, waited: float) -> None:
        """Cancel an attempt whose result isn't needed, after it `waited` seconds."""
        self._pool.cancel(leaf, attempt_id, kind, waited)

    def record_waiting(self, leaf: Leaf, kind: str, waited: float) -> None:
        """Record that a request has been at a leaf for `waited` seconds."""
        self._pool.record_waiting(leaf, kind, waited)
