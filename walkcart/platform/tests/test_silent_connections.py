"""Open connections that go silent for good without an end, while new ones work.

To other instances: `test_links_that_went_silent_without_an_end_are_made_anew`.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = 6
OBJECTIVE = 0.2
#: Seconds after which questions don't meet silent connections any longer: the first
#: request on each finds it, and is taken for one at a leaf that stalls.
LEAF_BOUND = 0.25
#: Seconds until a change is in force though the watch of the store went silent: the
#: renewals of the lease, each second, meet the silence and end the watch.
STORE_BOUND = 3.0


def after_silence(act):
    """Run `act(world)` right after all open connections went silent."""

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
            return await act(world)

    return run_mocked(run)


async def ask(world, found):
    """Ask one question and note when, how long it took and its parts."""
    start = trio.current_time()
    reply = await world.ask("/all/x")
    stamps = reply.header(b"x-part-stamps") if reply.status == 200 else None
    parts = len(stamps.split(", ")) if stamps else 0
    found.append((start, trio.current_time() - start, parts))


def test_silent_connections_to_leafs_are_replaced():
    async def act(world):
        found = []
        silent_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(ask, world, found)
                await trio.sleep(0.05)
        return silent_at, found

    silent_at, found = after_silence(act)
    later = [item for item in found if item[0] > silent_at + LEAF_BOUND]
    assert all(parts == SHARDS for _, _, parts in later)
    assert all(elapsed < OBJECTIVE for _, elapsed, _ in later)
    # One question had sent everything before: both attempts at each leaf were lost.
    assert sum(1 for _, _, parts in found if not parts) <= 1


def test_a_silent_connection_to_the_store_is_replaced():
    async def act(world):
        world.configure(make_route("new", "/new/", backend="shard-0"))
        start = trio.current_time()
        while (await world.ask("/new/x")).status != 200:
            await trio.sleep(0.1)
        return trio.current_time() - start

    assert after_silence(act) < STORE_BOUND
