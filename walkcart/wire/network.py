"""Interface for byte streams to other processes, and its TCP implementation.

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

#: Milliseconds after which unacknowledged bytes end a connection: a peer that lost
#: power doesn't close it. Longer than any pause of a living peer.
UNACKED_TIMEOUT_MS = 10_000
#: Number of unanswered keepalive probes after which a connection counts as dead.
MAX_PROBES = 2


def is_quiet(stream: trio.abc.Stream) -> bool:
    """Return whether neither bytes nor an end wait to be read on `stream`.

    A stream that isn't a socket counts as quiet; the next read finds out anyway.
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
            address: address of the peer.
            probe_interval: interval of keepalive probes to a silent peer, in whole
                seconds, at least one. `MAX_PROBES` probes without an answer end the
                stream one interval after the last. None sends no probes.

        Raises:
            OSError: the connection is refused, or the peer can't be reached.
        """
        ...

    async def listen(self, address: HostPort) -> trio.abc.Listener[trio.abc.Stream]:
        """Listen at `address`; port 0 selects a free port.

        Raises:
            OSError: the address isn't available.
        """
        ...

    def port_of(self, listener: trio.abc.Listener[trio.abc.Stream]) -> int:
        """Return the port that `listener` took."""
        ...


def _set_silence_timeout(
    sock: trio.socket.SocketType | socket.socket, probe_interval: timedelta | None
) -> None:
    """Let the kernel end a connection whose peer has gone silent."""
    tcp = socket.IPPROTO_TCP
    if probe_interval is None:
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
        return
    seconds = max(1, round(probe_interval.total_seconds()))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, MAX_PROBES)
    # With this option the kernel uses the time in place of the number of probes.
    silence_ms = (MAX_PROBES + 1) * seconds * 1000
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, silence_ms)


class TcpNetwork:
    """TCP connections by IP address."""

    async def connect(
        self, address: HostPort, probe_interval: timedelta | None = None
    ) -> trio.abc.Stream:
        """Open a TCP connection."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            _set_silence_timeout(sock, probe_interval)
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
