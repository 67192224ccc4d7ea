"""Byte streams to other processes, as an interface.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, the same interface without sockets.
"""

from __future__ import annotations

import select
import socket
from datetime import timedelta
from typing import Protocol

import trio

from walkcart.kernel.settings import HostPort

#: Milliseconds after which sent bytes that nobody acknowledged end a connection: a
#: peer without power says nothing. Longer than any pause of a peer that lives.
SILENCE_MS = 10_000
#: Probes without an answer after which a connection has gone silent for good.
MAX_PROBES = 2


def is_quiet(stream: trio.abc.Stream) -> bool:
    """Return whether neither bytes nor an end wait to be read on `stream`.

    A stream that isn't a socket counts as quiet: a reader finds out in any case.
    """
    if not isinstance(stream, trio.SocketStream):
        return True
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return not poll.poll(0)


class Network(Protocol):
    """Opens and accepts byte streams."""

    async def connect(
        self, address: HostPort, probe_interval: timedelta | None = None
    ) -> trio.abc.Stream:
        """Open a stream.

        Args:
            address: of the peer.
            probe_interval: a peer that is quiet for this long is asked whether it is there, and
                `MAX_PROBES` such questions without an answer end the stream, one more
                `probe_interval` later. None not to ask. Whole seconds, at least one.

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


def _limit_silence(
    sock: trio.socket.SocketType | socket.socket, probe: timedelta | None
) -> None:
    """Let the kernel end a connection whose peer says nothing any more."""
    tcp = socket.IPPROTO_TCP
    if probe is None:
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        return
    seconds = max(1, round(probe.total_seconds()))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, MAX_PROBES)
    # The kernel goes by this time in place of the number of probes.
    silence_ms = (MAX_PROBES + 1) * seconds * 1000
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, silence_ms)


class TcpNetwork:
    """TCP by IP number."""

    async def connect(
        self, address: HostPort, probe_interval: timedelta | None = None
    ) -> trio.abc.Stream:
        """Open a TCP connection."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            _limit_silence(sock, probe_interval)
            await sock.connect((address.host, address.port))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def listen(self, address: HostPort) -> trio.abc.Listener[trio.abc.Stream]:
        """Listen on a TCP port."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        return listeners[0]

    def port_of(self, listener: trio.abc.Listener[trio.abc.Stream]) -> int:
        """Return the port that `listener` took."""
        return listener.socket.getsockname()[1]  # type: ignore[attr-defined]
