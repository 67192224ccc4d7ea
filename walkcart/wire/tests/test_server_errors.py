"""Unexpected errors and malformed requests end a connection, not the server."""

import pytest
import trio
from trio.testing import lockstep_stream_pair, memory_stream_pair

from walkcart.bench.harness import run_mocked
from walkcart.wire.bodies import MAX_PIECES
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.server import HttpServer, ServerLimits


async def fail(request: HttpRequest) -> HttpReply:
    raise KeyError("a fault")


def test_an_unexpected_error_is_reported_and_ends_its_connection():
    async def run():
        told = []
        server = HttpServer(
            fail,
            ServerLimits(),
            lambda fault: HttpReply(fault.value),
            cancel_on_disconnect=True,
            on_error=told.append,
        )
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            await ours.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            rest = await ours.receive_some()
        return rest, len(told), server.connections

    assert run_mocked(run) == (b"", 1, 0)


def test_a_request_with_both_framings_is_refused_and_its_connection_closed():
    async def run():
        async def answer(request):
            return HttpReply(200)

        server = HttpServer(
            answer, ServerLimits(), lambda fault: HttpReply(fault.value)
        )
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            await ours.send_all(
                b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            )
            received = b""
            while data := await ours.receive_some():
                received += data
        return received

    received = run_mocked(run).lower()
    assert received.startswith(b"http/1.1 400")
    assert b"connection: close" in received


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204)])
def test_a_reply_that_may_have_no_body_is_sent_without_the_handlers(method, status):
    async def run():
        async def answer(request):
            return HttpReply(status, ((b"x-kind", b"answer"),), b"body")

        server = HttpServer(
            answer, ServerLimits(), lambda fault: HttpReply(fault.value)
        )
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            head = f"{method} / HTTP/1.1\r\nhost: x\r\n\r\n".encode()
            replies = []
            for _ in range(2):
                await ours.send_all(head)
                replies.append(await ours.receive_some())
            await ours.aclose()
        return replies

    for reply in run_mocked(run):
        assert reply.startswith(b"HTTP/1.1 %d" % status)
        assert reply.partition(b"\r\n\r\n")[2] == b""


def test_a_body_in_too_many_pieces_is_refused():
    async def run():
        async def answer(request):
            return HttpReply(200)

        server = HttpServer(
            answer, ServerLimits(), lambda fault: HttpReply(fault.value)
        )
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            await ours.send_all(
                b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
                + b"1\r\na\r\n" * (MAX_PIECES + 1)
            )
            return await ours.receive_some()

    assert run_mocked(run).startswith(b"HTTP/1.1 413")


def test_a_client_that_doesnt_read_its_reply_is_disconnected():
    async def run():
        gone = []

        async def answer(request):
            return HttpReply(200, body=b"body")

        server = HttpServer(
            answer,
            ServerLimits(),
            lambda fault: HttpReply(fault.value),
            lambda: gone.append(True),
        )
        # A send over these streams waits until it is received.
        ours, theirs = lockstep_stream_pair()
        with trio.fail_after(120):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, theirs)
                await ours.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        return gone, server.connections

    assert run_mocked(run) == ([True], 0)


def test_a_fault_after_a_head_request_is_answered_with_its_body():
    async def run():
        async def answer(request):
            return HttpReply(200)

        server = HttpServer(
            answer, ServerLimits(), lambda fault: HttpReply(fault.value, body=b"why")
        )
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            await ours.send_all(b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n")
            await ours.receive_some()
            await ours.send_all(b"no request\r\n\r\n")
            reply = await ours.receive_some()
            await ours.aclose()
        return reply

    reply = run_mocked(run)
    assert reply.startswith(b"HTTP/1.1 400")
    assert reply.endswith(b"\r\n\r\nwhy")
