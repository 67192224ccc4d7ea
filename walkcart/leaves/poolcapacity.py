"""Spare capacity of leaves, given what waits for them inside this instance.

See Also:
    `walkcart.routing.leaflimiter`, which makes the decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from walkcart.kernel.clock import Clock
from walkcart.leaves.attempts import Attempt
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.link import LeafLink
from walkcart.routing.leaflimiter import SlotRequest, estimate_queue_delay


class PoolCapacity:
    """Estimates whether leaves have spare capacity, and when they will have it.

    Args:
        links: links to leaves, by leaf id; the pool's own mapping, which it updates.
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
        """Whether any attempt is queued inside this instance."""
        return any(link.waiting for link in self._links.values())

    def count_waiting(self, leaf: Leaf) -> int:
        """Return the number of attempts queued inside this instance for a leaf."""
        link = self._links.get(leaf.id)
        return link.waiting if link is not None else 0

    def has_room(self, leaf: Leaf, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent to a leaf now; else it stays queued."""
        sent = leaf.outstanding - self.count_waiting(leaf)
        if sent <= 0:
            # Without a request there, no reply would ever report spare capacity.
            return True
        now = self._clock.monotonic()
        time = self._estimate_time(leaf, attempt.kind, now)
        demand = SlotRequest(attempt.rank, attempt.objective_at - now, time)
        return leaf.room.allows(demand, sent, leaf.reported_load(now), now)

    def estimate_wait(self, leaves: Iterable[Leaf], kind: str, rank: int) -> float:
        """Return the seconds until a request is likely to be sent to one of `leaves`.

        Args:
            leaves: leaves that may serve the request.
            kind: kind of the request, which determines its usual time.
            rank: priority of the request; less urgent ones aren't ahead of it.
        """
        now = self._clock.monotonic()
        delays = []
        for leaf in leaves:
            link = self._links.get(leaf.id)
            if link is None or not link.waiting:
                return 0.0
            time = self._estimate_time(leaf, kind, now)
            delays.append(
                estimate_queue_delay(link.count_ahead(rank), leaf.slots, time)
            )
        return min(delays, default=0.0)

    def _estimate_time(self, leaf: Leaf, kind: str, now: float) -> float:
        """Return the seconds that such a request takes at the leaf's present speed."""
        return self._median_time(leaf, kind, now) * leaf.latency.estimate(now, 1.0)
