"""Whether a leaf has ended, once a connection to it was closed without a reply.

A closed connection may be one that the network reset or the leaf dropped. Of a process
that ended the address refuses a new one, at once.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from walkcart.kernel.settings import parse_host_port
from walkcart.wire.network import Network

#: Seconds for which the leaf's machine may take to refuse a connection: two round trips
#: between the users' farthest regions, and as much again for a busy machine here. Past
#: it nothing is known of the leaf's process.
CHECK_TIMEOUT = 0.1

#: Takes a stream that was opened to a leaf that lives.
Adopt = Callable[[trio.abc.Stream], None]


class EndCheck:
    """Looks whether the process at one address has ended.

    Args:
        address: ``IP:port`` of the leaf.
        network: to connect by.
        adopt: takes the stream of a check that found it alive.
    """

    def __init__(self, address: str, network: Network, adopt: Adopt) -> None:
        self._address = address
        self._network = network
        self._adopt = adopt
        self._ended = False
        self._running: trio.Event | None = None

    async def has_ended(self) -> bool:
        """Return whether the process has surely ended.

        All connections to a leaf close together, so those that ask meanwhile wait for
        the check that is under way.
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
                # Not told by the leaf's machine, so it says nothing of the process.
                return False
            self._adopt(stream)
        return False
