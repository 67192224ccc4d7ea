"""Datagram-like transport of envelopes between instances.

An instance listens on one nng pull socket and dials one push socket for each
peer that it talks to. Answers go back over the answering side's own push
socket, so no socket waits for a reply.
"""

from __future__ import annotations

from typing import Protocol

import pynng
import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.codec import ENVELOPE_LIMIT

#: Envelopes that nng keeps for a peer which is slow or gone: none. What waits does so
#: in our own outbox, where it can be taken back.
NNG_BUFFER = 0
NNG_RECONNECT_MIN_MS = 50
NNG_RECONNECT_MAX_MS = 1000


class PeerSender(Protocol):
    """Sends to one peer."""

    @property
    def is_connected(self) -> bool:
        """Whether the peer can be sent to, as far as is known."""
        ...

    async def wait_connected(self) -> None:
        """Wait until the peer can be sent to."""
        ...

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the peer can't take more.

        Raises:
            OSError: it can't be sent any more.
        """
        ...

    async def close(self) -> None:
        """Stop; what isn't sent yet is dropped."""
        ...


class PeerListener(Protocol):
    """Receives from all peers."""

    address: HostPort

    async def receive(self) -> bytes:
        """Wait for one envelope."""
        ...

    async def close(self) -> None:
        """Stop."""
        ...


class PeerTransport(Protocol):
    """Makes senders and listeners."""

    async def listen(self, address: HostPort) -> PeerListener:
        """Listen at `address`; port 0 takes a free port."""
        ...

    async def dial(self, address: HostPort) -> PeerSender:
        """Make a sender; connecting goes on in the background."""
        ...


class NngSender:
    """A push socket."""

    def __init__(self, address: HostPort) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._pipes = 0
        self._connected = trio.Event()
        self._socket = pynng.Push0(send_buffer_size=NNG_BUFFER)
        self._socket.add_post_pipe_connect_cb(lambda pipe: self._tell(1))
        self._socket.add_post_pipe_remove_cb(lambda pipe: self._tell(-1))
        self._socket.reconnect_time_min = NNG_RECONNECT_MIN_MS
        self._socket.reconnect_time_max = NNG_RECONNECT_MAX_MS
        self._socket.dial(f"tcp://{address}", block=False)

    @property
    def is_connected(self) -> bool:
        """Whether a connection is up."""
        return self._pipes > 0

    async def wait_connected(self) -> None:
        """Wait until a connection is up."""
        while not self.is_connected:
            await self._connected.wait()

    def _tell(self, change: int) -> None:
        """Bring a change from nng's thread to the event loop."""
        try:
            self._token.run_sync_soon(self._count, change)
        except trio.RunFinishedError:
            # The process is ending; nobody waits for it.
            return

    def _count(self, change: int) -> None:
        self._pipes += change
        if self.is_connected:
            self._connected.set()
        else:
            self._connected = trio.Event()

    async def send(self, data: bytes) -> None:
        """Send one envelope."""
        try:
            await self._socket.asend(data)
        except pynng.NNGException as error:
            raise OSError(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class NngListener:
    """A pull socket."""

    def __init__(self, address: HostPort) -> None:
        self._socket = pynng.Pull0(recv_max_size=ENVELOPE_LIMIT)
        self._socket.listen(f"tcp://{address}")
        self.address = address
        if address.port == 0:
            port = self._socket.listeners[0].local_address.port
            # nng gives the port in network byte order.
            swapped = int.from_bytes(port.to_bytes(2, "little"), "big")
            self.address = HostPort(address.host, swapped)

    async def receive(self) -> bytes:
        """Wait for one envelope."""
        return await self._socket.arecv()

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class NngTransport:
    """nng over TCP, by pynng."""

    async def listen(self, address: HostPort) -> PeerListener:
        """Listen with a pull socket.

        Raises:
            OSError: the address can't be had.
        """
        try:
            return NngListener(address)
        except pynng.NNGException as error:
            raise OSError(str(error)) from error

    async def dial(self, address: HostPort) -> PeerSender:
        """Dial with a push socket.

        Raises:
            OSError: the address can't be dialled.
        """
        try:
            return NngSender(address)
        except pynng.NNGException as error:
            raise OSError(str(error)) from error
