"""One connection of the server: reads requests and sends replies.

See Also:
    `walkcart.wire.server`, which serves connections.
"""

from __future__ import annotations

from collections.abc import Iterable
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
from walkcart.wire.joinedchunks import count_pieces

#: Statuses whose replies have neither a body nor a length (RFC 9110, 15.3.5, 15.4.5).
_BODYLESS_STATUSES = frozenset({204, 304})
#: Maximum time for which the rest of a refused request is read.
DISCARD_TIMEOUT = timedelta(seconds=1)


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
class ServerConnection:
    """The state of one connection."""

    stream: trio.abc.Stream
    http: h11.Connection
    #: Cancels the wait for the next request; None during a request.
    idle_scope: trio.CancelScope | None = None
    idle_since: float = 0.0
    requests: int = field(default=0)
    #: Method of the request in progress; empty before its head was read.
    method: str = ""
    #: When the request in progress was read in full; None before that.
    read_at: float | None = None
    #: Part of the memory budget that the body of the request in progress takes.
    share: MemoryShare | None = None
    #: Whether a request was refused before it was read to its end.
    unread: bool = False
    #: Whether the client disconnected while its request was handled.
    gone: bool = False
    #: Ends the reading of a request; None while none is read.
    read_scope: trio.CancelScope | None = None

    def end_reading_at(self, time: float) -> None:
        """Reject the request that is being read if it isn't complete at a time."""
        if self.read_scope is not None:
            self.read_scope.deadline = min(self.read_scope.deadline, time)

    async def read_request(
        self,
        limits: ServerLimits,
        budget: MemoryBudget | None,
        read_by: float = float("inf"),
    ) -> HttpRequest | None:
        """Read one request; None if the client disconnected before its end.

        Args:
            limits: limits on the request.
            budget: limits the memory of all requests; None sets no limit.
            read_by: when it is rejected if it isn't complete, in trio's time.

        Raises:
            BadRequest: there is no request that can be served.
        """
        self.method = ""
        read_by = min(read_by, trio.current_time() + limits.read_time.total_seconds())
        with trio.move_on_at(read_by) as self.read_scope:
            body = BodyBuffer(limits.body, budget)
            request: HttpRequest | None = None
            try:
                request = await self._collect(body)
                return request
            except BodyTooLong:
                raise BadRequest(Fault.BODY_TOO_LONG) from None
            except NoMemory:
                raise BadRequest(Fault.NO_MEMORY) from None
            except h11.RemoteProtocolError as error:
                raise BadRequest(_find_fault(error)) from None
            finally:
                self.read_scope = None
                if request is None:
                    body.discard()
        raise BadRequest(Fault.TIMEOUT)

    async def _collect(self, body: BodyBuffer) -> HttpRequest | None:
        """Collect the parts of one request; None if the client disconnected."""
        head: h11.Request | None = None
        head_size = 0
        self.share = body.share
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                data = await self.stream.receive_some(RECEIVE_SIZE)
                if not data:
                    return None
                self.http.receive_data(data)
                if head is None:
                    head_size += len(data)
                    body.record_head(head_size)
            elif type(event) is h11.Request:
                head = event
                self.method = head.method.decode("ascii")
                if has_ambiguous_end(head.headers):
                    raise BadRequest(Fault.MALFORMED)
            elif type(event) is h11.Data:
                await body.append(event.data, count_pieces(self.http))
            elif type(event) is h11.EndOfMessage:
                break
            else:
                return None
        assert head is not None
        target = head.target.decode("latin-1")
        return HttpRequest(self.method, target, tuple(head.headers), body.finish())

    async def _send_continue(self) -> None:
        head = h11.InformationalResponse(status_code=100, headers=[])
        await self.stream.send_all(self.http.send(head) or b"")

    async def send(self, reply: HttpReply, close: bool, limits: ServerLimits) -> None:
        """Send a reply.

        Args:
            reply: the reply.
            close: whether it is the last one on this connection.
            limits: limits on the connection.

        Raises:
            trio.BrokenResourceError: the connection ended, or the client doesn't take
                the reply, which takes memory as long as it is sent.
        """
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = list(reply.headers)
        bodyless = reply.status in _BODYLESS_STATUSES
        if not bodyless:
            headers.append((b"content-length", str(len(reply.body)).encode()))
        body = b"" if bodyless or self.method == "HEAD" else reply.body
        # A client may take a success for the start of a tunnel, so nothing follows it.
        if close or self.method == CONNECT:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        data = self.http.send(head) or b""
        # After a success to CONNECT, h11 expects nothing more.
        if self.http.our_state is not h11.SWITCHED_PROTOCOL:
            if body:
                self.http.send(h11.Data(data=body))
            self.http.send(h11.EndOfMessage())
        with trio.move_on_after(limits.send_time.total_seconds()) as scope:
            for part in join_parts(data, body):
                await self.stream.send_all(part)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client doesn't take its reply")

    def prepare_next(self) -> bool:
        """Prepare for the next request; return whether the connection allows one."""
        http = self.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True

    async def discard_input(self) -> None:
        """Read what the client still sends of a refused request, for a short time.

        A connection that is closed with unread input is reset, and the client may lose
        the reply.
        """
        with trio.move_on_after(DISCARD_TIMEOUT.total_seconds()):
            if isinstance(self.stream, trio.abc.HalfCloseableStream):
                await self.stream.send_eof()
            while await self.stream.receive_some(RECEIVE_SIZE):
                pass


def has_ambiguous_end(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a request states its length in two ways (RFC 9112, 6.1)."""
    names = {name for name, _ in headers}
    return b"transfer-encoding" in names and b"content-length" in names


def _find_fault(error: h11.RemoteProtocolError) -> Fault:
    if error.error_status_hint == Fault.HEADERS_TOO_LONG.value:
        return Fault.HEADERS_TOO_LONG
    return Fault.MALFORMED
