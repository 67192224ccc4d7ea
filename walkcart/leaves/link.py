"""The connections of one instance to one leaf: one task for each.

Attempts wait in one queue, by urgency, and each connection's task carries one at a
time as the leaf has room, so a waiting attempt costs the leaf nothing and can be
cancelled for nothing. A
running one that nobody waits for is cancelled: over another connection if one is
idle, where the leaves' protocol has a request for that, and its own connection is
drained and kept, since a new one costs time; else by closing its connection.
"""

from __future__ import annotations

from datetime import timedelta

import trio

from walkcart.kernel.events import Events
from walkcart.kernel.settings import parse_host_port
from walkcart.kernel.taskerrors import log_task_error
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome
from walkcart.leaves.exchange import IDLE_TIME, LeafExchanges, LinkTools, Pending
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.linkqueue import HasRoom, LinkQueue, always_has_room
from walkcart.leaves.protocol import REPLY_LIMIT
from walkcart.wire.http import (
    ExchangeFailed,
    HttpConnection,
)
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

CONNECT_TIMEOUT = timedelta(seconds=1)
#: Seconds without a new try after a failure to connect; doubles up to the longest.
FIRST_BACKOFF = 0.05
LONGEST_BACKOFF = 2.0
#: A connection idle for longer is checked before a non-repeatable request.
FRESH_TIME = timedelta(seconds=1)


class LeafLink:
    """Carries attempts to one leaf.

    Args:
        leaf: what is known of it.
        share: connections that may be open.
        tools: what every link uses.
        nursery: where the connections' tasks run.
        has_room: asked before an attempt leaves the queue.
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
        self._backoff = FIRST_BACKOFF
        self._connect_after = float("-inf")
        self._exchanges = LeafExchanges(leaf, tools, self._adopt)

    @property
    def connections(self) -> int:
        """Connections that are open or being opened."""
        return self._connections

    @property
    def waiting(self) -> int:
        """Attempts that wait inside this instance."""
        return self._queue.waiting

    def count_ahead(self, rank: int) -> int:
        """Return the attempts that go before one of a rank that comes now."""
        return self._queue.count_ahead(rank)

    def submit(self, attempt: Attempt, deliver: Deliver) -> None:
        """Queue `attempt`; `deliver` is told once how it ended."""
        if self._closed or not self._can_carry():
            detail = f"no connection to {self.leaf.address}"
            deliver(attempt, Failed(NotRun(Reason.UNREACHABLE, detail)))
            return
        if self._queue.add(attempt, deliver):
            self._call_worker()

    def is_waiting(self, attempt_id: str) -> bool:
        """Return whether an attempt waits still."""
        return self._queue.find(attempt_id) is not None

    def withdraw(self, attempt_id: str) -> bool:
        """Take back an attempt that waits still; return whether it did.

        Nothing of it was sent; its outcome tells that the leaf had no room, or else
        couldn't be reached.
        """
        pending = self._queue.take_out(attempt_id)
        if pending is None:
            return False
        detail = f"no connection to {self.leaf.address} in time"
        verdict = NotRun(Reason.UNREACHABLE, detail)
        if pending.crowded_at is not None:
            detail = f"the leaf at {self.leaf.address} has enough to do"
            verdict = NotRun(Reason.NO_ROOM, detail)
        self._end(pending, Failed(verdict))
        return True

    def cancel(self, attempt_id: str) -> bool:
        """Nobody waits for this attempt any longer; its outcome is still told.

        Returns:
            Whether the leaf may have it.
        """
        waiting = self._queue.take_out(attempt_id)
        if waiting is not None:
            self._end(waiting, Failed(NotRun(Reason.CANCELLED)))
            return False
        pending = self._running.get(attempt_id)
        if pending is None or pending.abandoned:
            return True
        pending.abandoned = True
        if self._tools.protocol.make_cancel_request(attempt_id) is None:
            if pending.scope is not None:
                pending.scope.cancel()
        else:
            # Worth a new connection: until then a slot of the leaf is lost.
            if len(self._idle) or self._connections < self._share:
                self._queue.add_first(Pending(None, None, cancel_id=attempt_id))
                self._call_worker()
        return True

    def set_share(self, share: int) -> None:
        """Change the number of connections; more than that close when idle."""
        self._share = share
        self._idle.unpark_all()

    def warm_up(self) -> None:
        """Open the first connection, to learn what the leaf says of itself."""
        if self._connections == 0 and not self._closed:
            self._start_connection()

    def check(self) -> None:
        """Ask the leaf what it says of itself, over an idle connection or a new one."""
        if len(self._idle):
            self._queue.add_first(Pending(None, None))
            self._idle.unpark()
        elif self._connections == 0 and self._may_connect():
            self.warm_up()

    def close(self) -> None:
        """Take no more attempts; connections close when idle."""
        self._closed = True
        self._idle.unpark_all()

    def _can_carry(self) -> bool:
        """Return whether there is a connection or one may be opened now."""
        return self._connections > 0 or (self._share > 0 and self._may_connect())

    def _may_connect(self) -> bool:
        return self._tools.clock.monotonic() >= self._connect_after

    def _call_worker(self) -> None:
        if len(self._idle):
            self._idle.unpark()
        elif self._connections < self._share and self._may_connect():
            self._start_connection()

    def _start_connection(self) -> None:
        self._connections += 1
        self._nursery.start_soon(self._run_connection, None)

    def _adopt(self, stream: trio.abc.Stream) -> None:
        """Carry attempts over a stream that was opened to see whether the leaf lives.

        It takes the place of the connection whose end was the reason to look.
        """
        self._connections += 1
        self._nursery.start_soon(self._run_connection, stream)

    async def _run_connection(self, stream: trio.abc.Stream | None) -> None:
        """Carry attempts over one connection, opened here if need be, to its end."""
        connection: HttpConnection | None = None
        try:
            connection = await self._open(stream)
            if connection is not None:
                await self._carry_all(connection)
        except Exception as error:
            # A fault of one connection must not end the instance.
            task = f"connection to {self.leaf.address}"
            log_task_error(self._tools.events, task, error)
        finally:
            self._connections -= 1
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await connection.close()
        self._after_connection(connection is not None)

    def _after_connection(self, opened: bool) -> None:
        """See to what still waits after a connection ended.

        After a failure to connect no more is tried for a while: a leaf that is
        gone or full must not be met with a storm of connections.
        """
        if opened:
            self._backoff = FIRST_BACKOFF
        else:
            self._connect_after = self._tools.clock.monotonic() + self._backoff
            self._backoff = min(LONGEST_BACKOFF, self._backoff * 2)
        if not self._can_carry() or (self._closed and self._connections == 0):
            detail = f"no connection to {self.leaf.address}"
            for pending in self._queue.take_all():
                self._end(pending, Failed(NotRun(Reason.UNREACHABLE, detail)))
        elif self._queue.may_take():
            self._call_worker()

    async def _open(self, stream: trio.abc.Stream | None) -> HttpConnection | None:
        """Connect and exchange a status; None when the leaf can't be reached."""
        address = parse_host_port(self.leaf.address)
        try:
            with trio.fail_after(CONNECT_TIMEOUT.total_seconds()):
                if stream is None:
                    stream = await self._tools.network.connect(address)
                connection = HttpConnection(stream, self.leaf.address, REPLY_LIMIT)
                try:
                    await self._check(connection)
                except BaseException:
                    await connection.close()
                    raise
                return connection
        except (OSError, ExchangeFailed, trio.TooSlowError) as error:
            self._tools.events.emit(
                Events.LEAF_UNREACHABLE, leaf=self.leaf.address, detail=str(error)
            )
            return None

    async def _check(self, connection: HttpConnection) -> None:
        """Exchange a status, which shows that the leaf serves this connection.

        Where leaves aren't asked for it, what waits to be read must do.
        """
        protocol = self._tools.protocol
        request = protocol.make_status_request()
        if request is None:
            if not connection.is_quiet():
                raise OSError("the leaf closed the connection")
            return
        reply = await connection.exchange(request)
        self._tools.on_status(self.leaf, protocol.read_status(dict(reply.headers)))
        if not connection.prepare_next():
            raise OSError("the leaf closes the connection")

    async def _carry_all(self, connection: HttpConnection) -> None:
        last_used = self._tools.clock.monotonic()
        while True:
            pending = await self._next()
            if pending is None:
                return
            if not await self._carry(connection, pending, last_used):
                return
            last_used = self._tools.clock.monotonic()

    async def _next(self) -> Pending | None:
        """Wait for something to carry; None when the connection should close."""
        since = self._tools.clock.monotonic()
        while True:
            if self._connections > self._share or (self._closed and not self._queue):
                return None
            pending = self._queue.take()
            if pending is not None:
                return pending
            await self._idle.park()
            if not self._queue and self._was_idle_too_long(since):
                return None

    def close_idle(self) -> None:
        """Close connections that have been idle for long; called now and then.

        One look at all of a link's connections costs less than a time limit for each
        wait of each of them.
        """
        if len(self._idle) and not self._queue:
            self._idle.unpark_all()

    def _was_idle_too_long(self, since: float) -> bool:
        idle = self._tools.clock.monotonic() - since
        told = self._exchanges.idle_time < IDLE_TIME.total_seconds()
        return idle >= self._exchanges.idle_time and (told or self._connections > 1)

    async def _carry(
        self, connection: HttpConnection, pending: Pending, last_used: float
    ) -> bool:
        """Carry one attempt or cancel; return whether the connection goes on."""
        if pending.attempt is None and pending.cancel_id:
            return await self._send_cancel(connection, pending.cancel_id)
        if pending.attempt is None:
            return await self._is_fresh(connection)
        attempt = pending.attempt
        now = self._tools.clock.monotonic()
        if attempt.deadline <= now:
            self._end(pending, Failed(NotRun(Reason.DEADLINE, "it waited too long")))
            return True
        if attempt.check_alive and await self._exchanges.has_ended():
            detail = f"the leaf at {self.leaf.address} had ended"
            self._end(pending, Failed(NotRun(Reason.UNREACHABLE, detail)))
            return False
        stale = now - last_used > FRESH_TIME.total_seconds()
        usable = connection.is_quiet() and now - last_used < self._exchanges.idle_time
        if usable and not attempt.repeatable and stale:
            # The leaf may have dropped it without a word; where it can't be asked,
            # a new connection costs less than a request that may have run.
            can_ask = self._tools.protocol.make_status_request() is not None
            usable = can_ask and await self._is_fresh(connection)
        if not usable:
            # Nothing of the attempt was sent: it goes on over another one.
            self._queue.add_first(pending)
            return False
        if not self._admit(pending, attempt):
            return True
        return await self._exchange(connection, pending, attempt)

    def _admit(self, pending: Pending, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent now; one that may not is ended."""
        refusal: NotRun | None = NotRun(Reason.INTERNAL, "a fault of walkcart")
        try:
            refusal = self._tools.admit(self.leaf, attempt)
        finally:
            # Also after a fault: an attempt that is never ended keeps its question
            # waiting until the deadline, and its leaf out of use for good.
            if refusal is not None:
                self._end(pending, Failed(refusal))
        return refusal is None

    async def _is_fresh(self, connection: HttpConnection) -> bool:
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            try:
                await self._check(connection)
            except (OSError, ExchangeFailed):
                return False
            return True
        return False

    async def _exchange(
        self, connection: HttpConnection, pending: Pending, attempt: Attempt
    ) -> bool:
        self._running[attempt.id] = pending
        clean = False
        outcome: Outcome = Failed(MayHaveRun(Reason.DEADLINE, "no reply in time"))
        try:
            clean, outcome = await self._exchanges.run(
                connection, pending, attempt, outcome
            )
        except trio.Cancelled:
            outcome = Failed(MayHaveRun(Reason.STOPPING, "stopped while it ran"))
            raise
        finally:
            del self._running[attempt.id]
            self._end(pending, outcome)
        if len(self._idle) and self._queue.may_take():
            self._idle.unpark()
        return clean

    async def _send_cancel(self, connection: HttpConnection, attempt_id: str) -> bool:
        if attempt_id not in self._running:
            return True
        request = self._tools.protocol.make_cancel_request(attempt_id)
        assert request is not None
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            try:
                await connection.exchange(request)
            except ExchangeFailed:
                return False
            return connection.prepare_next()
        return False

    def _end(self, pending: Pending, outcome: Outcome) -> None:
        if pending.attempt is None or pending.deliver is None:
            return
        if pending.abandoned:
            self._tools.metrics.count("leaf.late")
        pending.deliver(pending.attempt, outcome)
