"""What the stand-ins' servers share."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.http import HttpReply
from walkcart.wire.network import Network
from walkcart.wire.server import Fault, Handler, HttpServer, ServerLimits

LIMITS = ServerLimits(body=8 << 20)


def reply_json(content: Any, status: int = 200) -> HttpReply:
    """Return a reply with JSON."""
    headers = ((b"content-type", b"application/json"),)
    return HttpReply(status, headers, msgspec.json.encode(content))


def reply_fault(fault: Fault) -> HttpReply:
    """Return the reply to bytes that are no request."""
    return HttpReply(fault.value)


class StandinServer:
    """Serves one handler at one address.

    Args:
        handler: makes the replies.
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
        """Serve until cancelled or stopped; tells the address taken."""
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
        """Drop all connections without a word: what comes next is reset."""
        for stream in tuple(self._streams):
            stream.forget()

    def stop(self) -> None:
        """Drop the listener and all connections, as a kill does."""
        self._scope.cancel()
