"""A configuration that sets no limit on requests, or one beyond all memory."""

import json
from functools import partial

import pytest
import trio

from walkcart.platform.tests.platformworld import HOST, make_route
from walkcart.platform.tests.test_memory_bounds import MAX_MEMORY, open_world

NO_LIMITS = {"maxHeaderBytes": 2**63 - 1, "maxBodyBytes": 2**63 - 1}
ROUTE = make_route("sound", "/sound/", backend="sound")


async def start_leaf(world):
    await world.start_leaf("i-sound", "sound", records=b"r" * 16)


def play(folder, run):
    return trio.run(
        partial(open_world, limits=NO_LIMITS), folder, start_leaf, run, ROUTE
    )


@pytest.mark.parametrize("size", [400_000, 4_000_000])
def test_heads_without_end_leave_memory_for_others(tmp_path, size):
    data = b"GET /sound/x HTTP/1.1\r\nhost: %b\r\n" % HOST.encode()
    data += b"x-more: " + b"y" * 1000 + b"\r\n"
    data += (b"x-more: " + b"y" * 8000 + b"\r\n") * (size // 8000)

    async def run(world, machine):
        async with trio.open_nursery() as nursery:
            for _ in range(600):
                nursery.start_soon(world.send_bytes, machine.callers, data, 5.0)
            await trio.sleep(3)
            reply = await world.ask(machine, "/sound/x")
        return reply and reply.status, machine.find_memory_peak()

    status, peak = play(tmp_path, run)
    assert status == 200
    assert peak < MAX_MEMORY


def test_limits_beyond_the_memory_are_bounded_and_logged(tmp_path):
    async def run(world, machine):
        statuses = []
        for stated in (2**40, 50_000_000):
            head = b"POST /sound/x HTTP/1.1\r\nhost: %b\r\ncontent-length: %d\r\n\r\n"
            data = head % (HOST.encode(), stated) + b"x" * 50_000_000
            received = await world.send_bytes(machine.callers, data, 5.0)
            statuses.append(received[9:12])
        reply = await world.ask(machine, "/sound/x", "POST", b"y" * 2_000_000)
        return statuses, reply and reply.status, machine.read_log()

    statuses, status, log = play(tmp_path, run)
    assert statuses == [b"413", b"413"]
    assert status == 200
    events = [json.loads(line) for line in log.splitlines()]
    (bounded,) = [item for item in events if item["event"] == "caller_limits_bounded"]
    assert bounded["stated_body_bytes"] == 2**63 - 1
    assert bounded["body_bytes"] == 300 * 2**20 // 8
