"""Leafs that answer with bytes of the test's own, sound or not."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from functools import partial

import trio

from walkcart.platform.tests.processworld import ProcessWorld
from walkcart.wire.http import RECEIVE_SIZE

#: Seconds between the pieces of a slow reply.
DRIP_INTERVAL = 0.02
HEAD = b"HTTP/1.1 200 OK\r\n"
_REQUEST_ID = re.compile(rb"(?im)^x-request-id: *(.*?)\r$")


@dataclass(frozen=True, slots=True)
class Endless:
    """A reply that doesn't end.

    Args:
        start: bytes that come once.
        piece: bytes that are repeated until the connection is closed.
        slow: whether the pieces drip.
    """

    start: bytes
    piece: bytes
    slow: bool = False

    def pieces(self) -> Iterator[bytes]:
        """Yield the bytes of the reply, in portions."""
        yield self.start
        count = 1 if self.slow else max(1, RECEIVE_SIZE // len(self.piece))
        while True:
            yield self.piece * count


def find_request_id(request: bytes) -> bytes:
    """Return the id in the head of a request."""
    found = _REQUEST_ID.search(request)
    return b"" if found is None else found[1]


def make_stamped_head(request: bytes, stamp: bytes = b"stamp") -> bytes:
    """Return the head of a proper reply to a request, without its framing."""
    id = find_request_id(request)
    return HEAD + b"x-request-id: %b\r\nx-response-stamp: %b\r\n" % (id, stamp)


#: Answers one request over a stream; the connection is closed if it returns False.
Answer = Callable[[trio.abc.Stream, bytes], Awaitable[bool]]


def answer_endlessly(reply: Endless) -> Answer:
    """Return an answer that goes on until the connection is closed."""

    async def answer(stream: trio.abc.Stream, request: bytes) -> bool:
        for piece in reply.pieces():
            await stream.send_all(piece)
            if reply.slow:
                await trio.sleep(DRIP_INTERVAL)
        return False

    return answer


def answer_with(make: Callable[[bytes], bytes]) -> Answer:
    """Return an answer that `make` makes from the request."""

    async def answer(stream: trio.abc.Stream, request: bytes) -> bool:
        await stream.send_all(make(request))
        return True

    return answer


async def start_raw_leaf(
    world: ProcessWorld,
    id: str,
    service: str,
    answer: Answer,
    data_centre: str = "north-a",
) -> None:
    """Start a leaf that reads heads of requests and answers with `answer`."""

    async def serve(stream: trio.abc.Stream) -> None:
        try:
            data = b""
            while piece := await stream.receive_some(RECEIVE_SIZE):
                data += piece
                if b"\r\n\r\n" in data:
                    if not await answer(stream, data):
                        return
                    data = b""
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    listeners = await world.nursery.start(
        partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    port = listeners[0].socket.getsockname()[1]
    world.add_entry(id, service, f"127.0.0.1:{port}", data_centre)
