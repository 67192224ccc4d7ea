"""Byte streams to other processes, as an interface.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, the same interface without sockets.
"""

from __future__ import annotations

from typing import Protocol

import trio

from walkcart.kernel.settings import HostPort


class Network(Protocol):
    """Opens and accepts byte streams."""

    async def connect(self, address: HostPort) -> trio.abc.Stream:
        """Open a stream.

        Raises:
            OSError: nobody listens there, or it can't be reached.
        """
        ...

    async def listen(self, address: HostPort) -> trio.abc.Listener[trio.abc.Stream]:
        """Listen at `address`; port 0 takes a free port.

        Raises:
            OSError: the address can't be had.
        """
        ...

    def port_of(self, listener: trio.abc.Listener[trio.abc.Stream]) -> int:
        """Return the port that `listener` took."""
        ...


class TcpNetwork:
    """TCP by IP number."""

    async def connect(self, address: HostPort) -> trio.abc.Stream:
        """Open a TCP connection."""
        return await trio.open_tcp_stream(address.host, address.port)

    async def listen(self, address: HostPort) -> trio.abc.Listener[trio.abc.Stream]:
        """Listen on a TCP port."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        return listeners[0]

    def port_of(self, listener: trio.abc.Listener[trio.abc.Stream]) -> int:
        """Return the port that `listener` took."""
        return listener.socket.getsockname()[1]  # type: ignore[attr-defined]
