"""Room at leafs, by what waits for them inside this instance.

See Also:
    `walkcart.routing.leafroom`, which decides.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from walkcart.kernel.clock import Clock
from walkcart.leaves.attempts import Attempt
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.link import LeafLink
from walkcart.routing.leafroom import Demand, find_turn


class PoolRoom:
    """Tells whether leafs have room, and when they will.

    Args:
        links: to leafs, by their ids; the pool's own, as it changes.
        median_time: returns the seconds that a kind of request usually takes at a leaf.
        clock: source of time.
    """

    def __init__(
        self,
        links: Mapping[str, LeafLink],
        median_time: Callable[[Leaf, str, float], float],
        clock: Clock,
    ) -> None:
        self._links = links
        self._median_time = median_time
        self._clock = clock

    @property
    def has_waiting(self) -> bool:
        """Whether any attempt waits inside this instance."""
        return any(link.waiting for link in self._links.values())

    def count_waiting(self, leaf: Leaf) -> int:
        """Return how many attempts wait inside this instance for a leaf."""
        link = self._links.get(leaf.id)
        return link.waiting if link is not None else 0

    def has_room(self, leaf: Leaf, attempt: Attempt) -> bool:
        """Return whether a leaf may be sent an attempt now, or else it waits here."""
        sent = leaf.outstanding - self.count_waiting(leaf)
        if sent <= 0:
            # Its reply is what tells that there is room again.
            return True
        now = self._clock.monotonic()
        time = self._estimate_time(leaf, attempt.kind, now)
        demand = Demand(attempt.rank, attempt.objective_at - now, time)
        return leaf.room.allows(demand, sent, leaf.stated_load(now), now)

    def find_delay(self, leaves: Iterable[Leaf], kind: str, rank: int) -> float:
        """Return the seconds until a request likely gets its turn at one of some leafs.

        Args:
            leaves: that it may go to.
            kind: of the request, for its usual time.
            rank: of the request; what is less urgent isn't ahead of it.
        """
        now = self._clock.monotonic()
        delays = []
        for leaf in leaves:
            link = self._links.get(leaf.id)
            if link is None or not link.waiting:
                return 0.0
            time = self._estimate_time(leaf, kind, now)
            delays.append(find_turn(link.count_ahead(rank), leaf.slots, time))
        return min(delays, default=0.0)

    def _estimate_time(self, leaf: Leaf, kind: str, now: float) -> float:
        """Return the seconds that such a request takes at a leaf of late."""
        return self._median_time(leaf, kind, now) * leaf.latency.estimate(now, 1.0)
