"""The server side of HTTP/1.1 on h11: one task for each connection.

See Also:
    `walkcart.wire.http`, the client side.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import h11
import trio

from walkcart.wire.bodies import MemoryBudget
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.network import is_quiet
from walkcart.wire.serverconnection import (
    BadRequest,
    Fault,
    ServerConnection,
    ServerLimits,
)

#: Passes of the event loop that a newly started task needs to read available input and
#: act on it: one each to start, to read, and to resume after the read.
WATCH_CHECKPOINTS = 3
#: Largest number of bytes that are read at once from an idle connection, or held of
#: what a client sends while its request is handled. All connections may hold as much.
MAX_EARLY_INPUT = 16384

Handler = Callable[[HttpRequest], Awaitable[HttpReply]]


class HttpServer:
    """Serves HTTP requests over streams.

    Args:
        handler: makes the reply; must not raise.
        limits: limits on requests and connections.
        on_fault: makes the reply to a malformed request.
        on_disconnect: called when a client disconnects during a request.
        cancel_on_disconnect: whether a request is cancelled when its client
            disconnects.
        on_error: called with an unexpected error, which then ends only its connection;
            without it such an error ends the instance.
        budget: limits the memory of the bodies of all requests in progress together;
            None sets no limit.
        max_connections: largest number of connections; each further one takes the place
            of the one that has been idle longest, or is closed where none is idle. None
            sets no limit.
        on_full: called when a connection came beyond that number.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        on_fault: Callable[[Fault], HttpReply],
        on_disconnect: Callable[[], None] = lambda: None,
        cancel_on_disconnect: bool = False,
        on_error: Callable[[Exception], None] | None = None,
        budget: MemoryBudget | None = None,
        max_connections: int | None = None,
        on_full: Callable[[], None] = lambda: None,
    ) -> None:
        self._handler = handler
        self.limits = limits
        self.cancel_on_disconnect = cancel_on_disconnect
        self._on_fault = on_fault
        self._on_disconnect = on_disconnect
        self._on_error = on_error
        self._budget = budget
        self._max_connections = max_connections
        self._on_full = on_full
        self._connections: set[ServerConnection] = set()
        self._closing = False
        self._read_by = float("inf")
        self.in_progress = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def list_read_times(self) -> list[float]:
        """Return when the requests in progress were read in full, in trio's time."""
        times = (connection.read_at for connection in self._connections)
        return [time for time in times if time is not None]

    def announce_stop(self, read_by: float = float("inf")) -> None:
        """Ask clients to close their connections, by a header on each later reply.

        Args:
            read_by: when a request that isn't complete is rejected, in trio's time.
        """
        self._closing = True
        self._read_by = read_by
        for connection in self._connections:
            connection.end_reading_at(read_by)

    def close_idle(self, idle_for: timedelta) -> None:
        """Close the connections without a request for at least `idle_for`."""
        limit = trio.current_time() - idle_for.total_seconds()
        for connection in tuple(self._connections):
            if connection.idle_scope and connection.idle_since <= limit:
                connection.idle_scope.cancel()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""
        if not self._make_room():
            await trio.aclose_forcefully(stream)
            return
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head)
        connection = ServerConnection(stream, http)
        self._connections.add(connection)
        try:
            while await self._serve_one(connection):
                connection.requests += 1
            if connection.unread:
                await connection.discard_input()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            self._on_disconnect()
        except h11.LocalProtocolError:
            # The reply is not valid HTTP; closing the connection is better than ending
            # the instance.
            self._on_disconnect()
        except Exception as error:
            if self._on_error is None:
                raise
            self._on_error(error)
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(stream)

    def _make_room(self) -> bool:
        """Return whether one more connection can be served."""
        if self._max_connections is None or self.connections < self._max_connections:
            return True
        self._on_full()
        idle = [item for item in self._connections if item.idle_scope is not None]
        if not idle:
            return False
        longest = min(idle, key=lambda item: item.idle_since)
        assert longest.idle_scope is not None
        longest.idle_scope.cancel()
        longest.idle_scope = None
        return True

    async def _serve_one(self, connection: ServerConnection) -> bool:
        """Serve one request; return whether another may follow."""
        if not await self._wait_for_bytes(connection):
            return False
        self.in_progress += 1
        try:
            try:
                request = await connection.read_request(
                    self.limits, self._budget, self._read_by
                )
            except BadRequest as error:
                connection.unread = True
                reply = self._on_fault(error.fault)
                await connection.send(reply, True, self.limits)
                return False
            if request is None:
                self._on_disconnect()
                return False
            connection.read_at = trio.current_time()
            reply = await self._run_handler(connection, request)
            if reply is None:
                self._on_disconnect()
                return False
            await connection.send(reply, self._closing, self.limits)
        finally:
            connection.read_at = connection.share = None
            self.in_progress -= 1
        return connection.prepare_next()

    async def _run_handler(
        self, connection: ServerConnection, request: HttpRequest
    ) -> HttpReply | None:
        """Make the reply; None if the request was cancelled by a disconnect."""
        if not self.cancel_on_disconnect:
            return await self._handler(request)
        reply: HttpReply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client, connection, nursery.cancel_scope)
            if not is_quiet(connection.stream):
                # The client may have disconnected while its connection waited to be
                # accepted; the watching task sees that before any work is begun.
                for _ in range(WATCH_CHECKPOINTS):
                    await trio.lowlevel.checkpoint()
            reply = await self._handler(request)
            nursery.cancel_scope.cancel()
        return None if connection.gone else reply

    async def _watch_client(
        self, connection: ServerConnection, scope: trio.CancelScope
    ) -> None:
        """Cancel `scope` if the client disconnects; keep what it sends meanwhile."""
        read = 0
        while read < MAX_EARLY_INPUT:
            try:
                data = await connection.stream.receive_some(MAX_EARLY_INPUT - read)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                connection.gone = True
                scope.cancel()
                return
            read += len(data)
            connection.http.receive_data(data)

    async def _wait_for_bytes(self, connection: ServerConnection) -> bool:
        """Wait for the first byte of a request; False if none will come."""
        if connection.http.trailing_data[0]:
            return True
        data = b""
        connection.idle_since = trio.current_time()
        limit = self.limits.idle_time.total_seconds()
        with trio.move_on_after(limit) as connection.idle_scope:
            data = await connection.stream.receive_some(MAX_EARLY_INPUT)
        connection.idle_scope = None
        if not data:
            return False
        connection.http.receive_data(data)
        return True
