"""A network in memory: streams and peer envelopes with latency and cuts.

It has the interfaces of `walkcart.wire.network.Network` and
`walkcart.wire.peers.PeerTransport`, so that instances run in one process under
a mocked clock, with the same outcome for the same seed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from walkcart.kernel.settings import HostPort

#: One-way seconds between two sites.
LatencyModel = Callable[[str, str], float]


class _Pipe:
    """One direction of a stream."""

    def __init__(self, network: MemoryNetwork, source: str, target: str) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._chunks: deque[tuple[float, bytes]] = deque()
        self._wakeup = trio.Event()
        self._end: float | None = None
        self._opened_at = trio.current_time()
        self.broken = False
        self.reader_gone = False

    def put(self, data: bytes) -> None:
        """Send bytes on their way, or lose them without a word."""
        if self._opened_at <= self._network.streams_silent_until:
            return
        arrival = trio.current_time() + self._latency()
        self._chunks.append((arrival, data))
        self._wakeup.set()

    def close(self) -> None:
        """The writer sends no more."""
        if self._end is None:
            self._end = trio.current_time() + self._latency()
        self._wakeup.set()

    def break_off(self) -> None:
        """Lose the connection."""
        self.broken = True
        self._wakeup.set()

    def _latency(self) -> float:
        return self._network.latency(self._source, self._target)

    async def take(self, limit: int) -> bytes:
        """Wait for bytes; none at the end."""
        await trio.lowlevel.checkpoint()
        while True:
            if self.broken:
                raise trio.BrokenResourceError("the connection was lost")
            if await self._network.wait_while_cut(self._source, self._target):
                continue
            due = self._chunks[0][0] if self._chunks else self._end
            if due is not None and due <= trio.current_time():
                return self._pop(limit) if self._chunks else b""
            self._wakeup = trio.Event()
            with trio.move_on_at(due if due is not None else float("inf")):
                await self._wakeup.wait()

    def _pop(self, limit: int) -> bytes:
        arrival, data = self._chunks.popleft()
        if len(data) > limit:
            self._chunks.appendleft((arrival, data[limit:]))
        return data[:limit]


class MemoryStream(trio.abc.Stream):
    """One end of a connection."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._closed = False

    async def send_all(self, data: bytes) -> None:
        """Send bytes."""
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        if self._outgoing.broken or self._outgoing.reader_gone:
            raise trio.BrokenResourceError("the other end is gone")
        self._outgoing.put(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once: there is always room."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; none at the end."""
        if self._closed:
            raise trio.ClosedResourceError
        return await self._incoming.take(max_bytes or 65536)

    async def aclose(self) -> None:
        """Close both directions."""
        self._closed = True
        self._outgoing.close()
        self._incoming.reader_gone = True
        await trio.lowlevel.checkpoint()

    def forget(self) -> None:
        """Lose the connection at this end; the other one learns it when it sends."""
        self._incoming.reader_gone = True

    def reset(self) -> None:
        """Lose the connection at both ends."""
        self._incoming.break_off()
        self._outgoing.break_off()


class MemoryListener(trio.abc.Listener[MemoryStream]):
    """Accepts streams at one address."""

    def __init__(self, network: MemoryNetwork, address: HostPort, site: str) -> None:
        self._network = network
        self.address = address
        self.site = site
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


class MemoryPeerListener:
    """Receives envelopes at one address."""

    def __init__(self, network: MemoryNetwork, address: HostPort, site: str) -> None:
        self._network = network
        self.address = address
        self.site = site
        self.pipe = _Pipe(network, site, site)

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

    async def send(self, data: bytes) -> None:
        """Send one envelope."""
        await trio.lowlevel.checkpoint()
        if self.dialled_at <= self.network.silent_until:
            return
        self.network.deliver(self.site, self.address, data)

    async def close(self) -> None:
        """Stop."""


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

    def at(self, site: str) -> MemorySite:
        """Return the network as seen from one site."""
        return MemorySite(self, site)

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

    def take_address(self, address: HostPort) -> HostPort:
        """Return `address` with a free port in place of 0."""
        if address.port:
            return address
        self._next_port += 1
        return HostPort(address.host, self._next_port)

    def add_listener(self, address: HostPort, site: str) -> MemoryListener:
        """Listen for streams.

        Raises:
            OSError: the address is in use.
        """
        taken = self.take_address(address)
        if taken in self._listeners:
            raise OSError(f"{taken} is in use")
        listener = MemoryListener(self, taken, site)
        self._listeners[taken] = listener
        return listener

    def drop_listener(self, listener: MemoryListener) -> None:
        """Refuse connections to the listener's address from now on."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    async def connect(self, address: HostPort, site: str) -> MemoryStream:
        """Open a stream from `site`."""
        await trio.lowlevel.checkpoint()
        listener = self._listeners.get(address)
        target = listener.site if listener else site
        while await self.wait_while_cut(site, target):
            pass
        await trio.sleep(2 * self.latency(site, target))
        if listener is None or self._listeners.get(address) is not listener:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        there = _Pipe(self, site, target)
        back = _Pipe(self, target, site)
        server = MemoryStream(there, back)
        listener.streams.append(server)
        listener.incoming.send_nowait(server)
        return MemoryStream(back, there)

    def add_peer_listener(self, address: HostPort, site: str) -> MemoryPeerListener:
        """Listen for envelopes.

        Raises:
            OSError: the address is in use.
        """
        taken = self.take_address(address)
        if taken in self._peers:
            raise OSError(f"{taken} is in use")
        self._peers[taken] = MemoryPeerListener(self, taken, site)
        return self._peers[taken]

    def drop_peer_listener(self, listener: MemoryPeerListener) -> None:
        """Lose envelopes to the listener's address from now on."""
        if self._peers.get(listener.address) is listener:
            del self._peers[listener.address]

    def deliver(self, site: str, address: HostPort, data: bytes) -> None:
        """Bring an envelope on its way, or lose it."""
        listener = self._peers.get(address)
        if listener is None or self.is_cut(site, listener.site) or self.lose():
            return
        arrival = trio.current_time() + self.latency(site, listener.site)
        listener.pipe._chunks.append((arrival, data))
        listener.pipe._wakeup.set()


@dataclass(frozen=True, slots=True)
class MemorySite:
    """The network as seen from one site: a `Network` and two peer transports."""

    network: MemoryNetwork
    site: str

    async def connect(self, address: HostPort) -> MemoryStream:
        """Open a stream."""
        return await self.network.connect(address, self.site)

    async def listen(self, address: HostPort) -> MemoryListener:
        """Listen for streams."""
        return self.network.add_listener(address, self.site)

    def port_of(self, listener: MemoryListener) -> int:
        """Return the port that `listener` took."""
        return listener.address.port

    def transport(self) -> MemoryTransport:
        """Return the transport of envelopes from this site."""
        return MemoryTransport(self.network, self.site)


@dataclass(frozen=True, slots=True)
class MemoryTransport:
    """A `PeerTransport` in memory."""

    network: MemoryNetwork
    site: str

    async def listen(self, address: HostPort) -> MemoryPeerListener:
        """Listen for envelopes."""
        return self.network.add_peer_listener(address, self.site)

    async def dial(self, address: HostPort) -> MemoryPeerSender:
        """Make a sender."""
        return MemoryPeerSender(self.network, address, self.site, trio.current_time())
