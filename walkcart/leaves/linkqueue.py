"""The queue of attempts that wait for a connection to a leaf, or for capacity there.

See Also:
    `walkcart.leaves.link.LeafLink`, whose connections take attempts from the queue.
    `walkcart.routing.urgency`, which decides the order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from walkcart.kernel.events import Events
from walkcart.leaves.attempts import Attempt, Deliver
from walkcart.leaves.exchange import LinkTools, Pending
from walkcart.leaves.leaf import Leaf
from walkcart.routing.urgency import Urgency, UrgencyQueue

#: Seconds between two log lines about one leaf that is at capacity.
LOG_INTERVAL = 2.0

#: Returns whether a leaf has spare capacity for an attempt now.
HasRoom = Callable[[Leaf, Attempt], bool]


def always_has_room(leaf: Leaf, attempt: Attempt) -> bool:
    """Return True: only the number of connections limits what is sent."""
    return True


class LinkQueue:
    """Attempts in order of urgency, after control requests such as cancels.

    Args:
        leaf: leaf that the attempts are for.
        tools: dependencies of every link.
        has_room: called before an attempt leaves the queue.
    """

    def __init__(self, leaf: Leaf, tools: LinkTools, has_room: HasRoom) -> None:
        self._leaf = leaf
        self._tools = tools
        self._has_room = has_room
        self._front: deque[Pending] = deque()
        self._attempts: UrgencyQueue[Pending] = UrgencyQueue()
        self._logged_at = float("-inf")

    def __len__(self) -> int:
        return len(self._front) + len(self._attempts)

    def __iter__(self) -> Iterator[Pending]:
        yield from self._front
        yield from self._attempts

    @property
    def waiting(self) -> int:
        """Number of attempts in the queue."""
        return len(self._attempts)

    def count_ahead(self, rank: int) -> int:
        """Return how many attempts would go before a new one of this rank."""
        return self._attempts.count_ahead(rank)

    def add(self, attempt: Attempt, deliver: Deliver) -> bool:
        """Queue an attempt; return whether the leaf has capacity for it now."""
        now = self._tools.clock.monotonic()
        pending = Pending(attempt, deliver)
        urgency = Urgency(attempt.rank, attempt.objective_at, since=now)
        self._attempts.add(pending, urgency)
        if self._is_sendable(pending):
            return True
        pending.blocked_since = now
        self._report_crowded(now)
        return False

    def add_front(self, pending: Pending) -> None:
        """Queue an entry in front of all others."""
        self._front.appendleft(pending)

    def has_sendable(self) -> bool:
        """Return whether any entry may be sent now."""
        return bool(self._front) or any(map(self._is_sendable, self._attempts))

    def pop(self) -> Pending | None:
        """Remove and return the next entry; None if none may be sent now."""
        if self._front:
            return self._front.popleft()
        now = self._tools.clock.monotonic()
        pending = self._attempts.pop(now, self._is_sendable)
        if pending is not None and pending.blocked_since is not None:
            waited = now - pending.blocked_since
            self._tools.metrics.time("leaf.wait", waited * 1000)
        return pending

    def find(self, attempt_id: str) -> Pending | None:
        """Return a queued attempt, or None if it isn't in the queue."""
        for pending in self:
            if pending.attempt is not None and pending.attempt.id == attempt_id:
                return pending
        return None

    def remove(self, attempt_id: str) -> Pending | None:
        """Remove and return a queued attempt; None if it isn't in the queue."""
        pending = self.find(attempt_id)
        if pending is None:
            return None
        if pending in self._front:
            self._front.remove(pending)
        else:
            self._attempts.remove(pending)
        return pending

    def remove_all(self) -> list[Pending]:
        """Remove and return all entries."""
        waiting = [*self._front, *self._attempts.clear()]
        self._front.clear()
        return waiting

    def _is_sendable(self, pending: Pending) -> bool:
        attempt = pending.attempt
        return attempt is None or self._has_room(self._leaf, attempt)

    def _report_crowded(self, now: float) -> None:
        """Count an attempt that waits for capacity; log at most one per interval."""
        self._tools.metrics.count("leaf.crowded")
        if now < self._logged_at + LOG_INTERVAL:
            return
        self._logged_at = now
        leaf = self._leaf
        self._tools.events.emit(
            Events.LEAF_CROWDED,
            leaf=leaf.address,
            leaf_id=leaf.id,
            outstanding=leaf.outstanding,
            waiting=self.waiting,
            others=round(leaf.reported_load(now), 1),
            pace=round(leaf.latency.estimate(now, 1.0), 1),
        )
