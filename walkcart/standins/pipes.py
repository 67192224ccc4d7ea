"""Byte streams in memory, with latency, network partitions and links of machines.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, which opens the streams.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from walkcart.standins.machinelinks import MachineLink

if TYPE_CHECKING:
    from walkcart.standins.memory import MemoryNetwork


class Pipe:
    """One direction of a stream, or the queue of all envelopes to one address.

    Args:
        network: the network between writer and reader.
        source: site of the writer.
        target: site of the reader.
        writer_link: link of the writer's machine; None for unlimited bandwidth.
        reader_link: link of the reader's machine; None for unlimited bandwidth.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        source: str,
        target: str,
        writer_link: MachineLink | None = None,
        reader_link: MachineLink | None = None,
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._writer_link = writer_link
        self._reader_link = reader_link
        self._chunks: deque[tuple[float, bytes]] = deque()
        self._wakeup = trio.Event()
        self._end_at: float | None = None
        self._opened_at = trio.current_time()
        self._silent = False
        self._dead_at = float("inf")
        #: Seconds after which the reader's keep-alive probes detect a silent pipe.
        self.probe_timeout = float("inf")
        #: Time of the last write.
        self.last_sent_at = self._opened_at
        self.broken = False
        self.reader_closed = False

    async def write(self, data: bytes) -> None:
        """Send bytes, or lose them silently if the pipe went silent."""
        self.last_sent_at = trio.current_time()
        if self._is_silent():
            return
        left_at = trio.current_time()
        if self._writer_link is not None:
            left_at = await self._writer_link.outgoing.transmit(len(data))
        self.add_arrival(left_at + self._latency(), data)

    def add_arrival(self, arrival: float, data: bytes) -> None:
        """Queue bytes by the time at which they reach the reader's machine."""
        if self._reader_link is not None:
            arrival = self._reader_link.incoming.schedule(len(data), arrival)
        place = len(self._chunks)
        while place and self._chunks[place - 1][0] > arrival:
            place -= 1
        self._chunks.insert(place, (arrival, data))
        self._wakeup.set()

    def _is_silent(self) -> bool:
        return self._silent or self._opened_at <= self._network.streams_silent_until

    def go_silent(self) -> None:
        """Lose everything that is sent from now on, without an error at either end."""
        self._silent = True
        self._dead_at = trio.current_time() + self.probe_timeout
        self._wakeup.set()

    def close(self) -> None:
        """Close the writer's end; bytes that were sent before still arrive."""
        if self._end_at is None:
            self._end_at = trio.current_time() + self._latency()
            if self._chunks:
                self._end_at = max(self._end_at, self._chunks[-1][0])
        self._wakeup.set()

    def break_connection(self) -> None:
        """Break the connection: reads and writes fail from now on."""
        self.broken = True
        self._wakeup.set()

    def _latency(self) -> float:
        return self._network.latency(self._source, self._target)

    async def read(self, limit: int) -> bytes:
        """Wait for up to `limit` bytes; return none at the end of the stream."""
        await trio.lowlevel.checkpoint()
        while True:
            if self.broken or trio.current_time() >= self._dead_at:
                raise trio.BrokenResourceError("the connection was lost")
            with trio.move_on_after(self.probe_timeout) as probe_scope:
                if await self._network.wait_while_cut(self._source, self._target):
                    continue
            if probe_scope.cancelled_caught:
                self.break_connection()
                continue
            due = self._chunks[0][0] if self._chunks else self._end_at
            if due is not None and due <= trio.current_time():
                return self._pop(limit) if self._chunks else b""
            self._wakeup = trio.Event()
            wake_at = self._dead_at if due is None else min(due, self._dead_at)
            with trio.move_on_at(wake_at):
                await self._wakeup.wait()

    def _pop(self, limit: int) -> bytes:
        arrival, data = self._chunks.popleft()
        if len(data) > limit:
            self._chunks.appendleft((arrival, data[limit:]))
        return data[:limit]


class MemoryStream(trio.abc.Stream):
    """One end of a connection in memory.

    Args:
        incoming: the direction that this end reads.
        outgoing: the direction that this end writes.
    """

    def __init__(self, incoming: Pipe, outgoing: Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._closed = False

    async def send_all(self, data: bytes) -> None:
        """Send bytes."""
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        if self._outgoing.broken or self._outgoing.reader_closed:
            raise trio.BrokenResourceError("the other end is gone")
        await self._outgoing.write(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once, since there is always room."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for bytes; return none at the end of the stream."""
        if self._closed:
            raise trio.ClosedResourceError
        return await self._incoming.read(max_bytes or 65536)

    async def aclose(self) -> None:
        """Close both directions."""
        self._closed = True
        self._outgoing.close()
        self._incoming.reader_closed = True
        await trio.lowlevel.checkpoint()

    @property
    def last_sent_at(self) -> float:
        """Time of the last send in either direction."""
        return max(self._incoming.last_sent_at, self._outgoing.last_sent_at)

    def go_silent(self) -> None:
        """Lose everything sent from now on in both directions, without an error."""
        self._incoming.go_silent()
        self._outgoing.go_silent()

    def drop_silently(self) -> None:
        """Drop the connection at this end; the other end notices when it sends."""
        self._incoming.reader_closed = True

    def reset(self) -> None:
        """Break the connection at both ends."""
        self._incoming.break_connection()
        self._outgoing.break_connection()
