"""The client side of HTTP/1.1 on h11: one connection, one exchange at a time.

A connection is used again only after its last reply was read to the end, so that a
reply can't be taken for that of another request.

References:
    RFC 9112, HTTP/1.1.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
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
from walkcart.wire.joinedchunks import count_pieces, use_joined_chunks
from walkcart.wire.linearheaders import use_linear_header_pattern
from walkcart.wire.network import is_quiet

use_linear_header_pattern()
use_joined_chunks()

#: Largest number of bytes that are read from a stream at once.
RECEIVE_SIZE = 65536
#: Largest head of a request or reply, in bytes.
MAX_HEADER_BYTES = 32768
#: Largest number of replies to earlier exchanges that are skipped; a leaf that sends
#: more is faulty, and its connection is closed.
MAX_STRAY_REPLIES = 2
#: Largest number of interim replies (1xx) to one request.
MAX_INTERIM_REPLIES = 16
#: Methods whose requests carry a length even without a body (RFC 9110, 8.6).
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
#: Method that asks a proxy for a tunnel. Here it is served like any other method.
CONNECT = "CONNECT"

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Args:
        method: method, such as ``POST``.
        target: path, with the query if there is one.
        headers: headers with lower-case names, without framing headers.
        body: body of the request.
    """

    method: str
    target: str
    # Left out of the repr: headers contain keys, and callers' data is private.
    headers: Headers = field(default=(), repr=False)
    body: bytes = field(default=b"", repr=False)

    def header(self, name: bytes) -> str | None:
        """Return the first header called `name`, or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply.

    Args:
        status: status code.
        headers: headers with lower-case names.
        body: body of the reply.
        share: part of a memory budget that the body takes; None if it takes none.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    share: MemoryShare | None = field(default=None, repr=False, compare=False)

    def header(self, name: bytes) -> str | None:
        """Return the first header called `name`, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the value of the first header called `name` as text, or None."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


class FailureKind(Enum):
    """Why an exchange failed."""

    CLOSED = "closed"
    GARBAGE = "garbage"
    TOO_LONG = "too long"
    NO_MEMORY = "no memory is left for the reply"


class ExchangeFailed(Exception):
    """An exchange ended without a complete reply.

    Args:
        kind: why it failed.
        sent: whether any byte of the request may have been sent.
    """

    def __init__(self, kind: FailureKind, sent: bool) -> None:
        super().__init__(kind.value)
        self.kind = kind
        self.sent = sent


#: Returns whether a reply belongs to the request that was sent.
Belongs = Callable[[HttpReply], bool]


class HttpConnection:
    """The client's end of one connection.

    Args:
        stream: stream to the server.
        host: value of the ``Host`` header for requests without one.
        body_limit: largest reply body that is accepted, in bytes.
        budget: limits the memory of the reply bodies of all connections together; None
            sets no limit.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        host: str,
        body_limit: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._stream = stream
        self._host = host.encode()
        self._body_limit = body_limit
        self._budget = budget
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    async def exchange(
        self, request: HttpRequest, belongs: Belongs | None = None
    ) -> HttpReply:
        """Send `request` and read its reply to the end.

        Args:
            request: request to send.
            belongs: distinguishes the reply to this request from late duplicates of
                earlier replies, which are skipped; None accepts the first reply.

        Raises:
            ExchangeFailed: no complete reply came; the connection can't be used again.
        """
        parts = self._encode(request)
        sent = False
        try:
            # A send that fails may already have sent some bytes.
            sent = True
            for part in parts:
                await self._stream.send_all(part)
            reply = await self._read_reply()
            strays = 0
            while belongs is not None and not belongs(reply):
                strays += 1
                if strays > MAX_STRAY_REPLIES:
                    raise ExchangeFailed(FailureKind.GARBAGE, sent)
                self._skip_reply(request)
                reply = await self._read_reply()
            return reply
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ExchangeFailed(FailureKind.CLOSED, sent) from None
        except BodyTooLong:
            raise ExchangeFailed(FailureKind.TOO_LONG, sent) from None
        except NoMemory:
            raise ExchangeFailed(FailureKind.NO_MEMORY, sent) from None
        except h11.RemoteProtocolError as error:
            kind = FailureKind.GARBAGE
            if self._h11.trailing_data[1] and not self._h11.trailing_data[0]:
                kind = FailureKind.CLOSED
            raise ExchangeFailed(kind, sent) from error

    def _skip_reply(self, request: HttpRequest) -> None:
        """Reset the parser after a reply to an earlier request and read on."""
        following, ended = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE:
            raise ExchangeFailed(FailureKind.CLOSED, True)
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._encode(request)
        if following:
            self._h11.receive_data(following)
        if ended:
            self._h11.receive_data(b"")

    def _encode(self, request: HttpRequest) -> list[bytes]:
        headers = list(request.headers)
        if find_header(request.headers, b"host") is None:
            headers.insert(0, (b"host", self._host))
        if request.body or request.method in _METHODS_WITH_BODY:
            headers.append((b"content-length", str(len(request.body)).encode()))
        if request.method != CONNECT:
            return _write_request(self._h11, request.method, request, headers)
        # For h11, a success is followed by a tunnel, and it reads no more. So the
        # parser is told another method. The server may expect a tunnel as well, so
        # the connection isn't used again.
        headers.append((b"connection", b"close"))
        _write_request(self._h11, "POST", request, headers)
        return _write_request(h11.Connection(h11.CLIENT), CONNECT, request, headers)

    async def _read_reply(self) -> HttpReply:
        body = BodyBuffer(self._body_limit, self._budget)
        reply: HttpReply | None = None
        try:
            reply = await self._collect_reply(body)
            return reply
        finally:
            if reply is None:
                # The parser's errors are in cycles with the frames that they passed.
                body.discard()

    async def _collect_reply(self, body: BodyBuffer) -> HttpReply:
        head: h11.Response | None = None
        interim = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._stream.receive_some(RECEIVE_SIZE))
            elif type(event) is h11.Response:
                head = event
            elif type(event) is h11.Data:
                await body.append(event.data, count_pieces(self._h11))
            elif type(event) is h11.EndOfMessage:
                break
            elif type(event) is h11.ConnectionClosed:
                raise ExchangeFailed(FailureKind.CLOSED, True)
            elif type(event) is h11.InformationalResponse and (
                interim < MAX_INTERIM_REPLIES
            ):
                interim += 1
            else:
                # Too many interim replies, or the parser reads no further, such as
                # after a switch of protocols.
                raise ExchangeFailed(FailureKind.GARBAGE, True)
        assert head is not None
        headers = tuple(head.headers)
        return HttpReply(head.status_code, headers, body.finish(), body.share)

    def is_quiet(self) -> bool:
        """Return whether nothing was received while the connection was idle.

        Unread bytes, or an end, mean that the server closed the connection or sent
        data that belongs to no request: it must not be used for another one.
        """
        return is_quiet(self._stream)

    def prepare_next(self) -> bool:
        """Prepare for the next exchange; return whether the connection allows one."""
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close the stream at once."""
        await trio.aclose_forcefully(self._stream)


def _write_request(
    parser: h11.Connection,
    method: str,
    request: HttpRequest,
    headers: list[tuple[bytes, bytes]],
) -> list[bytes]:
    """Return the bytes of a request, and have `parser` expect the reply to it."""
    head = h11.Request(method=method, target=request.target, headers=headers)
    data = parser.send(head) or b""
    if request.body:
        parser.send(h11.Data(data=request.body))
    parser.send(h11.EndOfMessage())
    return join_parts(data, request.body)
