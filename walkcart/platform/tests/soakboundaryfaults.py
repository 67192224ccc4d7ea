"""Faults of a soak test that take a daemon to its bounds on memory."""

from __future__ import annotations

import trio

from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakinput import PEER_HANDSHAKE, frame, send_bytes
from walkcart.platform.tests.soakinputfaults import find_peer_port

#: Connections that hold back the end of a message, and its length.
HELD_CONNECTIONS = 150
HELD_LENGTH = 4 << 20


async def hold_back_messages(soaked: Soaked, name: str, duration: float) -> None:
    """Announce long messages to the port for peers, and send all but their ends."""
    address = await find_peer_port(soaked, name)
    if address is None:
        return
    data = PEER_HANDSHAKE + frame(b"x" * (HELD_LENGTH - 5), HELD_LENGTH)
    async with trio.open_nursery() as nursery:
        for _ in range(HELD_CONNECTIONS):
            nursery.start_soon(send_bytes, address, data, duration)
