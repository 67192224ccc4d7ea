"""Connections to the port for peers that announce messages and hold back their end.

The memory for each announced message is taken when its length is known.
"""

import pytest
import trio

from walkcart.platform.tests.soakinput import PEER_HANDSHAKE, frame, send_bytes
from walkcart.platform.tests.test_peer_port import MAX_MEMORY, attack

#: Most of what instances send is shorter; and the longest that they send.
LENGTHS = {"short": 65_000, "longest": 4 << 20}


@pytest.mark.parametrize(
    "kind, connections", [("short", 1500), ("longest", 150)], ids=["short", "longest"]
)
def test_messages_whose_end_is_held_back_leave_memory(tmp_path, kind, connections):
    length = LENGTHS[kind]
    data = PEER_HANDSHAKE + frame(b"x" * (length - 5), length)

    async def act(nursery, address):
        async with trio.open_nursery() as senders:
            for _ in range(connections):
                senders.start_soon(send_bytes, address, data, 6.0)

    peak, events = trio.run(attack, tmp_path, act)
    assert peak < MAX_MEMORY
    is_full = any(event["event"] == "connections_full" for event in events)
    assert is_full == (kind == "short")
