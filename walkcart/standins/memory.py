"""A network in memory: streams and peer envelopes with latency and cuts.

It has the interfaces of `walkcart.wire.network.Network` and
`walkcart.wire.peers.PeerTransport`, so that instances run in one process under
a mocked clock, with the same outcome for the same seed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.settings import HostPort
from walkcart.standins.machinelinks import MachineLink
from walkcart.standins.memorypeers import MemoryPeerListener, MemoryTransport
from walkcart.standins.pipes import MemoryStream, Pipe
from walkcart.wire.network import MAX_PROBES

#: One-way seconds between two sites.
LatencyModel = Callable[[str, str], float]


class MemoryListener(trio.abc.Listener[MemoryStream]):
    """Accepts streams at one address."""

    def __init__(
        self,
        network: MemoryNetwork,
        address: HostPort,
        site: str,
        link: MachineLink | None = None,
    ) -> None:
        self._network = network
        self.address = address
        self.site = site
        self.link = link
        send, receive = trio.open_memory_channel[MemoryStream](1000)
        self.incoming = send
        self._receive = receive
        self.streams: list[MemoryStream] = []

    async def accept(self) -> MemoryStream:
        """Wait for a stream."""
        return await self._receive.receive()

    async def aclose(self) -> None:
        """Stop accepting."""
        self._network.drop_listener(self)
        self._receive.close()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """Streams and envelopes between sites.

    Args:
        latency: one-way seconds between two sites.
    """

    def __init__(self, latency: LatencyModel = lambda a, b: 0.0005) -> None:
        self.latency = latency
        self._listeners: dict[HostPort, MemoryListener] = {}
        self._peers: dict[HostPort, MemoryPeerListener] = {}
        self._cuts: dict[frozenset[str], trio.Event] = {}
        self._next_port = 20_000
        #: Share of envelopes that are lost, decided by `lose`.
        self.lose: Callable[[], bool] = lambda: False
        #: What senders that were dialled up to then send is lost without a word.
        self.silent_until = float("-inf")
        #: What streams that were opened up to then carry is lost without a word.
        self.streams_silent_until = float("-inf")

    def at(self, site: str, link: MachineLink | None = None) -> MemorySite:
        """Return the network as seen from one site, or from one machine there."""
        return MemorySite(self, site, link)

    def cut(self, one: str, other: str) -> None:
        """Hold up whatever passes between two sites, or within one."""
        self._cuts.setdefault(frozenset((one, other)), trio.Event())

    def heal(self, one: str, other: str) -> None:
        """End a cut."""
        event = self._cuts.pop(frozenset((one, other)), None)
        if event is not None:
            event.set()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two sites are cut off from each other."""
        return frozenset((one, other)) in self._cuts

    async def wait_while_cut(self, one: str, other: str) -> bool:
        """Wait for the end of a cut; return whether there was one."""
        event = self._cuts.get(frozenset((one, other)))
        if event is None:
            return False
        await event.wait()
        return True

    def find_streams(self, address: HostPort) -> list[MemoryStream]:
        """Return the listening side of the streams that were opened to an address."""
        return list(self._listeners[address].streams)

    def assign_port(self, address: HostPort) -> HostPort:
        """Return `address` with a free port in place of 0."""
        if address.port:
            return address
        while True:
            self._next_port += 1
            free = HostPort(address.host, self._next_port)
            if free not in self._listeners:
                return free

    def add_listener(
        self, address: HostPort, site: str, link: MachineLink | None = None
    ) -> MemoryListener:
        """Listen for streams.

        Raises:
            OSError: the address is in use.
        """
        taken = self.assign_port(address)
        if taken in self._listeners:
            raise OSError(f"{taken} is in use")
        listener = MemoryListener(self, taken, site, link)
        self._listeners[taken] = listener
        return listener

    def drop_listener(self, listener: MemoryListener) -> None:
        """Refuse connections to the listener's address from now on."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    async def connect(
        self,
        address: HostPort,
        site: str,
        link: MachineLink | None = None,
        probe_interval: timedelta | None = None,
    ) -> MemoryStream:
        """Open a stream from `site`."""
        await trio.lowlevel.checkpoint()
        listener = self._listeners.get(address)
        target = listener.site if listener else site
        while await self.wait_while_cut(site, target):
            pass
        await trio.sleep(2 * self.latency(site, target))
        if listener is None or self._listeners.get(address) is not listener:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        outbound = Pipe(self, site, target, link, listener.link)
        inbound = Pipe(self, target, site, listener.link, link)
        server = MemoryStream(outbound, inbound)
        listener.streams.append(server)
        listener.incoming.send_nowait(server)
        if probe_interval is not None:
            inbound.probe_timeout = (MAX_PROBES + 1) * probe_interval.total_seconds()
        return MemoryStream(inbound, outbound)

    def add_peer_listener(
        self, address: HostPort, site: str, link: MachineLink | None = None
    ) -> MemoryPeerListener:
        """Listen for envelopes.

        Raises:
            OSError: the address is in use.
        """
        taken = self.assign_port(address)
        if taken in self._peers:
            raise OSError(f"{taken} is in use")
        self._peers[taken] = MemoryPeerListener(self, taken, site, link)
        return self._peers[taken]

    def drop_peer_listener(self, listener: MemoryPeerListener) -> None:
        """Lose envelopes to the listener's address from now on."""
        if self._peers.get(listener.address) is listener:
            del self._peers[listener.address]

    def has_peer(self, address: HostPort) -> bool:
        """Return whether anybody takes envelopes at an address."""
        return address in self._peers

    def latency_to(self, site: str, address: HostPort) -> float:
        """Return the one-way seconds to whoever takes envelopes at an address."""
        listener = self._peers.get(address)
        return self.latency(site, listener.site) if listener else 0.0

    def deliver(
        self,
        site: str,
        address: HostPort,
        data: bytes,
        left_at: float = float("-inf"),
    ) -> None:
        """Bring an envelope on its way, or lose it.

        Args:
            site: where it is sent from.
            address: where it is sent to.
            data: its bytes.
            left_at: when the last of them leaves the machine, if that is later.
        """
        listener = self._peers.get(address)
        if listener is None or self.is_cut(site, listener.site) or self.lose():
            return
        left_at = max(left_at, trio.current_time())
        listener.pipe.add_arrival(left_at + self.latency(site, listener.site), data)


@dataclass(frozen=True, slots=True)
class MemorySite:
    """The network as seen from one site: a `Network` and two peer transports.

    Args:
        network: the whole of it.
        site: names the site.
        link: of the machine there; without one its rate has no limit.
    """

    network: MemoryNetwork
    site: str
    link: MachineLink | None = None

    async def connect(
        self, address: HostPort, probe_interval: timedelta | None = None
    ) -> MemoryStream:
        """Open a stream."""
        return await self.network.connect(address, self.site, self.link, probe_interval)

    async def listen(self, address: HostPort) -> MemoryListener:
        """Listen for streams."""
        return self.network.add_listener(address, self.site, self.link)

    def port_of(self, listener: MemoryListener) -> int:
        """Return the port that `listener` took."""
        return listener.address.port

    def transport(self) -> MemoryTransport:
        """Return the transport of envelopes from this site."""
        return MemoryTransport(self.network, self.site, self.link)
