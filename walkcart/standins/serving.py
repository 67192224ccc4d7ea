"""The HTTP server that the stand-ins share."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.http import HttpReply
from walkcart.wire.network import Network
from walkcart.wire.server import Fault, Handler, HttpServer, ServerLimits

#: Limits of the stand-ins' servers; the body of a request may have 8 MiB.
LIMITS = ServerLimits(body=8 << 20)


def reply_json(content: Any, status: int = 200) -> HttpReply:
    """Return a reply with `content` as JSON."""
    headers = ((b"content-type", b"application/json"),)
    return HttpReply(status, headers, msgspec.json.encode(content))


def reply_fault(fault: Fault) -> HttpReply:
    """Return the reply to a client whose bytes aren't a valid request."""
    return HttpReply(fault.value)


class StandinServer:
    """Serves a handler at an address.

    Args:
        handler: returns the reply to each request.
    """

    def __init__(self, handler: Handler) -> None:
        self.http = HttpServer(handler, LIMITS, reply_fault)
        self.address = HostPort("127.0.0.1", 0)
        self._scope = trio.CancelScope()
        self._streams: set[trio.abc.Stream] = set()

    async def run(
        self,
        network: Network,
        address: HostPort,
        *,
        task_status: trio.TaskStatus[HostPort] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled or stopped.

        Args:
            network: the network to listen on.
            address: the address to listen at; port 0 for any free port.
            task_status: receives the address with its actual port.
        """
        listener = await network.listen(address)
        self.address = HostPort(address.host, network.port_of(listener))
        self._scope = trio.CancelScope()
        with self._scope:
            async with trio.open_nursery() as nursery:
                task_status.started(self.address)
                await trio.serve_listeners(
                    self.serve, [listener], handler_nursery=nursery
                )

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        self._streams.add(stream)
        try:
            await self.http.serve(stream)
        finally:
            self._streams.discard(stream)

    def drop_connections_silently(self) -> None:
        """Drop all connections silently; clients notice when they send again."""
        for stream in tuple(self._streams):
            stream.drop_silently()

    def stop(self) -> None:
        """Drop the listener and all connections, as a kill of the process does."""
        self._scope.cancel()
