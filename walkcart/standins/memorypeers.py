"""Envelopes between instances in memory.

See Also:
    `walkcart.wire.peers.PeerTransport`, whose interface this has.
    `walkcart.standins.memory.MemoryNetwork`, over which they go.
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


#: One-way times until a connection is up: TCP's handshake, and the two ends' greeting.
CONNECT_TRIPS = 3
#: Seconds between two tries to connect to an address where nobody listens.
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
        """Stop."""
        self._network.drop_peer_listener(self)


@dataclass(frozen=True, slots=True)
class MemoryPeerSender:
    """Sends envelopes to one address; what can't arrive is lost."""

    network: MemoryNetwork
    address: HostPort
    site: str
    dialled_at: float
    link: MachineLink | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection is up, and its other end still listens."""
        return trio.current_time() >= self._connected_at and self.network.has_peer(
            self.address
        )

    async def wait_connected(self) -> None:
        """Wait until the connection is up: a round trip, and half of one to agree."""
        await trio.lowlevel.checkpoint()
        while not self.is_connected:
            retry_at = trio.current_time() + RECONNECT_INTERVAL
            await trio.sleep_until(max(self._connected_at, retry_at))

    @property
    def _connected_at(self) -> float:
        """Return when the connection is up at the earliest."""
        trip = self.network.latency_to(self.site, self.address)
        return self.dialled_at + CONNECT_TRIPS * trip

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the machine's link can't take more."""
        await trio.lowlevel.checkpoint()
        if self.dialled_at <= self.network.silent_until:
            return
        if self.link is None:
            self.network.deliver(self.site, self.address, data)
            return
        left_at = await self.link.outgoing.transmit(len(data))
        self.network.deliver(self.site, self.address, data, left_at)

    async def close(self) -> None:
        """Stop."""


@dataclass(frozen=True, slots=True)
class MemoryTransport:
    """A `PeerTransport` in memory."""

    network: MemoryNetwork
    site: str
    link: MachineLink | None = None

    async def listen(self, address: HostPort) -> MemoryPeerListener:
        """Listen for envelopes."""
        return self.network.add_peer_listener(address, self.site, self.link)

    async def dial(self, address: HostPort) -> MemoryPeerSender:
        """Make a sender."""
        now = trio.current_time()
        return MemoryPeerSender(self.network, address, self.site, now, self.link)
