"""Requests and replies that are cut at any of their bytes are never taken as whole."""

from contextlib import suppress

import pytest
import trio
from trio.testing import memory_stream_pair

from walkcart.bench.harness import run_mocked
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpReply, HttpRequest
from walkcart.wire.server import HttpServer
from walkcart.wire.serverconnection import ServerLimits

BODY = b"r" * 20
STAMP = b"x-id: b\r\nx-mark: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + STAMP
LENGTH = HEAD + b"content-length: 20\r\n\r\n" + BODY
UNTIL_CLOSE = HEAD + b"\r\n"
LATE = LENGTH.replace(b"x-id: b", b"x-id: a")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
#: Replies that state their end.
REPLIES = {
    "length": LENGTH,
    "empty": HEAD + b"content-length: 0\r\n\r\n",
    "chunks": HEAD
    + b"transfer-encoding: chunked\r\n\r\n"
    + b"a\r\n%b\r\na;x=y\r\n%b\r\n0\r\nx-last: 1\r\n\r\n" % (BODY[:10], BODY[10:]),
    "no content": b"HTTP/1.1 204 No Content\r\n" + STAMP + b"\r\n",
    "bare line feeds": LENGTH.replace(b"\r\n", b"\n"),
    "old version": LENGTH.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "after interim replies": INTERIM + b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH,
    "after a late reply": LATE + LENGTH,
    "after a late reply and an interim one": LATE + INTERIM + LENGTH,
}


class ResetStream:
    """A stream whose peer resets the connection after some bytes."""

    def __init__(self, stream):
        self.stream = stream

    async def receive_some(self, size):
        data = await self.stream.receive_some(size)
        if not data:
            raise trio.BrokenResourceError
        return data

    def __getattr__(self, name):
        return getattr(self.stream, name)


def read_reply(data, reset=False, exchanges=0, size=None):
    """Return the reply that a client reads, or None if it finds none.

    Args:
        data: bytes that the server sends before it closes the connection.
        reset: whether the server resets it instead.
        exchanges: number of exchanges on the connection before this one.
        size: number of bytes that arrive at once; all of them if None.
    """

    async def run():
        ours, theirs = memory_stream_pair()
        connection = HttpConnection(ResetStream(ours) if reset else ours, "h", 1000)
        request = HttpRequest("GET", "/", ((b"x-id", b"b"),))

        async def serve():
            for _ in range(exchanges):
                await theirs.receive_some()
                await theirs.send_all(LENGTH)
            await theirs.receive_some()
            step = size or len(data) or 1
            for start in range(0, len(data), step):
                await theirs.send_all(data[start : start + step])
                await trio.testing.wait_all_tasks_blocked()
            await theirs.send_eof()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            for _ in range(exchanges):
                await connection.exchange(request)
                assert connection.prepare_next()
            try:
                return await connection.exchange(
                    request, lambda reply: reply.header(b"x-id") == "b"
                )
            except ExchangeFailed:
                return None
            finally:
                nursery.cancel_scope.cancel()

    return run_mocked(run)


@pytest.mark.parametrize("size", [None, 1])
@pytest.mark.parametrize("exchanges", [0, 2])
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("kind", REPLIES)
def test_reply_that_is_cut_at_any_byte_is_no_reply(kind, reset, exchanges, size):
    # Guards against successes with short bodies from leafs that stop within a head.
    data = REPLIES[kind]
    for end in range(len(data)):
        assert read_reply(data[:end], reset, exchanges, size) is None, data[:end]
    reply = read_reply(data, reset, exchanges, size)
    assert reply.body == (b"" if kind in ("empty", "no content") else BODY)


@pytest.mark.parametrize("exchanges", [0, 2])
def test_reply_until_close_needs_its_whole_head_and_no_reset(exchanges):
    # Guards against a head that a close ends, as it ends such a body.
    for end in range(len(UNTIL_CLOSE)):
        assert read_reply(UNTIL_CLOSE[:end], False, exchanges) is None
    for end in range(len(UNTIL_CLOSE) + len(BODY)):
        data = (UNTIL_CLOSE + BODY)[:end]
        assert read_reply(data, True, exchanges) is None, data
    reply = read_reply(UNTIL_CLOSE + BODY, False, exchanges)
    assert reply.body == BODY


def write_reply(reply, method, close):
    """Return the bytes that the server sends as a reply."""

    async def run():
        ours, theirs = memory_stream_pair()

        async def handle(request):
            return reply

        server = HttpServer(handle, ServerLimits(), lambda fault: HttpReply(400))
        if close:
            server.announce_stop()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, ours)
            await theirs.send_all(b"%b / HTTP/1.1\r\nhost: h\r\n\r\n" % method.encode())
            await theirs.send_eof()
            data = b""
            while piece := await theirs.receive_some():
                data += piece
            return data

    return run_mocked(run)


@pytest.mark.parametrize("close", [False, True])
@pytest.mark.parametrize("status", [200, 404, 503])
@pytest.mark.parametrize("body", [b"", BODY])
def test_own_reply_that_is_cut_at_any_byte_is_no_reply(status, body, close):
    # Guards against replies to callers that seem whole though the instance stopped.
    headers = ((b"x-id", b"b"), (b"x-mark", b"s"))
    data = write_reply(HttpReply(status, headers, body), "GET", close)
    for end in range(len(data)):
        for reset in (False, True):
            assert read_reply(data[:end], reset) is None, data[:end]
    reply = read_reply(data)
    assert (reply.status, reply.body) == (status, body)


def write_request(request):
    """Return the bytes that the client sends as a request."""

    async def run():
        ours, theirs = memory_stream_pair()
        connection = HttpConnection(ours, "h", 1000)
        async with trio.open_nursery() as nursery:

            async def send():
                with suppress(ExchangeFailed):
                    await connection.exchange(request)

            nursery.start_soon(send)
            await trio.testing.wait_all_tasks_blocked()
            await theirs.send_eof()
        await ours.aclose()
        data = b""
        while piece := await theirs.receive_some():
            data += piece
        return data

    return run_mocked(run)


def read_requests(data):
    """Return the requests that the server handles of what a client sent."""

    async def run():
        ours, theirs = memory_stream_pair()
        handled = []

        async def handle(request):
            handled.append(request)
            return HttpReply(200)

        server = HttpServer(handle, ServerLimits(), lambda fault: HttpReply(400))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, ours)
            if data:
                await theirs.send_all(data)
            await theirs.send_eof()
            while await theirs.receive_some():
                pass
        return handled

    return run_mocked(run)


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE", "CONNECT"])
@pytest.mark.parametrize("body", [b"", BODY, b"r" * 20_000])
def test_own_request_that_is_cut_at_any_byte_is_no_request(method, body):
    # Guards against leafs that run what an instance has sent in part.
    request = HttpRequest(method, "/a?b", ((b"x-id", b"b"),), body)
    data = write_request(request)
    assert data.endswith(b"\r\n\r\n" + body)
    for end in [*range(len(data) - len(body)), len(data) - 1]:
        assert read_requests(data[:end]) == [], data[:end]
    (found,) = read_requests(data)
    assert (found.method, found.target, found.body) == (method, "/a?b", body)


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc",
        b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\nx-last: 1\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: h\r\n\r\n",
        b"GET / HTTP/1.0\r\nhost: h\r\n\r\n",
    ],
)
def test_request_of_a_caller_that_is_cut_at_any_byte_is_not_handled(data):
    # Guards against requests that are forwarded though their caller stopped.
    for end in range(len(data)):
        assert read_requests(data[:end]) == [], data[:end]
    assert len(read_requests(data)) == 1
