"""Memory stays bounded however many long bodies are under way at once."""

from functools import partial

import pytest
import trio

from walkcart.platform.tests.platformworld import HOST, make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.rawleafs import (
    answer_endlessly,
    answer_with,
    make_stamped_head,
    start_raw_leaf,
)
from walkcart.platform.tests.test_endless_replies import REPLIES

#: Bytes of memory that an instance may take: its machine has 300 MB, of which 50 are
#: left for what the kernel has received and not been asked for.
MAX_MEMORY = 250 << 20
SHARDS = [f"shard-{number}" for number in range(20)]


async def open_world(folder, start_leafs, run, *routes, limits=None):
    """Run `run` with one ready instance, and return what it returns."""
    async with open_processes(folder) as world:
        await start_leafs(world)
        world.configure(*routes, **(limits or {}))
        machine = world.add_machine()
        world.start(machine)
        await world.wait_ready(machine)
        found = await run(world, machine)
        assert machine.ends == []
        return found


async def ask_many(world, machine, path, count, body=b"", deadline_ms=5000):
    """Send `count` requests at once; return the replies."""
    replies = []

    async def ask():
        method = "POST" if body else "GET"
        replies.append(await world.ask(machine, path, method, body, deadline_ms))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(ask)
    return replies


def test_requests_to_many_shards_share_one_body(tmp_path):
    requests, size = 40, 250_000

    async def start_leafs(world):
        for shard in SHARDS:
            await world.start_leaf(f"i-{shard}", shard, records=b"r" * 16)

    async def run(world, machine):
        before = machine.find_memory_peak()
        body = b"x" * size
        replies = await ask_many(world, machine, "/all/x", requests, body)
        return [reply and reply.status for reply in replies], (
            machine.find_memory_peak() - before
        )

    route = make_route("all", "/all/", fanoutServices=SHARDS, topK=5, timeoutMs=5000)
    statuses, growth = trio.run(open_world, tmp_path, start_leafs, run, route)
    assert statuses == [200] * requests
    # Six times the bodies; a copy for each shard is 20 times.
    assert growth < 6 * requests * size


@pytest.mark.parametrize("shards", [4, 20])
@pytest.mark.parametrize("kind", ["no-length", "chunks"])
def test_endless_replies_from_all_leafs_leave_memory_for_others(tmp_path, kind, shards):
    async def start_leafs(world):
        await world.start_leaf("i-sound", "sound", records=b"r" * 16)
        for shard in SHARDS[:shards]:
            for data_centre in ("north-a", "south-a"):
                answer = answer_endlessly(REPLIES[kind])
                id = f"i-{shard}-{data_centre}"
                await start_raw_leaf(world, id, shard, answer, data_centre)

    async def run(world, machine):
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_many, world, machine, "/all/x", 40)
            for _ in range(5):
                reply = await world.ask(machine, "/sound/x", deadline_ms=5000)
                statuses.append(reply and reply.status)
        return statuses, machine.find_memory_peak()

    statuses, peak = trio.run(
        open_world,
        tmp_path,
        start_leafs,
        run,
        make_route("all", "/all/", fanoutServices=SHARDS[:shards], topK=5),
        make_route("sound", "/sound/", backend="sound", timeoutMs=5000),
    )
    assert statuses == [200] * 5
    assert peak < MAX_MEMORY


def test_long_replies_are_freed_after_their_requests(tmp_path):
    size = 1_000_000

    async def start_leafs(world):
        await start_raw_leaf(
            world,
            "i-long",
            "long",
            answer_with(
                lambda request: (
                    make_stamped_head(request)
                    + b"content-length: %d\r\n\r\n" % size
                    + b"x" * size
                )
            ),
        )

    async def run(world, machine):
        statuses = []
        for _ in range(100):
            replies = await ask_many(world, machine, "/long/x", 1)
            statuses += [reply and len(reply.body) for reply in replies]
        return statuses

    route = make_route("long", "/long/", backend="long", timeoutMs=5000)
    assert trio.run(open_world, tmp_path, start_leafs, run, route) == [size] * 100


def test_unfinished_bodies_of_callers_leave_memory_for_others(tmp_path):
    size = 900_000

    async def start_leafs(world):
        await world.start_leaf("i-sound", "sound", records=b"r" * 16)

    async def run(world, machine):
        replies = []
        head = b"POST /sound/x HTTP/1.1\r\nhost: %b\r\ncontent-length: %d\r\n\r\n"
        data = head % (HOST.encode(), size + 1) + b"x" * size

        async def send():
            replies.append(await world.send_bytes(machine.callers, data, 4.0))

        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(send)
            await trio.sleep(2.0)
            reply = await world.ask(machine, "/sound/x", "POST", b"small")
        return reply and reply.status, replies, machine.find_memory_peak()

    status, replies, peak = trio.run(
        partial(open_world, limits={"maxBodyBytes": 1 << 20}),
        tmp_path,
        start_leafs,
        run,
        make_route("sound", "/sound/", backend="sound"),
    )
    assert status == 200
    refused = [reply for reply in replies if reply.startswith(b"HTTP/1.1 503")]
    assert refused
    assert all(b"retry-after: 1.000" in reply.lower() for reply in refused)
    assert peak < MAX_MEMORY


def test_pipelined_requests_on_many_connections_take_little_memory(tmp_path):
    connections = 500

    async def start_leafs(world):
        await world.start_leaf("i-slow", "slow", work=6.0)

    async def run(world, machine):
        before = machine.find_memory_peak()
        head = b"GET /slow/x HTTP/1.1\r\nhost: %b\r\nx-deadline-ms: 5000\r\n\r\n"
        data = head % HOST.encode() * 4000
        async with trio.open_nursery() as nursery:
            for _ in range(connections):
                nursery.start_soon(world.send_bytes, machine.callers, data, 2.0)
        return machine.find_memory_peak() - before

    growth = trio.run(
        open_world,
        tmp_path,
        start_leafs,
        run,
        make_route("slow", "/slow/", backend="slow", timeoutMs=6000),
    )
    # A connection may hold 16 kB that came early, and what a request takes anyway.
    assert growth < connections * (80 << 10)
