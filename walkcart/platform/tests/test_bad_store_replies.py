"""Real processes, and a store whose replies can't be used for a while.

No process ends, requests are answered meanwhile, and later changes are in force.
"""

from __future__ import annotations

import json

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.test_bad_stored_values import DEEP, Fleet, make_content

#: Seconds for which the store replies in one way.
FAULT_SECONDS = 0.4
ITEM = {"tlsKey": "op/config", "revision": 1, "value": "", "lease": 0}


def make_reply(body: object = b"", status: int = 200, headers: bytes = b"") -> bytes:
    """Return the bytes of a reply with a length."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n" % (status, len(data))
    return head + headers + b"\r\n" + data


#: Replies to every call. They aren't in the protocol, hold values that can't be, or
#: tell nothing new.
BAD_REPLIES = {
    "garbage": b"\x00\xffgarbage\r\n\r\n" * 9,
    "nothing": b"",
    "status 100 only": b"HTTP/1.1 100 x\r\n\r\n" * 2000,
    "status 101": b"HTTP/1.1 101 x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nabc",
    "redirect": make_reply(status=302, headers=b"location: http://127.0.0.1:1/\r\n"),
    "status 204": b"HTTP/1.1 204 x\r\n\r\n",
    "status 299": make_reply(b"{}", 299),
    "status 304": b"HTTP/1.1 304 x\r\n\r\n",
    "status 404": make_reply(b"{}", 404),
    "status 410": make_reply(b"{}", 410),
    "status 412": make_reply(b"{}", 412),
    "status 999": make_reply(b"{}", 999),
    "status 1000": make_reply(b"{}", 1000),
    "no length": b"HTTP/1.1 200 x\r\n\r\n{",
    "two lengths": make_reply(b"{}", headers=b"content-length: 9\r\n"),
    "bad chunks": b"HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    "endless": b"HTTP/1.1 200 x\r\ncontent-length: 99999999\r\n\r\n" + b" " * (5 << 20),
    "long head": b"HTTP/1.1 200 x\r\nx-a: " + b"a" * 99999,
    "deep": make_reply(DEEP),
    "no json": make_reply(b"<html>"),
    "no utf-8": make_reply(
        b'{"items": [{"tlsKey": "\xff", "revision": 1}], "asOf": 9}'
    ),
    "list": make_reply([]),
    "null": make_reply(None),
    "bad base64": make_reply({"items": [ITEM | {"value": "%"}], "asOf": 9}),
    "negative revision": make_reply({"items": [ITEM | {"revision": -1}], "asOf": 9}),
    "huge revision": make_reply({"items": [], "events": [], "asOf": 2**64}),
    "endless pages": make_reply({"items": [ITEM], "truncated": True, "asOf": 9}),
    "empty pages": make_reply({"items": [], "truncated": True, "asOf": 9}),
    "old": make_reply({"events": [ITEM], "asOf": 1, "revision": 1}),
    "short lease": make_reply({"lease": 7, "ttlMs": 1}),
    "negative lease": make_reply({"lease": -7, "ttlMs": -1}),
    "long lease": make_reply({"lease": 2**63 - 1, "ttlMs": 2**63 - 1}),
    "huge lease": make_reply({"lease": 2**64, "ttlMs": 1e300}),
}


class FaultyStore:
    """Forwards to the store, or replies to each request with the same bytes."""

    def __init__(self, store: HostPort) -> None:
        self.store = store
        self.reply: bytes | None = None
        self._scopes: set[trio.CancelScope] = set()

    async def serve(self, stream: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await self._serve(stream)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._scopes.discard(scope)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            if self.reply is None:
                upstream = await trio.open_tcp_stream(self.store.host, self.store.port)
                async with upstream, trio.open_nursery() as nursery:
                    nursery.start_soon(forward, upstream, stream, nursery)
                    await forward(stream, upstream, nursery)
                return
            while await stream.receive_some(65536):
                await stream.send_all(self.reply)
                if b"content-length" not in self.reply:
                    return

    def set_reply(self, reply: bytes | None) -> None:
        """Reply with some bytes from now on; None forwards to the store again."""
        self.reply = reply
        for scope in list(self._scopes):
            scope.cancel()


async def forward(source, target, nursery):
    """Forward bytes until either end closes."""
    try:
        while data := await source.receive_some(65536):
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    nursery.cancel_scope.cancel()


def test_unusable_replies_of_the_store_end_no_process(tmp_path):
    async def run():
        async with open_processes(tmp_path) as world:
            faulty = FaultyStore(world.store_address)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            world.nursery.start_soon(trio.serve_listeners, faulty.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            world.store_address = HostPort("127.0.0.1", port)
            fleet = Fleet(world)
            await fleet.start()
            for name, reply in BAD_REPLIES.items():
                faulty.set_reply(reply)
                await trio.sleep(FAULT_SECONDS)
                await fleet.check_serving(name)
            faulty.set_reply(None)
            await fleet.check_unharmed()

    trio.run(run)


def test_start_waits_until_replies_of_the_store_can_be_used(tmp_path):
    async def run():
        async with open_processes(tmp_path) as world:
            faulty = FaultyStore(world.store_address)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            world.nursery.start_soon(trio.serve_listeners, faulty.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            world.store_address = HostPort("127.0.0.1", port)
            faulty.set_reply(make_reply(DEEP))
            fleet = Fleet(world)
            world.store.put("op/config", make_content(version=1))
            fleet.start_processes()
            for reply in BAD_REPLIES.values():
                faulty.set_reply(reply)
                await trio.sleep(FAULT_SECONDS / 2)
                fleet.check_no_ends()
            faulty.set_reply(None)
            await fleet.start_leaves()
            await fleet.wait_ready()
            await fleet.check_unharmed()

    trio.run(run)
