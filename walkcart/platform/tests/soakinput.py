"""Bad input for the daemons of a soak test: stored values, bytes of callers and peers.

Each value is of a kind that once ended or hung a process, or resembles one that did.
"""

from __future__ import annotations

from contextlib import suppress
from random import Random
from zlib import crc32

import msgspec
import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import HOST
from walkcart.wire.network import TcpNetwork

#: Nesting that no decoder follows.
DEPTH = 2000
DEEP = b"[" * DEPTH + b"]" * DEPTH
#: The first bytes of a connection to a peer's port: the handshake of nng for "pair".
PEER_HANDSHAKE = b"\x00SP\x00\x00\x11\x00\x00"
#: What precedes each message of a pair: the number of sockets that it passed.
PAIR_HEADER = b"\x00\x00\x00\x01"
#: Seconds for which bytes are sent on one connection at most.
SEND_SECONDS = 1.5
#: Maximum number of bytes sent on one connection.
MAX_SENT = 16 << 20

#: Bytes that are no value of any kind.
UNREADABLE = b"\xff\xfe\x00"
_ENTRY = (
    b'{"backend":"plain","address":"127.0.0.1:1","zone":"north-a","version":"v1",'
    b'"slots":2,"state":"ready","warmupLeftMs":0,"seq":1}'
)
#: Values that an entry of a leaf may not have. All name the service "plain".
BAD_ENTRIES = (
    b"",
    b"null",
    b"[]",
    b'{"backend":"plain","notes":' + DEEP + b"}",
    _ENTRY.replace(b'"warmupLeftMs":0', b'"warmupLeftMs":1e19'),
    _ENTRY.replace(b'"warmupLeftMs":0', b'"warmupLeftMs":1e400'),
    _ENTRY.replace(b'"warmupLeftMs":0', b'"warmupLeftMs":-1e19'),
    _ENTRY.replace(b'"slots":2', b'"slots":9223372036854775807'),
    _ENTRY.replace(b'"slots":2', b'"slots":-1'),
    _ENTRY.replace(b'"slots":2', b'"slots":"two"'),
    _ENTRY.replace(b'"seq":1', b'"seq":1,"born":1e300'),
    _ENTRY.replace(b'"seq":1', b'"seq":1,"born":-9223372036854775808'),
    _ENTRY.replace(b"127.0.0.1:1", b"nowhere"),
    _ENTRY.replace(b"127.0.0.1:1", b"127.0.0.1:70000"),
    _ENTRY.replace(b"127.0.0.1:1", b"::1%lo:99"),
    _ENTRY.replace(b"127.0.0.1:1", b"a" * 100_000 + b":1"),
    _ENTRY.replace(b"v1", b"\\ud800"),
    _ENTRY.replace(b"v1", b"\\u0000\\r\\nx: y"),
)

#: Ends of the last part of the key of an entry.
ENTRY_KEYS = ("bad", "bad\r\nx: y", "b\u00e4d", "bad/bad", "b" * 2000)

#: Values that no routing document may have.
BAD_DOCUMENTS = (
    b"",
    b"{}",
    b'{"version":1000000,"notes":' + DEEP + b"}",
    b'{"version":1e300,"routes":[],"services":[],"limits":{}}',
    b'{"version":1000000,"routes":[{"name":"all","timeoutMs":1e19}]}',
    b'{"version":0,"routes":[],"services":[],"limits":{"idleTimeoutMs":8e16}}',
    b'{"version":1000000,"routes":{"a":1},"services":7}',
    b'{"version":"x"',
)

#: Values below the prefix of the instances' keys that none of them writes.
BAD_SHARED_VALUES = (
    b"",
    b"\xff\x00",
    b'{"a":' + DEEP + b"}",
    b'{"name":"","started":"","data_centre":"","region":"","peer_address":"x:y"}',
    b'{"name":"ghost","started":"1","data_centre":"north-a","region":"north",'
    b'"peer_address":"127.0.0.1:9","cores":1e308}',
    b'{"name":"ghost","started":"1","data_centre":"north-a","region":"north",'
    b'"peer_address":"nowhere:99999999999","cores":-1}',
    b"[" + b"9" * 5000 + b"]",
)
SHARED_PREFIXES = (
    "walkcart/",
    "walkcart/instances/",
    "walkcart/cold/",
    "walkcart/quarantine/",
    "walkcart/quota/",
    "walkcart/unknown/",
)

_HEAD = b"Host: " + HOST.encode() + b"\r\nX-Request-Id: bad\r\n"
#: What callers, balancers or scrapers may send that is no proper request.
BAD_REQUESTS = (
    b"CONNECT /one/x HTTP/1.1\r\n" + _HEAD + b"\r\n",
    b"CONNECT " + HOST.encode() + b":443 HTTP/1.1\r\n" + _HEAD + b"\r\n",
    b"GET /one/x HTTP/1.1\r\n" + _HEAD + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
    b"GET /one/x HTTP/1.1\r\n" + _HEAD + b"Content-Length: 100\r\n\r\nhalf",
    b"GET /one/x HTTP/1.1\r\n" + _HEAD + b"Content-Length: 1" + b"0" * 30 + b"\r\n\r\n",
    b"POST /one/x HTTP/1.1\r\n" + _HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /one/x HTTP/1.1\r\n" + _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"ffffffffffffffff\r\n",
    b"POST /one/x HTTP/1.1\r\n" + _HEAD + b"Expect: 100-continue\r\n"
    b"Content-Length: 5\r\n\r\n",
    b"GET /one/x HTTP/1.1\r\n" + _HEAD + b"X-Deadline-Ms: 1" + b"0" * 400 + b"\r\n\r\n",
    b"GET /one/x HTTP/1.1\r\n" + _HEAD + b"X-Deadline-Ms: nan\r\n\r\n",
    b"GET /one/\xff\xfe HTTP/1.1\r\n" + _HEAD + b"\r\n",
    b"GET http://[::1/x HTTP/1.1\r\n" + _HEAD + b"\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /one/x HTTP/1.1\r\n" + _HEAD + b"\r\n" * 1 + b"\x00" * 5000,
    b"\r\n" * 5000,
    b"\x00" * 5000,
)


def make_envelope(content: object) -> bytes:
    """Return a message to a peer with a valid checksum."""
    data = msgspec.msgpack.encode(content)
    return b"\xc1" + crc32(data).to_bytes(4, "big") + data


def frame(data: bytes, length: int | None = None) -> bytes:
    """Return a frame of nng; its stated length may differ from the actual one."""
    message = PAIR_HEADER + data
    return (len(message) if length is None else length).to_bytes(8, "big") + message


def _envelope(
    messages: list,
    sender: str = "ghost",
    address: str = "127.0.0.1:9",
    life: str = "f00d",
    sent_at: float = 1e300,
) -> bytes:
    return make_envelope([sender, 0, address, 0, messages, life, sent_at, "", 0.0])


_INFINITY, _NAN = float("inf"), float("nan")
_HUGE = (1 << 63) - 1
_BAD_MESSAGES = (
    ["QGt", 1, _HUGE, _INFINITY, -_INFINITY, _NAN],
    ["QGt", 1, -5, -1e308, _NAN, 1e308, [[_HUGE, _NAN]]],
    ["QAk", 1, _HUGE, "team", -_HUGE, _HUGE, _NAN, _INFINITY, [[-1, 1e308]]],
    ["QHr", _HUGE, "x" * 10_000, -_HUGE],
    ["QTr", -_HUGE, _HUGE],
    ["RSe", {"servers/": _HUGE, "": -_HUGE}],
    ["RCy", "servers/", _HUGE, b"\xff" * 100, [_NAN, -_INFINITY]],
    ["RCs", "servers/", 0, _HUGE, b"", [1e308, 1e308]],
    ["RCt", {"servers/": [_HUGE, -_HUGE, _NAN]}],
    ["DCl", "nobody"],
)
#: Bytes that other programs may send to the port for peers.
BAD_PEER_BYTES = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00" * 5000,
    b"\x00SP\x00",
    PEER_HANDSHAKE.replace(b"\x11", b"\x50") + frame(b"x"),
    PEER_HANDSHAKE + (2).to_bytes(8, "big") + b"xx",
    PEER_HANDSHAKE + (8).to_bytes(8, "big") + b"\xff" * 8,
    PEER_HANDSHAKE + frame(b""),
    PEER_HANDSHAKE + frame(b"", 1 << 63),
    PEER_HANDSHAKE + frame(b"x" * 100, (4 << 20) + 1),
    PEER_HANDSHAKE + frame(b"x" * 100, 4 << 20),
    PEER_HANDSHAKE + frame(b"x" * 100),
    PEER_HANDSHAKE + frame(b"\x91" * 100_000),
    PEER_HANDSHAKE + b"".join(frame(_envelope([message])) for message in _BAD_MESSAGES),
    PEER_HANDSHAKE + frame(_envelope([["Gg"]], address="nowhere")),
    PEER_HANDSHAKE + frame(_envelope([["Gg"]], address="127.0.0.1:99999")),
    PEER_HANDSHAKE + frame(_envelope([["Gg"]], life="", sent_at=_NAN)),
    PEER_HANDSHAKE
    + b"".join(frame(_envelope([["Gg"]], f"ghost-{n}")) for n in range(500)),
)


async def send_bytes(address: HostPort, data: bytes, seconds: float) -> None:
    """Send bytes on a connection, and keep it open for a while."""
    with trio.move_on_after(seconds):
        try:
            async with await TcpNetwork().connect(address) as stream:
                await stream.send_all(data)
                while await stream.receive_some(65536):
                    pass
        except (OSError, trio.BrokenResourceError):
            return


async def send_endless(address: HostPort, head: bytes, chunk: bytes) -> None:
    """Send a head and then the same bytes again and again."""
    with trio.move_on_after(SEND_SECONDS):
        try:
            async with await TcpNetwork().connect(address) as stream:
                await stream.send_all(head)
                for _ in range(MAX_SENT // len(chunk)):
                    await stream.send_all(chunk)
        except (OSError, trio.BrokenResourceError):
            return


#: Replies of a leaf that never ends its head or body, or that speaks no HTTP: the
#: first bytes, and those that follow for as long as the connection is open.
BAD_REPLIES = (
    (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"x" * 8000 + b"\r\n"),
    (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 65536),
    (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b"x" * 65536),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", b"x" * 65536),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
    (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", b"x" * 100),
    (b"SSH-2.0-OpenSSH_9.0\r\n", b"\x00" * 65536),
    (b"\x16\x03\x03", b"\x00" * 65536),
)
#: Replies that are HTTP, or none at all, and that no request can be answered with.
USELESS_REPLIES = (
    (b"HTTP/1.1 999 \xff\xfe\r\n\r\n", b""),
    (
        b"HTTP/1.1 200 OK\r\nX-Server-Load: 9e999,-1,nan\r\nContent-Length: 0\r\n\r\n",
        b"",
    ),
    (b"", b""),
)


async def serve_bad_replies(
    random: Random,
    replies: tuple[tuple[bytes, bytes], ...],
    *,
    task_status: trio.TaskStatus[HostPort],
) -> None:
    """Serve as a leaf that answers every request with one of these replies."""
    network = TcpNetwork()
    listener = await network.listen(HostPort("127.0.0.1", 0))
    head, chunk = random.choice(replies)

    async def reply(stream: trio.SocketStream) -> None:
        try:
            async with stream:
                await stream.receive_some(65536)
                await stream.send_all(head)
                while chunk:
                    await stream.send_all(chunk)
                await trio.sleep_forever()
        except (OSError, trio.BrokenResourceError):
            return

    async with trio.open_nursery() as nursery:
        task_status.started(HostPort("127.0.0.1", network.port_of(listener)))
        await trio.serve_listeners(reply, [listener], handler_nursery=nursery)


async def serve_closing_peer(*, task_status: trio.TaskStatus[HostPort]) -> None:
    """Serve as a peer that greets and then closes each connection."""
    network = TcpNetwork()
    listener = await network.listen(HostPort("127.0.0.1", 0))

    async def greet(stream: trio.SocketStream) -> None:
        async with stream:
            with suppress(OSError, trio.BrokenResourceError):
                await stream.send_all(PEER_HANDSHAKE)
                await stream.receive_some(len(PEER_HANDSHAKE))

    async with trio.open_nursery() as nursery:
        task_status.started(HostPort("127.0.0.1", network.port_of(listener)))
        await trio.serve_listeners(greet, [listener], handler_nursery=nursery)
