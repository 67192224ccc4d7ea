"""A network in memory: streams and peer envelopes, with latency and partitions.

It implements `walkcart.wire.network.Network` and `walkcart.wire.peers.PeerTransport`,
so that many instances can run in one process under a mocked clock, with the same
outcome for the same seed.
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

#: Returns the one-way latency between two sites, in seconds.
LatencyModel = Callable[[str, str], float]


class MemoryListener(trio.abc.Listener[MemoryStream]):
    """Accepts streams at one address.

    Args:
        network: the network.
        address: the address to listen at.
        site: site of the listener.
        link: link of the listener's machine; None for unlimited bandwidth.
    """

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
    """The network that connects all sites.

    Args:
        latency: returns the one-way latency between two sites, in seconds.
    """

    def __init__(self, latency: LatencyModel = lambda a, b: 0.0005) -> None:
        self.latency = latency
        self._listeners: dict[HostPort, MemoryListener] = {}
        self._peers: dict[HostPort, MemoryPeerListener] = {}
        self._cuts: dict[frozenset[str], trio.Event] = {}
        self._next_port = 20_000
        #: Called for each envelope; returns whether the envelope is lost.
        self.lose: Callable[[], bool] = lambda: False
        #: Envelopes on connections that were dialled up to this time are silently lost.
        self.silent_until = float("-inf")
        #: Bytes on streams that were opened up to this time are silently lost.
        self.streams_silent_until = float("-inf")

    def at(self, site: str, link: MachineLink | None = None) -> MemorySite:
        """Return the network as seen from a site, or from a machine at it."""
        return MemorySite(self, site, link)

    def cut(self, one: str, other: str) -> None:
        """Partition two sites, or a site within itself, until `heal`.

        Bytes on streams are delayed until then; envelopes are lost.
        """
        self._cuts.setdefault(frozenset((one, other)), trio.Event())

    def heal(self, one: str, other: str) -> None:
        """End the partition of two sites."""
        event = self._cuts.pop(frozenset((one, other)), None)
        if event is not None:
            event.set()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two sites are partitioned."""
        return frozenset((one, other)) in self._cuts

    async def wait_while_cut(self, one: str, other: str) -> bool:
        """Wait until two sites aren't partitioned; return whether they were."""
        event = self._cuts.get(frozenset((one, other)))
        if event is None:
            return False
        await event.wait()
        return True

    def find_streams(self, address: HostPort) -> list[MemoryStream]:
        """Return the listener's ends of all streams that were opened to an address."""
        return list(self._listeners[address].streams)

    def assign_port(self, address: HostPort) -> HostPort:
        """Return `address`, with a free port if its port is 0."""
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
        """Listen for streams at an address.

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
        """Open a stream from `site` to `address`.

        Args:
            address: address of the listener.
            site: site of the caller.
            link: link of the caller's machine; None for unlimited bandwidth.
            probe_interval: interval of the caller's probes, which detect a connection
                that went silent; None for no probes.

        Raises:
            ConnectionRefusedError: nobody listens at `address`.
        """
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
        """Listen for envelopes at an address.

        Raises:
            OSError: the address is in use.
        """
        taken = self.assign_port(address)
        if taken in self._peers:
            raise OSError(f"{taken} is in use")
        self._peers[taken] = MemoryPeerListener(self, taken, site, link)
        return self._peers[taken]

    def drop_peer_listener(self, listener: MemoryPeerListener) -> None:
        """Lose all envelopes to the listener's address from now on."""
        if self._peers.get(listener.address) is listener:
            del self._peers[listener.address]

    def has_peer(self, address: HostPort) -> bool:
        """Return whether there is a listener for envelopes at an address."""
        return address in self._peers

    def latency_to(self, site: str, address: HostPort) -> float:
        """Return the one-way latency to a listener for envelopes, in seconds.

        It is 0 if nobody listens at the address.
        """
        listener = self._peers.get(address)
        return self.latency(site, listener.site) if listener else 0.0

    def deliver(
        self,
        site: str,
        address: HostPort,
        data: bytes,
        left_at: float = float("-inf"),
    ) -> None:
        """Send an envelope, or lose it.

        Args:
            site: site of the sender.
            address: address of the receiver.
            data: the bytes of the envelope.
            left_at: when its last byte leaves the sender's machine, if that is later
                than now.
        """
        listener = self._peers.get(address)
        if listener is None or self.is_cut(site, listener.site) or self.lose():
            return
        left_at = max(left_at, trio.current_time())
        listener.pipe.add_arrival(left_at + self.latency(site, listener.site), data)


@dataclass(frozen=True, slots=True)
class MemorySite:
    """The network as seen from one site: a `Network` and a source of peer transports.

    Args:
        network: the network.
        site: name of the site.
        link: link of the machine at the site; None for unlimited bandwidth.
    """

    network: MemoryNetwork
    site: str
    link: MachineLink | None = None

    async def connect(
        self, address: HostPort, probe_interval: timedelta | None = None
    ) -> MemoryStream:
        """Open a stream to `address`."""
        return await self.network.connect(address, self.site, self.link, probe_interval)

    async def listen(self, address: HostPort) -> MemoryListener:
        """Listen for streams at `address`."""
        return self.network.add_listener(address, self.site, self.link)

    def port_of(self, listener: MemoryListener) -> int:
        """Return the port of `listener`."""
        return listener.address.port

    def transport(self) -> MemoryTransport:
        """Return a transport of envelopes for this site."""
        return MemoryTransport(self.network, self.site, self.link)
