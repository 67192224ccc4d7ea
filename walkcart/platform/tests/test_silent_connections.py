"""Open connections that go silent for good without being closed; new ones work.

For connections between instances see test_delegation.py.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = 6
#: Latency objective of the route, in seconds.
OBJECTIVE = 0.2
#: Time after which no request uses a silent connection any longer, in seconds. The
#: first request on each detects the silence and is handled like one at a stalled leaf.
MAX_SILENT_LEAF_TIME = 0.25
#: Maximum time until a change is in force after the watch of the store went silent, in
#: seconds: the lease renewals, one per second, detect the silence and end the watch.
MAX_CHANGE_DELAY = 3.0


def after_silence(action):
    """Run `action(world)` right after all open connections went silent."""

    async def run():
        async with open_platform() as world:
            names = [f"shard-{number}" for number in range(SHARDS)]
            for name in names:
                await world.start_leaf(f"{name}-n", name, "north-a")
                await world.start_leaf(f"{name}-s", name, "south-a")
            route = {"fanoutServices": names, "topK": 3, "minCoverage": 0.5}
            world.configure(make_route("all", "/all/", **route))
            await world.start_instance("one")
            await world.wait_ready()
            await trio.sleep(10)
            for _ in range(20):
                await world.ask("/all/x")
            world.network.streams_silent_until = trio.current_time()
            await trio.sleep(0.01)
            return await action(world)

    return run_mocked(run)


async def ask(world, found):
    """Send one request; record its start, duration and number of parts."""
    start = trio.current_time()
    reply = await world.ask("/all/x")
    stamps = reply.header(b"x-part-stamps") if reply.status == 200 else None
    parts = len(stamps.split(", ")) if stamps else 0
    found.append((start, trio.current_time() - start, parts))


def test_silent_connections_to_leaves_are_replaced():
    async def act(world):
        found = []
        silent_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(ask, world, found)
                await trio.sleep(0.05)
        return silent_at, found

    silent_at, found = after_silence(act)
    later = [item for item in found if item[0] > silent_at + MAX_SILENT_LEAF_TIME]
    assert all(parts == SHARDS for _, _, parts in later)
    assert all(elapsed < OBJECTIVE for _, elapsed, _ in later)
    # One request may have sent everything before: both attempts at each leaf are lost.
    assert sum(1 for _, _, parts in found if not parts) <= 1


def test_silent_connection_to_the_store_is_replaced():
    async def act(world):
        world.configure(make_route("new", "/new/", backend="shard-0"))
        start = trio.current_time()
        while (await world.ask("/new/x")).status != 200:
            await trio.sleep(0.1)
        return trio.current_time() - start

    assert after_silence(act) < MAX_CHANGE_DELAY
