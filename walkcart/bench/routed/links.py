"""Emulated connections of one instance to one leaf.

See Also:
    `walkcart.leaves.link.LeafLink`, in whose place this stands.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from walkcart.bench.routed.leafs import EmulatedLeaf, LeafReply, Told, Work
from walkcart.bench.routed.timeline import Timeline
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import UNPINNED, Leaf
from walkcart.leaves.link import CONNECT_TIMEOUT
from walkcart.leaves.linkqueue import HasRoom, always_has_room
from walkcart.leaves.pool import LeafPool
from walkcart.leaves.pooltools import PoolTools
from walkcart.leaves.protocol import LeafStatus
from walkcart.routing.urgency import Urgency, UrgencyQueue
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

SUCCESS = 200


@dataclass(slots=True, eq=False)
class Carried:
    """An attempt on its way.

    Args:
        attempt: what is carried.
        deliver: told once how it ended.
        sent_at: when it was sent; None while it waits.
        work: at the leaf, from its arrival on.
        ended: whether `deliver` was told.
        crowded: whether it had to wait for room at the leaf.
    """

    attempt: Attempt
    deliver: Deliver
    sent_at: float | None = None
    work: Work | None = None
    ended: bool = False
    crowded: bool = False


@dataclass(frozen=True, slots=True)
class Emulation:
    """What all links of an instance share.

    Args:
        leafs: by id.
        timeline: where messages arrive.
        way: returns the one-way seconds to a leaf.
        work_of: returns the mean seconds of work of a request, by its id.
    """

    leafs: dict[str, EmulatedLeaf]
    timeline: Timeline
    way: Callable[[EmulatedLeaf], float]
    work_of: Callable[[Attempt], float]


@dataclass(slots=True)
class EmulatedLink:
    """Carries attempts to one emulated leaf.

    Args:
        leaf: what the instance knows of the leaf.
        emulated: the leaf.
        share: connections that may be open.
        emulation: shared with other links.
        note_status: told what the leaf says of itself.
        has_room: asked before an attempt leaves the queue.
    """

    leaf: Leaf
    emulated: EmulatedLeaf
    share: int
    emulation: Emulation
    note_status: Callable[[Leaf, LeafStatus], None]
    connections: int = 0
    _idle: int = 0
    has_room: HasRoom = always_has_room
    _queue: UrgencyQueue[Carried] = field(default_factory=UrgencyQueue)
    _running: dict[str, Carried] = field(default_factory=dict)

    @property
    def waiting(self) -> int:
        """Attempts that wait for a connection or for room."""
        return len(self._queue)

    def count_ahead(self, rank: int) -> int:
        """Return the attempts that go before one of a rank that comes now."""
        return self._queue.count_ahead(rank)

    def submit(self, attempt: Attempt, deliver: Deliver) -> None:
        """Send an attempt, or let it wait for a connection."""
        urgency = Urgency(attempt.rank, attempt.objective_at, trio.current_time())
        carried = Carried(attempt, deliver)
        self._queue.add(carried, urgency)
        carried.crowded = not self._fits(carried)
        self._serve()

    def is_waiting(self, attempt_id: str) -> bool:
        """Return whether an attempt waits still."""
        return any(item.attempt.id == attempt_id for item in self._queue)

    def withdraw(self, attempt_id: str) -> bool:
        """Take back an attempt that waits still; return whether it did."""
        return self._take_back(attempt_id, Reason.UNREACHABLE)

    def cancel(self, attempt_id: str) -> bool:
        """Nobody waits for this attempt any longer: its connection closes."""
        if self._take_back(attempt_id, Reason.CANCELLED):
            return False
        carried = self._running.get(attempt_id)
        if carried is None:
            return True
        self._close_connection()
        work = carried.work
        if work is not None:
            self._after_way(lambda: self.emulated.cancel(work))
        self._end(carried, Failed(MayHaveRun(Reason.CANCELLED)))
        self._serve()
        return True

    def set_share(self, share: int) -> None:
        """Change the number of connections."""
        self.share = share

    def close_idle(self) -> None:
        """Keep idle connections: leafs keep theirs for longer than a trial."""

    def close(self) -> None:
        """Carry nothing new; what is in progress still ends."""
        self.share = 0

    def _take_back(self, attempt_id: str, reason: Reason) -> bool:
        for carried in self._queue:
            if carried.attempt.id == attempt_id:
                self._queue.remove(carried)
                if carried.crowded and reason is Reason.UNREACHABLE:
                    reason = Reason.NO_ROOM
                self._end(carried, Failed(NotRun(reason)))
                return True
        return False

    def _serve(self) -> None:
        while self._idle:
            carried = self._queue.pop(trio.current_time(), self._fits)
            if carried is None:
                return
            self._idle -= 1
            self._send(carried)
        may_connect = self.connections < self.share
        if may_connect and any(self._fits(item) for item in self._queue):
            self._connect()

    def _fits(self, carried: Carried) -> bool:
        return self.has_room(self.leaf, carried.attempt)

    def _connect(self) -> None:
        self.connections += 1
        trouble = self.emulated.trouble
        round_trip = 2 * self.emulation.way(self.emulated)
        if trouble.gone:
            self.emulation.timeline.call_after(round_trip, self._fail_connection)
        elif trouble.dark:
            limit = CONNECT_TIMEOUT.total_seconds()
            self.emulation.timeline.call_after(limit, self._fail_connection)
        elif self.emulated.connections >= self.emulated.shape.connections:
            self.emulation.timeline.call_after(round_trip, self._fail_connection)
        else:
            self.emulated.connections += 1
            opened = round_trip + self.emulated.shape.handshake
            self.emulation.timeline.call_after(opened, self._open)

    def _open(self) -> None:
        self._idle += 1
        self._serve()

    def _fail_connection(self) -> None:
        """No connection came up: what waits for one ends, unless others carry it."""
        self.connections -= 1
        if self.connections:
            return
        for carried in self._queue.clear():
            self._end(carried, Failed(NotRun(Reason.UNREACHABLE)))

    def _close_connection(self) -> None:
        self.connections -= 1
        self.emulated.connections -= 1

    def _send(self, carried: Carried) -> None:
        now = trio.current_time()
        if carried.attempt.deadline <= now:
            self._idle += 1
            self._end(carried, Failed(NotRun(Reason.DEADLINE)))
            return
        carried.sent_at = now
        attempt = carried.attempt
        self._running[attempt.id] = carried
        mean = self.emulation.work_of(attempt)
        seconds = self.emulated.draw_work(mean)

        def arrive() -> None:
            work = Work(
                seconds,
                attempt.deadline,
                trio.current_time(),
                lambda told: self._after_way(lambda: self._take(carried, told)),
            )
            carried.work = work
            if not carried.ended:
                self.emulated.take(work)

        self._after_way(arrive)
        self.emulation.timeline.call_at(
            attempt.deadline, lambda: self._time_out(carried)
        )

    def _after_way(self, act: Callable[[], None]) -> None:
        self.emulation.timeline.call_after(self.emulation.way(self.emulated), act)

    def _take(self, carried: Carried, told: Told) -> None:
        """Take a leaf's word on an attempt."""
        if carried.ended:
            return
        if told.reply is LeafReply.LOST:
            self._close_connection()
            self._end(carried, Failed(MayHaveRun(Reason.LEAF_FAILED)))
            self._serve()
            return
        self.note_status(self.leaf, LeafStatus(None, told.load, 0, False))
        self._idle += 1
        self._end(carried, self._read(carried, told))
        self._serve()

    def _read(self, carried: Carried, told: Told) -> Outcome:
        if told.reply is LeafReply.REFUSED:
            return Refused(Reason.OVERLOADED)
        assert carried.sent_at is not None
        elapsed = trio.current_time() - carried.sent_at
        return Replied(UNPINNED, False, SUCCESS, b"", elapsed)

    def _time_out(self, carried: Carried) -> None:
        if carried.ended:
            return
        self._close_connection()
        self._end(carried, Failed(MayHaveRun(Reason.DEADLINE)))
        self._serve()

    def _end(self, carried: Carried, outcome: Outcome) -> None:
        carried.ended = True
        self._running.pop(carried.attempt.id, None)
        carried.deliver(carried.attempt, outcome)


class EmulatedPool(LeafPool):
    """The product's pool, with emulated links."""

    def __init__(self, tools: PoolTools, emulation: Emulation) -> None:
        super().__init__(tools)
        self._emulation = emulation

    def _find_link(self, leaf: Leaf) -> EmulatedLink:
        link = self._links.get(leaf.id)
        if link is None:
            emulated = self._emulation.leafs[leaf.id]
            link = EmulatedLink(
                leaf,
                emulated,
                self._share_of(leaf),
                self._emulation,
                self.record_status,
                has_room=self.has_room,
            )
            self._links[leaf.id] = link
        return link
