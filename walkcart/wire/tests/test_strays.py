"""Stray replies, which belong to no request, on a client's connection."""

import pytest
import trio
from trio.testing import memory_stream_pair

from walkcart.bench.harness import run_mocked
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpRequest


def exchange(replies):
    """Send a request with id ``b`` while the server sends `replies` one by one."""

    async def run():
        ours, theirs = memory_stream_pair()
        connection = HttpConnection(ours, "host", 1000)

        async def serve():
            await theirs.receive_some()
            for data in replies:
                await theirs.send_all(data)
            await theirs.send_eof()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            request = HttpRequest("GET", "/", ((b"x-id", b"b"),))
            reply = await connection.exchange(
                request, lambda reply: reply.header(b"x-id") == "b"
            )
        return reply, connection.prepare_next()

    try:
        return run_mocked(run)
    except* ExchangeFailed as group:
        raise group.exceptions[0] from None


def make_reply(id, body=b"body"):
    head = f"HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_a_late_reply_to_an_earlier_request_is_skipped():
    reply, renewable = exchange([make_reply("a"), make_reply("b", b"ours")])
    assert reply.body == b"ours"
    assert renewable


def test_a_late_reply_in_the_same_chunk_is_skipped():
    reply, _ = exchange([make_reply("a") + make_reply("b", b"ours")])
    assert reply.body == b"ours"


def test_bytes_after_the_reply_end_the_connection():
    reply, renewable = exchange([make_reply("b", b"ours") + make_reply("b", b"extra")])
    assert reply.body == b"ours"
    assert not renewable


def test_stray_replies_alone_fail_the_exchange():
    with pytest.raises(ExchangeFailed):
        exchange([make_reply("a"), make_reply("c"), make_reply("d")])


def test_a_truncated_reply_fails_the_exchange():
    with pytest.raises(ExchangeFailed):
        exchange([make_reply("b", b"longer")[:-2]])
