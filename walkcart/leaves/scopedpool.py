"""The pool of links to leafs as one question sees it.

See Also:
    `walkcart.routing.eligibility`, which decides where a request may go.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from walkcart.intent.teams import Grant
from walkcart.leaves.attempts import Attempt, Deliver
from walkcart.leaves.leaf import Leaf
from walkcart.routing.distance import Distance, Place
from walkcart.routing.eligibility import Regions
from walkcart.routing.kindtimes import KindTimes

if TYPE_CHECKING:
    from walkcart.leaves.pool import LeafPool


class ScopedPool:
    """Shows the leafs that a question may go to, and the way to them.

    Regions, teams and keys are looked up each time: a configuration that takes one
    away binds what is sent from then on, also for questions under way.

    Args:
        pool: of the instance.
        kind: name of the question's route.
        regions: that it may be served in, by whoever admitted it.
        grant: by what it was let in; None where that isn't looked at.
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
        """Regions that the question may be served in now."""
        return self._access.current_regions(self._kind, self._regions, self._grant)

    @property
    def is_open(self) -> bool:
        """Whether anything more may be sent for the question at all."""
        return self._access.is_grant_valid(self._kind, self._grant)

    def leaves_of(self, service: str) -> tuple[Leaf, ...]:
        """Return the leafs of a service that may get the question."""
        return self._access.leaves_of(service, self.regions)

    def leaves_with_room(self, service: str) -> list[Leaf]:
        """Return those among them that may get a request now, cold ones included."""
        return self._access.leaves_with_room(service, self.regions)

    def find_room(self, service: str) -> timedelta | None:
        """Return when a service's leafs have room again; None where none is cold."""
        return self._access.find_room(service, self.regions)

    def places_of(self, service: str) -> frozenset[Place]:
        """Return the places where a service has such leafs."""
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

    def times_of(self, kind: str, distance: Distance) -> KindTimes:
        """Return the learned times of one kind of request at leafs so far away."""
        return self._pool.times_of(kind, distance)

    def distance_to(self, leaf: Leaf) -> Distance:
        """Return how far away a leaf is."""
        return self._pool.distance_to(leaf)

    def submit(self, leaf: Leaf, attempt: Attempt, kind: str, deliver: Deliver) -> None:
        """Send `attempt` to `leaf`; `deliver` is told once how it ended."""
        self._pool.submit(leaf, attempt, kind, deliver)

    @property
    def has_waiting(self) -> bool:
        """Whether any attempt waits inside this instance."""
        return self._pool.room.has_waiting

    def find_delay(self, service: str, rank: int) -> float:
        """Return the seconds until the question likely gets its turn at a service."""
        return self._pool.room.find_delay(self.leaves_of(service), self._kind, rank)

    def is_waiting(self, leaf: Leaf, attempt_id: str) -> bool:
        """Return whether an attempt waits inside this instance."""
        return self._pool.is_waiting(leaf, attempt_id)

    def withdraw(self, leaf: Leaf, attempt_id: str) -> bool:
        """Take back an attempt of which nothing was sent; return whether it did."""
        return self._pool.withdraw(leaf, attempt_id)

    def cancel(self, leaf: Leaf, attempt_id: str, kind: str, waited: float) -> None:
        """Nobody waits for this attempt any longer; it had `waited` seconds."""
        self._pool.cancel(leaf, attempt_id, kind, waited)

    def note_waiting(self, leaf: Leaf, kind: str, waited: float) -> None:
        """Take in that a request has been waiting at a leaf for some seconds."""
        self._pool.note_waiting(leaf, kind, waited)
