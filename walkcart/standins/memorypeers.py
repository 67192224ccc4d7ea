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
        return await self.pipe.take(1 << 30)

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

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the machine's link can't take more."""
        await trio.lowlevel.checkpoint()
        if self.dialled_at <= self.network.silent_until:
            return
        if self.link is None:
            self.network.deliver(self.site, self.address, data)
            return
        left_at = await self.link.outgoing.carry(len(data))
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
