"""What waits inside an instance for one leaf: for a connection, or for room there.

See Also:
    `walkcart.leaves.link.LeafLink`, whose connections take from here.
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

#: Seconds between two lines about one leaf that has enough to do.
LOG_INTERVAL = 2.0

#: Returns whether a leaf has room for an attempt now.
HasRoom = Callable[[Leaf, Attempt], bool]


def has_always_room(leaf: Leaf, attempt: Attempt) -> bool:
    """Return True: the leaf may be sent whatever there are connections for."""
    return True


class LinkQueue:
    """Attempts by urgency, and before them what concerns running ones.

    Args:
        leaf: that they are for.
        tools: what every link uses.
        has_room: asked before an attempt leaves the queue.
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
        """Attempts that wait for their turn."""
        return len(self._attempts)

    def count_ahead(self, rank: int) -> int:
        """Return the attempts that go before one of a rank that comes now."""
        return self._attempts.count_ahead(rank)

    def add(self, attempt: Attempt, deliver: Deliver) -> bool:
        """Queue an attempt; return whether the leaf has room for it now."""
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
        """Queue what goes before all attempts that wait."""
        self._front.appendleft(pending)

    def has_sendable(self) -> bool:
        """Return whether something waits that may be carried now."""
        return bool(self._front) or any(map(self._is_sendable, self._attempts))

    def pop(self) -> Pending | None:
        """Take what goes next; None when nothing may."""
        if self._front:
            return self._front.popleft()
        now = self._tools.clock.monotonic()
        pending = self._attempts.take(now, self._is_sendable)
        if pending is not None and pending.blocked_since is not None:
            waited = now - pending.blocked_since
            self._tools.metrics.time("leaf.wait", waited * 1000)
        return pending

    def find(self, attempt_id: str) -> Pending | None:
        """Return an attempt that waits; None when it doesn't."""
        for pending in self:
            if pending.attempt is not None and pending.attempt.id == attempt_id:
                return pending
        return None

    def remove(self, attempt_id: str) -> Pending | None:
        """Take out an attempt that waits; None when it doesn't."""
        pending = self.find(attempt_id)
        if pending is None:
            return None
        if pending in self._front:
            self._front.remove(pending)
        else:
            self._attempts.remove(pending)
        return pending

    def remove_all(self) -> list[Pending]:
        """Take out all that waits."""
        waiting = [*self._front, *self._attempts.clear()]
        self._front.clear()
        return waiting

    def _is_sendable(self, pending: Pending) -> bool:
        attempt = pending.attempt
        return attempt is None or self._has_room(self._leaf, attempt)

    def _report_crowded(self, now: float) -> None:
        """Count an attempt that waits for room, and log it now and then."""
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
            others=round(leaf.stated_load(now), 1),
            pace=round(leaf.latency.estimate(now, 1.0), 1),
        )
