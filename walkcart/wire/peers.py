"""Datagram-like transport of envelopes between instances.

An instance listens on one nng pull socket and opens one connection to each peer. The
answering side sends answers over its own connection, so no socket waits for a reply.
"""

from __future__ import annotations

from typing import Protocol

import pynng

from walkcart.kernel.settings import HostPort
from walkcart.wire.codec import MAX_ENVELOPE_BYTES
from walkcart.wire.pushsender import PushSender


class PeerSender(Protocol):
    """Sends to one peer."""

    @property
    def is_connected(self) -> bool:
        """Whether a connection to the peer is up, as far as is known."""
        ...

    async def wait_connected(self) -> None:
        """Wait until a connection to the peer is up."""
        ...

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the peer can't receive more.

        Raises:
            OSError: the sender is closed or failed.
        """
        ...

    async def close(self) -> None:
        """Close the sender; unsent data is dropped."""
        ...


class PeerListener(Protocol):
    """Receives from all peers."""

    address: HostPort

    async def receive(self) -> bytes:
        """Wait for one envelope.

        Raises:
            OSError: the listener is closed or failed.
        """
        ...

    async def close(self) -> None:
        """Close the listener."""
        ...


class PeerTransport(Protocol):
    """Makes senders and listeners."""

    async def listen(self, address: HostPort) -> PeerListener:
        """Listen at `address`; port 0 selects a free port."""
        ...

    async def dial(self, address: HostPort) -> PeerSender:
        """Make a sender, which connects in the background."""
        ...


class NngListener:
    """A listener on an nng pull socket."""

    def __init__(self, address: HostPort) -> None:
        self._socket = pynng.Pull0(recv_max_size=MAX_ENVELOPE_BYTES)
        self._socket.listen(f"tcp://{address}")
        self.address = address
        if address.port == 0:
            port = self._socket.listeners[0].local_address.port
            # nng returns the port in network byte order.
            swapped = int.from_bytes(port.to_bytes(2, "little"), "big")
            self.address = HostPort(address.host, swapped)

    async def receive(self) -> bytes:
        """Wait for one envelope."""
        try:
            return await self._socket.arecv()
        except pynng.NNGException as error:
            raise OSError(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class NngTransport:
    """Peer transport by nng over TCP, with pynng."""

    async def listen(self, address: HostPort) -> PeerListener:
        """Listen with a pull socket.

        Raises:
            OSError: the address isn't available.
        """
        try:
            return NngListener(address)
        except pynng.NNGException as error:
            raise OSError(str(error)) from error

    async def dial(self, address: HostPort) -> PeerSender:
        """Return a sender that connects in the background."""
        return PushSender(address)
