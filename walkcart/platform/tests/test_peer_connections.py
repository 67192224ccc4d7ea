"""The number of connections to a listener for peers."""

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.soakinput import PEER_HANDSHAKE
from walkcart.wire import peers
from walkcart.wire.peers import NngTransport

ADDRESS = HostPort("127.0.0.1", 0)
GREETING_BYTES = len(PEER_HANDSHAKE)


async def connect(address):
    """Return a connection on which both ends have greeted."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(PEER_HANDSHAKE)
    received = b""
    while len(received) < GREETING_BYTES:
        received += await stream.receive_some(GREETING_BYTES)
    return stream


async def wait_until(condition):
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.01)


def test_connections_that_ended_do_not_count(monkeypatch):
    monkeypatch.setattr(peers, "MAX_CONNECTIONS", 20)
    reports = []

    async def run():
        transport = NngTransport(lambda: reports.append(1))
        listener = await transport.listen(ADDRESS)
        for _ in range(60):
            await (await connect(listener.address)).aclose()
            await trio.sleep(0.005)
        await wait_until(lambda: not listener._pipes)
        await listener.close()

    trio.run(run)
    assert reports == []


def test_oldest_connection_is_closed_for_each_one_beyond_the_limit(monkeypatch):
    monkeypatch.setattr(peers, "MAX_CONNECTIONS", 20)
    reports = []

    async def run():
        transport = NngTransport(lambda: reports.append(1))
        listener = await transport.listen(ADDRESS)
        old = []
        for number in range(20):
            old.append(await connect(listener.address))
            await wait_until(lambda number=number: len(listener._pipes) > number)
        sender = await transport.dial(listener.address)
        await sender.wait_connected()
        await sender.send(b"message")
        with trio.fail_after(10):
            received = await listener.receive()
            ended = await old[0].receive_some(1)
        with trio.move_on_after(0.2) as scope:
            await old[1].receive_some(1)
        await sender.close()
        await listener.close()
        return received, ended, scope.cancelled_caught

    assert trio.run(run) == (b"message", b"", True)
    assert reports == [1]
