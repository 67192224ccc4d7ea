"""The transport of peer envelopes in memory.

See Also:
    `walkcart.wire.peers.PeerTransport`, the interface that it implements.
    `walkcart.standins.memory.MemoryNetwork`, the network that carries the envelopes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from walkcart.kernel.settings import HostPort
from walkcart.standins.machinelinks import MachineLink
from walkcart.standins.pipes import Pipe

if TYPE_CHECKING:
    from walkcart.standins.memory import MemoryNetwork


#: Number of one-way trips until a connection is up: those of TCP's handshake and of the
#: greetings that both ends send.
CONNECT_TRIPS = 3
#: Seconds between two attempts to connect to an address where nobody listens.
RECONNECT_INTERVAL = 0.05


class MemoryPeerListener:
    """Receives envelopes at one address."""

    def __init__(
        self,
        network: MemoryNetwork,
        address: HostPort,
        site: str,
        link: MachineLink | None,
    ) -> None:
        self._network = network
        self.address = address
        self.site = site
        self.pipe = Pipe(network, site, site, reader_link=link)

    async def receive(self) -> bytes:
        """Wait for one envelope."""
        return await self.pipe.read(1 << 30)

    async def close(self) -> None:
        """Stop listening."""
        self._network.drop_peer_listener(self)


@dataclass(frozen=True, slots=True)
class MemoryPeerSender:
    """Sends envelopes to one address; those that can't arrive are lost.

    Args:
        network: the network that carries them.
        address: address of the receiver.
        site: site of the sender.
        dialled_at: when the connection was requested.
        link: link of the sender's machine; None for unlimited bandwidth.
    """

    network: MemoryNetwork
    address: HostPort
    site: str
    dialled_at: float
    link: MachineLink | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection is up and its other end still listens."""
        return trio.current_time() >= self._connected_at and self.network.has_peer(
            self.address
        )

    async def wait_connected(self) -> None:
        """Wait until the connection is up: a round trip and a half after the dial."""
        await trio.lowlevel.checkpoint()
        while not self.is_connected:
            retry_at = trio.current_time() + RECONNECT_INTERVAL
            await trio.sleep_until(max(self._connected_at, retry_at))

    @property
    def _connected_at(self) -> float:
        """Earliest time at which the connection is up."""
        trip = self.network.latency_to(self.site, self.address)
        return self.dialled_at + CONNECT_TRIPS * trip

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the buffer of the machine's link is full."""
        await trio.lowlevel.checkpoint()
        if self.dialled_at <= self.network.silent_until:
            return
        if self.link is None:
            self.network.deliver(self.site, self.address, data)
            return
        left_at = await self.link.outgoing.transmit(len(data))
        self.network.deliver(self.site, self.address, data, left_at)

    async def close(self) -> None:
        """Do nothing, since there is no connection to close."""


@dataclass(frozen=True, slots=True)
class MemoryTransport:
    """A `PeerTransport` in memory, as seen from one site.

    Args:
        network: the network that carries the envelopes.
        site: name of the site.
        link: link of the machine at the site; None for unlimited bandwidth.
    """

    network: MemoryNetwork
    site: str
    link: MachineLink | None = None

    async def listen(self, address: HostPort) -> MemoryPeerListener:
        """Listen for envelopes at `address`."""
        return self.network.add_peer_listener(address, self.site, self.link)

    async def dial(self, address: HostPort) -> MemoryPeerSender:
        """Return a sender of envelopes to `address`."""
        now = trio.current_time()
        return MemoryPeerSender(self.network, address, self.site, now, self.link)
