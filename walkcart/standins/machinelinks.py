"""Simulates the network link of one machine, which has a limited bandwidth.

See Also:
    `walkcart.standins.memory.MemoryNetwork`, whose sites may stand for a machine.
"""

from __future__ import annotations

import trio

#: Maximum number of bytes that one sender puts on the link at once, so that several
#: senders share the link.
CHUNK_SIZE = 16_384
#: Number of bytes that may wait in the machine before senders block, as in the send
#: buffers of an operating system.
BUFFER_SIZE = 65_536


class LinkDirection:
    """One direction of a machine's link.

    Args:
        rate: bandwidth, in bytes per second.
        lag: additional delay, in seconds, as on a machine with a busy processor.
    """

    def __init__(self, rate: float, lag: float = 0.0) -> None:
        self.rate = rate
        self.lag = lag
        self.total_bytes = 0
        self._free_at = float("-inf")

    def schedule(self, size: int, at: float) -> float:
        """Queue bytes that reach the link at a time.

        Returns:
            When the last byte leaves the link, in seconds of trio's clock.
        """
        self._free_at = max(at, self._free_at) + size / self.rate
        self.total_bytes += size
        return self._free_at + self.lag

    async def transmit(self, size: int) -> float:
        """Wait until the link has accepted `size` bytes.

        A sender that is cancelled meanwhile has already put some of them on the link.

        Returns:
            When the last byte leaves the link, in seconds of trio's clock.
        """
        remaining = size
        sent_at = trio.current_time()
        while remaining > 0:
            await trio.sleep_until(self._free_at - BUFFER_SIZE / self.rate)
            chunk = min(remaining, CHUNK_SIZE)
            sent_at = self.schedule(chunk, trio.current_time())
            remaining -= chunk
        return sent_at


class MachineLink:
    """Both directions of a machine's link.

    Args:
        rate: bandwidth of each direction, in bytes per second.
        lag: additional delay of incoming bytes, in seconds.
    """

    def __init__(self, rate: float, lag: float = 0.0) -> None:
        self.outgoing = LinkDirection(rate)
        self.incoming = LinkDirection(rate, lag)
