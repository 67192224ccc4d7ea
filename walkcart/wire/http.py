"""The client side of HTTP/1.1 on h11: one connection, one exchange at a time.

A connection is used again only once its last reply was read to the end, so a
reply can't be taken for another request's.

References:
    RFC 9112, HTTP/1.1.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import h11
import trio

from walkcart.wire.network import is_quiet

RECEIVE_SIZE = 65536
HEADER_LIMIT = 32768
#: Replies of earlier exchanges that are read over before a connection is given up;
#: a leaf that sends more is at fault.
MOST_STRAYS = 2
#: Methods whose requests carry a length even without a body (RFC 9110, 8.6).
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request, whole.

    Args:
        method: as in ``POST``.
        target: the path, with a query if there is one.
        headers: names in small letters, without framing headers.
        body: the body's bytes.
    """

    method: str
    target: str
    # Not shown: headers hold keys, and what a caller sends is its own.
    headers: Headers = field(default=(), repr=False)
    body: bytes = field(default=b"", repr=False)

    def header(self, name: bytes) -> str | None:
        """Return the first header called `name`, or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A reply, whole.

    Args:
        status: the status code.
        headers: names in small letters.
        body: the body's bytes.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> str | None:
        """Return the first header called `name`, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first header called `name` as text, or None."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


class FailureKind(Enum):
    """What ended an exchange."""

    CLOSED = "closed"
    GARBAGE = "garbage"
    TOO_LONG = "too long"


class ExchangeFailed(Exception):
    """An exchange ended without a whole reply.

    Args:
        kind: what ended it.
        sent: whether any byte of the request may have left.
    """

    def __init__(self, kind: FailureKind, sent: bool) -> None:
        super().__init__(kind.value)
        self.kind = kind
        self.sent = sent


#: Says whether a reply is the one to the request that was sent.
Belongs = Callable[[HttpReply], bool]


class HttpConnection:
    """The client's end of one connection.

    Args:
        stream: the bytes.
        host: value of the ``Host`` header of requests that bring none.
        body_limit: longest reply body that is read, in bytes.
    """

    def __init__(self, stream: trio.abc.Stream, host: str, body_limit: int) -> None:
        self._stream = stream
        self._host = host.encode()
        self._body_limit = body_limit
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)

    async def exchange(
        self, request: HttpRequest, belongs: Belongs | None = None
    ) -> HttpReply:
        """Send `request` and read its reply to the end.

        Args:
            request: what to send.
            belongs: tells a late second reply to an earlier request, which is read
                over, from the reply to this one; None takes the first reply.

        Raises:
            ExchangeFailed: no whole reply came; the connection is of no more use.
        """
        data = self._encode(request)
        sent = False
        try:
            # A failing send may have put some bytes on the wire already.
            sent = True
            await self._stream.send_all(data)
            reply = await self._read_reply()
            strays = 0
            while belongs is not None and not belongs(reply):
                strays += 1
                if strays > MOST_STRAYS:
                    raise ExchangeFailed(FailureKind.GARBAGE, sent)
                self._expect_another(request)
                reply = await self._read_reply()
            return reply
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ExchangeFailed(FailureKind.CLOSED, sent) from None
        except h11.RemoteProtocolError as error:
            kind = FailureKind.GARBAGE
            if self._h11.trailing_data[1] and not self._h11.trailing_data[0]:
                kind = FailureKind.CLOSED
            raise ExchangeFailed(kind, sent) from error

    def _expect_another(self, request: HttpRequest) -> None:
        """Read on behind a reply of an earlier request, as if it hadn't come."""
        following, ended = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE:
            raise ExchangeFailed(FailureKind.CLOSED, True)
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)
        self._encode(request)
        if following:
            self._h11.receive_data(following)
        if ended:
            self._h11.receive_data(b"")

    def _encode(self, request: HttpRequest) -> bytes:
        headers = list(request.headers)
        if find_header(request.headers, b"host") is None:
            headers.insert(0, (b"host", self._host))
        if request.body or request.method in _METHODS_WITH_BODY:
            headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._h11.send(head) or b""
        if request.body:
            data += self._h11.send(h11.Data(data=request.body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")

    async def _read_reply(self) -> HttpReply:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._stream.receive_some(RECEIVE_SIZE))
            elif type(event) is h11.Response:
                head = event
            elif type(event) is h11.Data:
                size += len(event.data)
                if size > self._body_limit:
                    raise ExchangeFailed(FailureKind.TOO_LONG, True)
                chunks.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                break
            elif type(event) is h11.ConnectionClosed:
                raise ExchangeFailed(FailureKind.CLOSED, True)
        assert head is not None
        return HttpReply(head.status_code, tuple(head.headers), b"".join(chunks))

    def is_quiet(self) -> bool:
        """Return whether nothing came while the connection was idle.

        Bytes or an end that wait to be read mean that the server closed it or sent
        what belongs to no request: it must not carry another one.
        """
        return is_quiet(self._stream)

    def prepare_next(self) -> bool:
        """Make ready for the next exchange; return whether that can be."""
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close the stream at once."""
        await trio.aclose_forcefully(self._stream)
