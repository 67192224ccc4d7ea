"""The link of one machine in memory: bytes pass one after the other.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, whose sites may stand for a machine.
"""

from __future__ import annotations

import trio

#: Bytes of one sender that are put on the link at once, so that senders share it.
CHUNK_SIZE = 16_384
#: Bytes that wait in the machine before senders are held up: a kernel's buffers.
BUFFER_SIZE = 65_536


class LinkDirection:
    """One direction of a machine's link.

    Args:
        rate: bytes a second that it carries.
        lag: seconds that the machine takes besides, as one whose processor is busy.
    """

    def __init__(self, rate: float, lag: float = 0.0) -> None:
        self.rate = rate
        self.lag = lag
        self.total_bytes = 0
        self._free_at = float("-inf")

    def schedule(self, size: int, at: float) -> float:
        """Take bytes that come at a time; return when the last of them is through."""
        self._free_at = max(at, self._free_at) + size / self.rate
        self.total_bytes += size
        return self._free_at + self.lag

    async def transmit(self, size: int) -> float:
        """Wait until `size` bytes were taken; return when the last one is through.

        A sender that is cancelled meanwhile has put a part of them on the link.
        """
        left = size
        sent_at = trio.current_time()
        while left > 0:
            await trio.sleep_until(self._free_at - BUFFER_SIZE / self.rate)
            chunk = min(left, CHUNK_SIZE)
            sent_at = self.schedule(chunk, trio.current_time())
            left -= chunk
        return sent_at


class MachineLink:
    """Both directions of a machine's link.

    Args:
        rate: bytes a second that each carries.
        lag: seconds that the machine takes for what comes in, besides.
    """

    def __init__(self, rate: float, lag: float = 0.0) -> None:
        self.outgoing = LinkDirection(rate)
        self.incoming = LinkDirection(rate, lag)
