"""The connections of one instance to one leaf, with one task for each.

Attempts wait in one queue, ordered by urgency. Each connection's task sends one at a
time when the leaf has capacity, so a queued attempt costs the leaf nothing and can be
cancelled for free. A running attempt whose result isn't needed is cancelled over
another connection, if the leaves' protocol has a request for that; its own connection
is drained and kept, since a new one costs time. Otherwise its connection is closed.
"""

from __future__ import annotations

import trio

from walkcart.kernel.taskerrors import log_task_error
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused
from walkcart.leaves.exchange import IDLE_TIMEOUT, LeafExchanges, LinkTools, Pending
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.linkconnection import LinkConnection, LinkConnector
from walkcart.leaves.linkqueue import HasRoom, LinkQueue, always_has_room
from walkcart.wire.http import HttpConnection
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds between a failure to connect and the next try; doubles up to `MAX_BACKOFF`.
INITIAL_BACKOFF = 0.05
#: Maximum of that time, in seconds.
MAX_BACKOFF = 2.0
#: Age of the checks of an attempt, in seconds, from which they are made again before it
#: is sent: the processor was busy with other things.
MAX_CHECK_AGE = 0.1


class LeafLink:
    """Sends attempts to one leaf.

    Args:
        leaf: state of the leaf.
        share: number of connections that may be open.
        tools: dependencies of every link.
        nursery: nursery of the connections' tasks.
        has_room: called before an attempt leaves the queue.
    """

    def __init__(
        self,
        leaf: Leaf,
        share: int,
        tools: LinkTools,
        nursery: trio.Nursery,
        has_room: HasRoom = always_has_room,
    ) -> None:
        self.leaf = leaf
        self._share = share
        self._tools = tools
        self._nursery = nursery
        self._queue = LinkQueue(leaf, tools, has_room)
        self._running: dict[str, Pending] = {}
        self._idle = trio.lowlevel.ParkingLot()
        self._connections = 0
        self._closed = False
        self._backoff = INITIAL_BACKOFF
        self._connect_after = float("-inf")
        self._exchanges = LeafExchanges(leaf, tools, self._adopt)
        self._connector = LinkConnector(leaf, tools)

    @property
    def connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._connections

    @property
    def waiting(self) -> int:
        """Number of attempts queued inside this instance."""
        return self._queue.waiting

    def count_ahead(self, rank: int) -> int:
        """Return how many attempts would go before a new one of this rank."""
        return self._queue.count_ahead(rank)

    def submit(self, attempt: Attempt, deliver: Deliver) -> None:
        """Queue `attempt`; `deliver` is called once with its outcome."""
        if self._closed or not self._can_send():
            detail = f"no connection to {self.leaf.address}"
            deliver(attempt, Failed(NotRun(Reason.UNREACHABLE, detail)))
            return
        if self._queue.add(attempt, deliver):
            self._wake_connection()

    def is_waiting(self, attempt_id: str) -> bool:
        """Return whether an attempt is still in the queue."""
        return self._queue.find(attempt_id) is not None

    def withdraw(self, attempt_id: str) -> bool:
        """Remove an attempt from the queue; return whether it was there.

        Nothing of it was sent; its outcome says that the leaf had no room or couldn't
        be reached.
        """
        pending = self._queue.remove(attempt_id)
        if pending is None:
            return False
        detail = f"no connection to {self.leaf.address} in time"
        verdict = NotRun(Reason.UNREACHABLE, detail)
        if pending.blocked_since is not None:
            detail = f"the leaf at {self.leaf.address} has enough to do"
            verdict = NotRun(Reason.NO_ROOM, detail)
        self._finish(pending, Failed(verdict))
        return True

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt whose result isn't needed; its outcome is still delivered.

        Returns:
            Whether the leaf may have received it.
        """
        waiting = self._queue.remove(attempt_id)
        if waiting is not None:
            self._finish(waiting, Failed(NotRun(Reason.CANCELLED)))
            return False
        pending = self._running.get(attempt_id)
        if pending is None or pending.abandoned:
            return True
        pending.abandoned = True
        if self._tools.protocol.make_cancel_request(attempt_id) is None:
            if pending.scope is not None:
                pending.scope.cancel()
        else:
            # Worth a new connection: until the cancel arrives, a leaf's slot is lost.
            if len(self._idle) or self._connections < self._share:
                self._queue.add_front(Pending(None, None, cancel_id=attempt_id))
                self._wake_connection()
        return True

    def set_share(self, share: int) -> None:
        """Change the number of connections; those above it close when idle."""
        self._share = share
        self._idle.unpark_all()

    def warm_up(self) -> None:
        """Open the first connection, to read the leaf's status."""
        if self._connections == 0 and not self._closed:
            self._start_connection()

    def check(self) -> None:
        """Request the leaf's status over an idle connection or a new one."""
        if len(self._idle):
            self._queue.add_front(Pending(None, None))
            self._idle.unpark()
        elif self._connections == 0 and self._may_connect():
            self.warm_up()

    def close(self) -> None:
        """Accept no more attempts; connections close when idle."""
        self._closed = True
        self._idle.unpark_all()

    def _can_send(self) -> bool:
        """Return whether there is a connection or one may be opened now."""
        return self._connections > 0 or (self._share > 0 and self._may_connect())

    def _may_connect(self) -> bool:
        return self._tools.clock.monotonic() >= self._connect_after

    def _wake_connection(self) -> None:
        if len(self._idle):
            self._idle.unpark()
        elif self._connections < self._share and self._may_connect():
            self._start_connection()

    def _start_connection(self) -> None:
        self._connections += 1
        self._nursery.start_soon(self._run_connection, None)

    def _adopt(self, stream: trio.abc.Stream) -> None:
        """Use a stream that was opened to check whether the leaf is alive.

        It replaces the connection whose end was the reason for the check.
        """
        self._connections += 1
        self._nursery.start_soon(self._run_connection, stream)

    async def _run_connection(self, stream: trio.abc.Stream | None) -> None:
        """Send attempts over one connection until it ends; connect without `stream`."""
        connection: LinkConnection | None = None
        try:
            connection = await self._connector.open(stream)
            if connection is not None:
                await self._process_queue(connection)
        except Exception as error:
            # A fault of one connection must not end the instance.
            task = f"connection to {self.leaf.address}"
            log_task_error(self._tools.events, task, error)
        finally:
            self._connections -= 1
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await connection.http.close()
        self._after_connection(connection is not None)

    def _after_connection(self, opened: bool) -> None:
        """Handle the queued attempts after a connection ended.

        After a failure to connect, the next try waits for the backoff: a leaf that is
        gone or full must not be met with a storm of connections.
        """
        if opened:
            self._backoff = INITIAL_BACKOFF
        else:
            self._connect_after = self._tools.clock.monotonic() + self._backoff
            self._backoff = min(MAX_BACKOFF, self._backoff * 2)
        if not self._can_send() or (self._closed and self._connections == 0):
            detail = f"no connection to {self.leaf.address}"
            for pending in self._queue.remove_all():
                self._finish(pending, Failed(NotRun(Reason.UNREACHABLE, detail)))
        elif self._queue.has_sendable():
            self._wake_connection()

    async def _process_queue(self, connection: LinkConnection) -> None:
        while True:
            pending = await self._wait_for_next(connection.http)
            if pending is None:
                return
            try:
                usable = await self._process(connection, pending)
            except Exception:
                # Nothing of it was sent: an exchange finishes its attempt itself. One
                # that is never finished keeps its question waiting until the deadline,
                # and its leaf out of use for good.
                fault = NotRun(Reason.INTERNAL, "a fault of walkcart")
                self._finish(pending, Failed(fault))
                raise
            if not usable:
                return
            connection.last_used = self._tools.clock.monotonic()

    async def _wait_for_next(self, http: HttpConnection) -> Pending | None:
        """Wait for the next entry to send; None if the connection should close."""
        since = self._tools.clock.monotonic()
        while True:
            if self._connections > self._share or (self._closed and not self._queue):
                return None
            pending = self._queue.pop()
            if pending is not None:
                return pending
            await self._idle.park()
            if not self._queue and (
                self._was_idle_too_long(since) or not http.is_quiet()
            ):
                # Bytes that nobody asked for would fill the kernel's memory.
                return None

    def close_idle(self) -> None:
        """Close connections that have been idle for long; called periodically.

        One periodic check of all connections costs less than a timeout on each wait of
        each connection.
        """
        if len(self._idle) and not self._queue:
            self._idle.unpark_all()

    def _was_idle_too_long(self, since: float) -> bool:
        """Return whether a connection that is idle since `since` should close.

        The last one stays open unless the leaf stated a shorter idle timeout.
        """
        idle = self._tools.clock.monotonic() - since
        told = self._exchanges.idle_timeout < IDLE_TIMEOUT.total_seconds()
        return idle >= self._exchanges.idle_timeout and (told or self._connections > 1)

    async def _process(self, connection: LinkConnection, pending: Pending) -> bool:
        """Send one entry of the queue; return whether the connection stays usable."""
        if pending.attempt is None and pending.cancel_id:
            return await self._send_cancel(connection, pending.cancel_id)
        if pending.attempt is None:
            return await self._connector.still_serves(connection)
        attempt = pending.attempt
        now = self._tools.clock.monotonic()
        if attempt.deadline <= now:
            self._finish(pending, Failed(NotRun(Reason.DEADLINE, "it waited too long")))
            return True
        if attempt.check_alive and await self._exchanges.has_ended():
            detail = f"the leaf at {self.leaf.address} had ended"
            self._finish(pending, Failed(NotRun(Reason.UNREACHABLE, detail)))
            return False
        if attempt.is_wanted is not None and not await attempt.is_wanted():
            detail = "its caller, or the instance that asked, no longer waits for it"
            self._finish(pending, Failed(NotRun(Reason.CANCELLED, detail)))
            return True
        idle_timeout = self._exchanges.idle_timeout
        if not await self._connector.may_carry(connection, attempt, idle_timeout):
            # Nothing of the attempt was sent, so another connection may send it.
            self._queue.add_front(pending)
            return False
        checked_at = self._tools.clock.monotonic()
        if not self._admit(pending, attempt):
            return True
        if self._tools.clock.monotonic() - checked_at > MAX_CHECK_AGE:
            self._queue.add_front(pending)
            return True
        return await self._exchange(connection, pending, attempt)

    def _admit(self, pending: Pending, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent now; otherwise finish it."""
        refusal = self._tools.admit(self.leaf, attempt)
        if refusal is not None:
            self._finish(pending, Failed(refusal))
        return refusal is None

    async def _exchange(
        self, connection: LinkConnection, pending: Pending, attempt: Attempt
    ) -> bool:
        self._running[attempt.id] = pending
        clean = False
        outcome: Outcome = Failed(MayHaveRun(Reason.DEADLINE, "no reply in time"))
        try:
            clean, outcome = await self._exchanges.run(
                connection.http, pending, attempt, outcome
            )
            if isinstance(outcome, Refused):
                key = self._tools.protocol.make_request_key(attempt)
                connection.refused.append(key)
        except trio.Cancelled:
            outcome = Failed(MayHaveRun(Reason.STOPPING, "stopped while it ran"))
            raise
        finally:
            del self._running[attempt.id]
            self._finish(pending, outcome)
        if len(self._idle) and self._queue.has_sendable():
            self._idle.unpark()
        return clean

    async def _send_cancel(self, connection: LinkConnection, attempt_id: str) -> bool:
        if attempt_id not in self._running:
            return True
        return await self._connector.send_cancel(connection, attempt_id)

    def _finish(self, pending: Pending, outcome: Outcome) -> None:
        if pending.attempt is None or pending.deliver is None or pending.finished:
            return
        pending.finished = True
        if pending.abandoned:
            self._tools.metrics.count("leaf.late")
        pending.deliver(pending.attempt, outcome)
