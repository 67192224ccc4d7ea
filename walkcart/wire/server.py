"""The server side of HTTP/1.1 on h11: one task for each connection.

See Also:
    `walkcart.wire.http`, the client side.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import h11
import trio

from walkcart.wire.bodies import (
    BodyBuffer,
    BodyTooLong,
    MemoryBudget,
    MemoryShare,
    NoMemory,
    join_parts,
)
from walkcart.wire.http import (
    CONNECT,
    MAX_HEADER_BYTES,
    RECEIVE_SIZE,
    HttpReply,
    HttpRequest,
)
from walkcart.wire.network import is_quiet

#: Passes of the event loop that a newly started task needs to read available input and
#: act on it: one each to start, to read, and to resume after the read.
WATCH_CHECKPOINTS = 3

#: Statuses whose replies have neither a body nor a length (RFC 9110, 15.3.5, 15.4.5).
_BODYLESS_STATUSES = frozenset({204, 304})

#: Largest number of bytes that are read at once from an idle connection, or held of
#: what a client sends while its request is handled. All connections may hold as much.
MAX_EARLY_INPUT = 16384
#: Maximum time for which the rest of a refused request is read.
DISCARD_TIMEOUT = timedelta(seconds=1)
#: Time after which a request may be sent again that found no memory for its body.
MEMORY_RETRY_DELAY = timedelta(seconds=1)

Handler = Callable[[HttpRequest], Awaitable[HttpReply]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on what a client may do over a connection.

    Args:
        body: largest body of a request, in bytes.
        read_time: time in which a request must be complete, from its first byte.
        idle_time: time after which a connection without a request is closed.
        head: largest head of a request, in bytes.
        send_time: time in which the client must take a reply.
    """

    body: int = 1 << 20
    read_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=120)
    head: int = MAX_HEADER_BYTES
    send_time: timedelta = timedelta(seconds=30)


class Fault(Enum):
    """Why a request was rejected before it reached the handler."""

    MALFORMED = 400
    TIMEOUT = 408
    BODY_TOO_LONG = 413
    HEADERS_TOO_LONG = 431
    NO_MEMORY = 503


class BadRequest(Exception):
    """The received bytes are not a request that can be served."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.name)
        self.fault = fault


@dataclass(slots=True, eq=False)
class _Connection:
    """The state of one connection."""

    stream: trio.abc.Stream
    http: h11.Connection
    #: Cancels the wait for the next request; None during a request.
    idle_scope: trio.CancelScope | None = None
    idle_since: float = 0.0
    requests: int = field(default=0)
    #: Method of the request that was read last.
    method: str = ""
    #: When the request in progress was read in full; None before that.
    read_at: float | None = None
    #: Part of the memory budget that the body of the request in progress takes.
    share: MemoryShare | None = None
    #: Whether a request was refused before it was read to its end.
    unread: bool = False
    #: Whether the client disconnected while its request was handled.
    gone: bool = False


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
        self._connections: set[_Connection] = set()
        self._closing = False
        self.in_progress = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def list_read_times(self) -> list[float]:
        """Return when the requests in progress were read in full, in trio's time."""
        times = (connection.read_at for connection in self._connections)
        return [time for time in times if time is not None]

    def announce_stop(self) -> None:
        """Ask clients to close their connections, by a header on each later reply."""
        self._closing = True

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
        connection = _Connection(stream, http)
        self._connections.add(connection)
        try:
            while await self._serve_one(connection):
                connection.requests += 1
            if connection.unread:
                await _discard_input(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            self._on_disconnect()
        except trio.TooSlowError:
            # The client doesn't read. Its reply takes memory as long as it is sent.
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

    async def _serve_one(self, connection: _Connection) -> bool:
        """Serve one request; return whether another may follow."""
        if not await self._wait_for_bytes(connection):
            return False
        self.in_progress += 1
        try:
            try:
                request = await self._read_request(connection)
            except BadRequest as error:
                connection.unread = True
                await self._send(connection, self._on_fault(error.fault), close=True)
                return False
            if request is None:
                self._on_disconnect()
                return False
            connection.read_at = trio.current_time()
            reply = await self._run_handler(connection, request)
            if reply is None:
                self._on_disconnect()
                return False
            await self._send(connection, reply, close=self._closing)
        finally:
            connection.read_at = connection.share = None
            self.in_progress -= 1
        return self._prepare_next(connection)

    async def _run_handler(
        self, connection: _Connection, request: HttpRequest
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
        self, connection: _Connection, scope: trio.CancelScope
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

    async def _wait_for_bytes(self, connection: _Connection) -> bool:
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

    async def _read_request(self, connection: _Connection) -> HttpRequest | None:
        """Read one request; None if the client disconnected before its end."""
        with trio.move_on_after(self.limits.read_time.total_seconds()):
            try:
                return await self._collect(connection)
            except BodyTooLong:
                raise BadRequest(Fault.BODY_TOO_LONG) from None
            except NoMemory:
                raise BadRequest(Fault.NO_MEMORY) from None
            except h11.RemoteProtocolError as error:
                raise BadRequest(_find_fault(error)) from None
        raise BadRequest(Fault.TIMEOUT)

    async def _collect(self, connection: _Connection) -> HttpRequest | None:
        """Collect the parts of one request; None if the client disconnected."""
        head: h11.Request | None = None
        body = BodyBuffer(self.limits.body, self._budget)
        connection.share = body.share
        while True:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                if connection.http.they_are_waiting_for_100_continue:
                    await self._send_continue(connection)
                data = await connection.stream.receive_some(RECEIVE_SIZE)
                if not data:
                    return None
                connection.http.receive_data(data)
            elif type(event) is h11.Request:
                head = event
                if has_ambiguous_end(head.headers):
                    raise BadRequest(Fault.MALFORMED)
            elif type(event) is h11.Data:
                await body.append(event.data)
            elif type(event) is h11.EndOfMessage:
                break
            else:
                return None
        assert head is not None
        connection.method = method = head.method.decode("ascii")
        target = head.target.decode("latin-1")
        return HttpRequest(method, target, tuple(head.headers), body.finish())

    async def _send_continue(self, connection: _Connection) -> None:
        head = h11.InformationalResponse(status_code=100, headers=[])
        await connection.stream.send_all(connection.http.send(head) or b"")

    async def _send(
        self, connection: _Connection, reply: HttpReply, close: bool
    ) -> None:
        http = connection.http
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = list(reply.headers)
        if reply.status not in _BODYLESS_STATUSES:
            headers.append((b"content-length", str(len(reply.body)).encode()))
        has_body = connection.method != "HEAD" and (
            reply.status not in _BODYLESS_STATUSES
        )
        body = reply.body if has_body else b""
        # A client may take a success for the start of a tunnel, so nothing follows it.
        if close or connection.method == CONNECT:
            headers.append((b"connection", b"close"))
        data = http.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        # After a success to CONNECT, h11 expects nothing more.
        if http.our_state is not h11.SWITCHED_PROTOCOL:
            if body:
                http.send(h11.Data(data=body))
            http.send(h11.EndOfMessage())
        with trio.fail_after(self.limits.send_time.total_seconds()):
            for part in join_parts(data, body):
                await connection.stream.send_all(part)

    def _prepare_next(self, connection: _Connection) -> bool:
        http = connection.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True


async def _discard_input(stream: trio.abc.Stream) -> None:
    """Read what a client still sends of a refused request, for a short time.

    A connection that is closed with unread input is reset, and the client may lose the
    reply.
    """
    with trio.move_on_after(DISCARD_TIMEOUT.total_seconds()):
        if isinstance(stream, trio.abc.HalfCloseableStream):
            await stream.send_eof()
        while await stream.receive_some(RECEIVE_SIZE):
            pass


def has_ambiguous_end(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a request states its length in two ways (RFC 9112, 6.1)."""
    names = {name for name, _ in headers}
    return b"transfer-encoding" in names and b"content-length" in names


def _find_fault(error: h11.RemoteProtocolError) -> Fault:
    if error.error_status_hint == Fault.HEADERS_TOO_LONG.value:
        return Fault.HEADERS_TOO_LONG
    return Fault.MALFORMED
