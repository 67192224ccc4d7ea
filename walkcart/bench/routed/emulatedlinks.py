"""Emulated connections of one instance to one leaf.

See Also:
    `walkcart.leaves.link.LeafLink`, which this replaces in trials.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from walkcart.bench.routed.emulatedleaf import (
    EmulatedLeaf,
    LeafReply,
    LeafRequest,
    LeafResponse,
)
from walkcart.bench.routed.timeline import Timeline
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import UNPINNED, Leaf
from walkcart.leaves.linkconnection import CONNECT_TIMEOUT
from walkcart.leaves.linkqueue import HasRoom, always_has_room
from walkcart.leaves.pool import LeafPool
from walkcart.leaves.pooltools import PoolTools
from walkcart.leaves.protocol import LeafStatus
from walkcart.routing.urgency import Urgency, UrgencyQueue
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

SUCCESS = 200


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that waits at a link or has been sent.

    Args:
        attempt: the attempt itself.
        deliver: called once with the outcome.
        sent_at: time of sending on trio's clock; None while it waits.
        request: its request at the leaf; None until it arrives there.
        ended: whether `deliver` has been called.
        waited_for_room: whether the leaf had no room when it was submitted.
    """

    attempt: Attempt
    deliver: Deliver
    sent_at: float | None = None
    request: LeafRequest | None = None
    ended: bool = False
    waited_for_room: bool = False


@dataclass(frozen=True, slots=True)
class EmulationTools:
    """What all emulated links of an instance share.

    Args:
        leafs: the emulated leaves by id.
        timeline: schedules the arrival of messages.
        latency_to: returns the one-way latency to a leaf in seconds.
        work_of: returns the mean work time of an attempt in seconds.
    """

    leafs: dict[str, EmulatedLeaf]
    timeline: Timeline
    latency_to: Callable[[EmulatedLeaf], float]
    work_of: Callable[[Attempt], float]


@dataclass(slots=True)
class EmulatedLink:
    """Sends attempts to one emulated leaf.

    Args:
        leaf: the instance's record of the leaf.
        emulated: the emulated leaf itself.
        share: maximum number of connections.
        emulation: the tools that all links of the instance share.
        record_status: called with the status that the leaf reports.
        has_room: returns whether the leaf may be sent an attempt now.
    """

    leaf: Leaf
    emulated: EmulatedLeaf
    share: int
    emulation: EmulationTools
    record_status: Callable[[Leaf, LeafStatus], None]
    connections: int = 0
    _idle: int = 0
    has_room: HasRoom = always_has_room
    _queue: UrgencyQueue[PendingAttempt] = field(default_factory=UrgencyQueue)
    _running: dict[str, PendingAttempt] = field(default_factory=dict)

    @property
    def waiting(self) -> int:
        """The number of attempts that wait for a connection or for room."""
        return len(self._queue)

    def count_ahead(self, rank: int) -> int:
        """Return how many queued attempts go before a new one of a given rank."""
        return self._queue.count_ahead(rank)

    def submit(self, attempt: Attempt, deliver: Deliver) -> None:
        """Queue an attempt and send it as soon as a connection and room are free."""
        urgency = Urgency(attempt.rank, attempt.objective_at, trio.current_time())
        pending = PendingAttempt(attempt, deliver)
        self._queue.add(pending, urgency)
        pending.waited_for_room = not self._has_room_for(pending)
        self._send_queued()

    def is_waiting(self, attempt_id: str) -> bool:
        """Return whether an attempt is still queued."""
        return any(item.attempt.id == attempt_id for item in self._queue)

    def withdraw(self, attempt_id: str) -> bool:
        """Remove an attempt that is still queued; return whether it was."""
        return self._remove_queued(attempt_id, Reason.UNREACHABLE)

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt; if it was sent, close its connection.

        Returns:
            False if it was still queued, True otherwise.
        """
        if self._remove_queued(attempt_id, Reason.CANCELLED):
            return False
        pending = self._running.get(attempt_id)
        if pending is None:
            return True
        self._close_connection()
        request = pending.request
        if request is not None:
            self._call_after_latency(lambda: self.emulated.cancel(request))
        self._end(pending, Failed(MayHaveRun(Reason.CANCELLED)))
        self._send_queued()
        return True

    def set_share(self, share: int) -> None:
        """Change the maximum number of connections."""
        self.share = share

    def close_idle(self) -> None:
        """Do nothing: emulated leaves keep idle connections for a whole trial."""

    def close(self) -> None:
        """Open no more connections; attempts in progress continue."""
        self.share = 0

    def _remove_queued(self, attempt_id: str, reason: Reason) -> bool:
        for pending in self._queue:
            if pending.attempt.id == attempt_id:
                self._queue.remove(pending)
                if pending.waited_for_room and reason is Reason.UNREACHABLE:
                    reason = Reason.NO_ROOM
                self._end(pending, Failed(NotRun(reason)))
                return True
        return False

    def _send_queued(self) -> None:
        while self._idle:
            pending = self._queue.pop(trio.current_time(), self._has_room_for)
            if pending is None:
                return
            self._idle -= 1
            self._send(pending)
        may_connect = self.connections < self.share
        if may_connect and any(self._has_room_for(item) for item in self._queue):
            self._connect()

    def _has_room_for(self, pending: PendingAttempt) -> bool:
        return self.has_room(self.leaf, pending.attempt)

    def _connect(self) -> None:
        self.connections += 1
        faults = self.emulated.faults
        round_trip = 2 * self.emulation.latency_to(self.emulated)
        if faults.gone:
            self.emulation.timeline.call_after(round_trip, self._fail_connection)
        elif faults.unresponsive:
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
        self._send_queued()

    def _fail_connection(self) -> None:
        """Fail the queued attempts if no other connection of this link is left."""
        self.connections -= 1
        if self.connections:
            return
        for pending in self._queue.clear():
            self._end(pending, Failed(NotRun(Reason.UNREACHABLE)))

    def _close_connection(self) -> None:
        self.connections -= 1
        self.emulated.connections -= 1

    def _send(self, pending: PendingAttempt) -> None:
        now = trio.current_time()
        if pending.attempt.deadline <= now:
            self._idle += 1
            self._end(pending, Failed(NotRun(Reason.DEADLINE)))
            return
        pending.sent_at = now
        attempt = pending.attempt
        self._running[attempt.id] = pending
        mean = self.emulation.work_of(attempt)
        seconds = self.emulated.draw_work(mean)

        def arrive() -> None:
            request = LeafRequest(
                seconds,
                attempt.deadline,
                trio.current_time(),
                lambda told: self._call_after_latency(
                    lambda: self._handle_response(pending, told)
                ),
            )
            pending.request = request
            if not pending.ended:
                self.emulated.submit(request)

        self._call_after_latency(arrive)
        self.emulation.timeline.call_at(
            attempt.deadline, lambda: self._time_out(pending)
        )

    def _call_after_latency(self, callback: Callable[[], None]) -> None:
        self.emulation.timeline.call_after(
            self.emulation.latency_to(self.emulated), callback
        )

    def _handle_response(self, pending: PendingAttempt, told: LeafResponse) -> None:
        """Pass on the outcome of an attempt that a leaf has replied to."""
        if pending.ended:
            return
        if told.reply is LeafReply.LOST:
            self._close_connection()
            self._end(pending, Failed(MayHaveRun(Reason.LEAF_FAILED)))
            self._send_queued()
            return
        self.record_status(self.leaf, LeafStatus(None, told.load, 0, False))
        self._idle += 1
        self._end(pending, self._make_outcome(pending, told))
        self._send_queued()

    def _make_outcome(self, pending: PendingAttempt, told: LeafResponse) -> Outcome:
        if told.reply is LeafReply.REFUSED:
            return Refused(Reason.OVERLOADED)
        assert pending.sent_at is not None
        elapsed = trio.current_time() - pending.sent_at
        return Replied(UNPINNED, False, SUCCESS, b"", elapsed)

    def _time_out(self, pending: PendingAttempt) -> None:
        if pending.ended:
            return
        self._close_connection()
        self._end(pending, Failed(MayHaveRun(Reason.DEADLINE)))
        self._send_queued()

    def _end(self, pending: PendingAttempt, outcome: Outcome) -> None:
        pending.ended = True
        self._running.pop(pending.attempt.id, None)
        pending.deliver(pending.attempt, outcome)


class EmulatedPool(LeafPool):
    """The pool of walkcart, with emulated links."""

    def __init__(self, tools: PoolTools, emulation: EmulationTools) -> None:
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
