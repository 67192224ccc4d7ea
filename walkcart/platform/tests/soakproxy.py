"""A loopback proxy that delays, silences, resets, refuses or answers connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.network import TcpNetwork

#: Maximum number of bytes copied at once.
CHUNK = 65536


class ProxyFault(Enum):
    """What a proxy does to its connections.

    `SILENCE` holds back the data of both directions, `SILENCE_BACK` only that from the
    target.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    SILENCE_BACK = "silence back"
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(slots=True, eq=False)
class Proxy:
    """Forwards connections to one address.

    Args:
        target: address to forward to.
        delay: seconds by which `ProxyFault.DELAY` delays each chunk.
        address: address to listen on; the actual one once the proxy runs.
        fault: current fault.
        reply: bytes that answer whatever comes on a connection, instead of the target.
    """

    target: HostPort
    delay: float = 0.05
    address: HostPort = HostPort("127.0.0.1", 0)
    fault: ProxyFault = ProxyFault.NONE
    reply: bytes | None = None
    _scopes: set[trio.CancelScope] = field(default_factory=set)
    _fault_changed: trio.Event = field(default_factory=trio.Event)

    async def run(self, *, task_status: trio.TaskStatus[HostPort]) -> None:
        """Forward connections until cancelled."""
        network = TcpNetwork()
        listener = await network.listen(self.address)
        self.address = HostPort("127.0.0.1", network.port_of(listener))
        async with trio.open_nursery() as nursery:
            task_status.started(self.address)
            await trio.serve_listeners(
                self._forward, [listener], handler_nursery=nursery
            )

    def set_fault(self, fault: ProxyFault) -> None:
        """Change the fault; `RESET` and `REFUSE` also end the open connections."""
        self.fault = fault
        if fault in (ProxyFault.RESET, ProxyFault.REFUSE):
            self._end_connections()
        self._fault_changed.set()
        self._fault_changed = trio.Event()

    def set_reply(self, reply: bytes | None) -> None:
        """Answer with some bytes from now on; None forwards to the target again."""
        self.reply = reply
        self._end_connections()

    def _end_connections(self) -> None:
        for scope in tuple(self._scopes):
            scope.cancel()

    def transform(self, data: bytes) -> bytes:
        """Return what is forwarded in place of a piece."""
        return data

    async def _answer(self, client: trio.SocketStream, reply: bytes) -> None:
        """Answer each piece of a connection's input until it ends."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                while await client.receive_some(CHUNK):
                    await client.send_all(reply)
                    if b"content-length" not in reply:
                        # Only the end of the connection ends such a reply.
                        break
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        self._scopes.discard(scope)
        await trio.aclose_forcefully(client)

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.fault is ProxyFault.REFUSE:
            await trio.aclose_forcefully(client)
            return
        if self.reply is not None:
            await self._answer(client, self.reply)
            return
        try:
            server = await TcpNetwork().connect(self.target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._copy, client, server, scope, ProxyFault.SILENCE
                )
                nursery.start_soon(
                    self._copy, server, client, scope, ProxyFault.SILENCE_BACK
                )
        self._scopes.discard(scope)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(server)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
        silence: ProxyFault,
    ) -> None:
        """Copy one direction until it ends, then end both directions."""
        try:
            while data := await source.receive_some(CHUNK):
                while self.fault in (ProxyFault.SILENCE, silence):
                    fault_changed = self._fault_changed
                    await fault_changed.wait()
                if self.fault is ProxyFault.DELAY:
                    await trio.sleep(self.delay)
                await sink.send_all(self.transform(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
