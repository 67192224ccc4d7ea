"""Memory stays bounded however many long bodies are under way at once."""

import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes

#: Bytes of memory that an instance may take: its machine has 300 MB, which its kernel
#: buffers and a peak of other work share.
MAX_MEMORY = 200 << 20
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
