"""Check of whether a leaf's process has ended after it closed a connection.

A connection without a reply may also have been reset by the network or dropped by a
living leaf. If the process has ended, its address refuses new connections at once.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from walkcart.kernel.settings import parse_host_port
from walkcart.wire.network import Network

#: Seconds that the leaf's machine may take to refuse a connection: two round trips
#: between the users' farthest regions, and as much again for a busy machine here. After
#: that the state of the leaf's process is unknown.
CHECK_TIMEOUT = 0.1

#: Takes over a stream that was opened to a living leaf.
Adopt = Callable[[trio.abc.Stream], None]


class EndCheck:
    """Checks whether the process at one address has ended.

    Args:
        address: ``IP:port`` of the leaf.
        network: opens connections.
        adopt: takes over the stream of a check that found the process alive.
    """

    def __init__(self, address: str, network: Network, adopt: Adopt) -> None:
        self._address = address
        self._network = network
        self._adopt = adopt
        self._ended = False
        self._running: trio.Event | None = None

    async def has_ended(self) -> bool:
        """Return whether the process has certainly ended.

        All connections to an ended leaf close at once, so callers that come while a
        check is running wait for its result.
        """
        if self._running is not None:
            with trio.move_on_after(CHECK_TIMEOUT):
                await self._running.wait()
            return self._ended
        self._running = trio.Event()
        try:
            self._ended = await self._check()
            return self._ended
        finally:
            self._running.set()
            self._running = None

    async def _check(self) -> bool:
        with trio.move_on_after(CHECK_TIMEOUT):
            try:
                stream = await self._network.connect(parse_host_port(self._address))
            except ConnectionRefusedError:
                return True
            except OSError:
                # Not a refusal by the leaf's machine: the process may still live.
                return False
            self._adopt(stream)
        return False
