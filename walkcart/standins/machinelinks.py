"""The network link of one machine, which carries bytes one after the other at a rate.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, whose sites may stand for a machine.
"""

from __future__ import annotations

import trio

#: Maximum number of bytes that one sender puts on the link at once, so that senders
#: share it.
CHUNK_SIZE = 16_384
#: Number of bytes that wait in the machine before senders are blocked, as in the
#: buffers of the operating system's kernel.
BUFFER_SIZE = 65_536


class LinkDirection:
    """One direction of a machine's link.

    Args:
        rate: its rate, in bytes a second.
        lag: additional delay by the machine, in seconds, as with a busy processor.
    """

    def __init__(self, rate: float, lag: float = 0.0) -> None:
        self.rate = rate
        self.lag = lag
        self.total_bytes = 0
        self._free_at = float("-inf")

    def schedule(self, size: int, at: float) -> float:
        """Queue bytes that arrive at a time; return when the last one is through."""
        self._free_at = max(at, self._free_at) + size / self.rate
        self.total_bytes += size
        return self._free_at + self.lag

    async def transmit(self, size: int) -> float:
        """Wait until the link has accepted `size` bytes; return when all are through.

        A sender that is cancelled meanwhile has already put some of them on the link.
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
        rate: rate of each direction, in bytes a second.
        lag: additional delay of incoming bytes by the machine, in seconds.
    """

    def __init__(self, rate: float, lag: float = 0.0) -> None:
        self.outgoing = LinkDirection(rate)
        self.incoming = LinkDirection(rate, lag)
