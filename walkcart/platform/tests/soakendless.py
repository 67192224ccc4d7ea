"""Leaves of a soak test that send without end, until their callers close."""

from __future__ import annotations

from contextlib import suppress

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakenvironment import LONE_SERVICE, SHARDS, make_entry
from walkcart.platform.tests.soakinput import BAD_REPLIES
from walkcart.wire.network import TcpNetwork

#: Longest time for which a daemon may read a reply without end, in seconds: the longest
#: pause of a process and the deadline of a request are shorter.
MAX_READING = 20.0


async def serve_endless_replies(
    reply: tuple[bytes, bytes],
    streams: set[trio.SocketStream],
    *,
    task_status: trio.TaskStatus[HostPort],
) -> None:
    """Serve as a leaf that sends until its callers close their connections.

    Args:
        reply: the first bytes, and those that follow without end.
        streams: the connections on which it sends.
        task_status: gets the address.
    """
    network = TcpNetwork()
    listener = await network.listen(HostPort("127.0.0.1", 0))
    head, chunk = reply

    async def send(stream: trio.SocketStream) -> None:
        with suppress(OSError, trio.BrokenResourceError):
            async with stream:
                await stream.receive_some(65536)
                streams.add(stream)
                try:
                    await stream.send_all(head)
                    while True:
                        await stream.send_all(chunk)
                finally:
                    streams.discard(stream)

    async with trio.open_nursery() as nursery:
        task_status.started(HostPort("127.0.0.1", network.port_of(listener)))
        await trio.serve_listeners(send, [listener], handler_nursery=nursery)


async def add_endless_leafs(soaked: Soaked, name: str, duration: float) -> None:
    """Add a leaf to each service that sends until its callers close.

    Their entries go after the given time, and they themselves once nobody reads.
    """
    services = [LONE_SERVICE, "plain", *(f"shard-{number}" for number in range(SHARDS))]
    streams: set[trio.SocketStream] = set()
    async with trio.open_nursery() as nursery:
        entries = {}
        for service in services:
            reply = soaked.random.choice(BAD_REPLIES)
            address = await nursery.start(serve_endless_replies, reply, streams)
            entry = make_entry(service, str(address), "north-a")
            entries[f"servers/endless-{service}"] = entry
        with soaked.environment.store_values(entries):
            await trio.sleep(duration)
        with trio.move_on_after(MAX_READING) as scope:
            while streams:
                await trio.sleep(0.05)
        if scope.cancelled_caught:
            soaked.daemons.broken.append(
                f"{len(streams)} endless replies are still read after {MAX_READING} s"
            )
        nursery.cancel_scope.cancel()
