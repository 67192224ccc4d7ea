"""Byte streams in memory, with latency, cuts and the links of machines.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, which opens them.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from walkcart.standins.machinelinks import MachineLink

if TYPE_CHECKING:
    from walkcart.standins.memory import MemoryNetwork


class Pipe:
    """One direction of a stream, or the way of all envelopes to one address.

    Args:
        network: that it crosses.
        source: site of the writer.
        target: site of the reader.
        writer_link: of the writer's machine, if that has one.
        reader_link: of the reader's machine, if that has one.
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
        self._end: float | None = None
        self._opened_at = trio.current_time()
        self._silent = False
        self._dead_at = float("inf")
        #: Seconds after which the reader's probes show that the pipe went silent.
        self.probe_time = float("inf")
        #: When bytes were sent last.
        self.used_at = self._opened_at
        self.broken = False
        self.reader_gone = False

    async def put(self, data: bytes) -> None:
        """Send bytes on their way, or lose them without a word."""
        self.used_at = trio.current_time()
        if self._is_silent():
            return
        left_at = trio.current_time()
        if self._writer_link is not None:
            left_at = await self._writer_link.outgoing.carry(len(data))
        self.put_at(left_at + self._latency(), data)

    def put_at(self, arrival: float, data: bytes) -> None:
        """Let bytes arrive at a time; those of several writers in its order."""
        if self._reader_link is not None:
            arrival = self._reader_link.incoming.queue(len(data), arrival)
        place = len(self._chunks)
        while place and self._chunks[place - 1][0] > arrival:
            place -= 1
        self._chunks.insert(place, (arrival, data))
        self._wakeup.set()

    def _is_silent(self) -> bool:
        return self._silent or self._opened_at <= self._network.streams_silent_until

    def go_silent(self) -> None:
        """Lose all that is sent from now on without a word."""
        self._silent = True
        self._dead_at = trio.current_time() + self.probe_time
        self._wakeup.set()

    def close(self) -> None:
        """The writer sends no more; what is on its way arrives before the end."""
        if self._end is None:
            self._end = trio.current_time() + self._latency()
            if self._chunks:
                self._end = max(self._end, self._chunks[-1][0])
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
            if self.broken or trio.current_time() >= self._dead_at:
                raise trio.BrokenResourceError("the connection was lost")
            with trio.move_on_after(self.probe_time) as probing:
                if await self._network.wait_while_cut(self._source, self._target):
                    continue
            if probing.cancelled_caught:
                self.break_off()
                continue
            due = self._chunks[0][0] if self._chunks else self._end
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
    """One end of a connection."""

    def __init__(self, incoming: Pipe, outgoing: Pipe) -> None:
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
        await self._outgoing.put(bytes(data))

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

    @property
    def last_sent_at(self) -> float:
        """When bytes were sent last, in either direction."""
        return max(self._incoming.used_at, self._outgoing.used_at)

    def go_silent(self) -> None:
        """Lose whatever is sent from now on, in both directions, without a word."""
        self._incoming.go_silent()
        self._outgoing.go_silent()

    def drop_silently(self) -> None:
        """Lose the connection at this end; the other one learns it when it sends."""
        self._incoming.reader_gone = True

    def reset(self) -> None:
        """Lose the connection at both ends."""
        self._incoming.break_off()
        self._outgoing.break_off()
