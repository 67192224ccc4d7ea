"""Second attempts at late leaves, while other instances gather groups of shards."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

#: Number of shards with a leaf in the asking instance's region, and of those without.
OWN_SHARDS = 8
FAR_SHARDS = 7


def request_with_a_paused_leaf(far_time):
    """Request all shards while one near leaf pauses; return parts and seconds.

    The leaves of the `FAR_SHARDS` shards are in the other region and take `far_time`.
    """

    async def run():
        async with open_platform() as world:
            own = [f"own-{number}" for number in range(OWN_SHARDS)]
            far = [f"far-{number}" for number in range(FAR_SHARDS)]
            for shard in own:
                for data_centre in ("north-a", "south-a"):
                    await world.start_leaf(f"{shard}-{data_centre}", shard, data_centre)
            for shard in far:
                await world.start_leaf(shard, shard, "south-a")
            route = {"fanoutServices": own + far, "topK": 3, "minCoverage": 0.5}
            world.configure(make_route("all", "/all/", targetLatencyMs=200, **route))
            await world.start_instance("asker", "north-a")
            await world.start_instance("helper", "south-a")
            await world.wait_ready("asker")
            await world.wait_ready("helper")
            await trio.sleep(10)
            for _ in range(20):
                await world.ask("/all/x", "asker")
            for shard in far:
                world.leafs[shard].faults.delay = far_time
            world.leafs["own-0-north-a"].faults.delay = 1.0
            start = trio.current_time()
            reply = await world.ask("/all/x", "asker")
            parts = len(reply.header(b"x-part-stamps").split(", "))
            return parts, trio.current_time() - start

    return run_mocked(run)


def test_paused_leaf_costs_no_part_while_another_instance_gathers_a_group():
    parts, elapsed = request_with_a_paused_leaf(far_time=0.13)
    assert parts == OWN_SHARDS + FAR_SHARDS
    assert elapsed < 0.2


def test_second_attempts_start_at_half_of_the_time_if_all_leaves_hang():
    """At first too many parts are late for second attempts.

    Without second attempts there is no answer at all.
    """

    async def run():
        async with open_platform() as world:
            shards = [f"own-{number}" for number in range(OWN_SHARDS)]
            for shard in shards:
                for data_centre in ("north-a", "south-a"):
                    await world.start_leaf(f"{shard}-{data_centre}", shard, data_centre)
            route = {"fanoutServices": shards, "topK": 3, "minCoverage": 0.9}
            world.configure(make_route("all", "/all/", targetLatencyMs=200, **route))
            await world.start_instance("asker", "north-a")
            await world.wait_ready("asker")
            await trio.sleep(10)
            for shard in shards:
                world.leafs[f"{shard}-north-a"].faults.delay = 60.0
            start = trio.current_time()
            reply = await world.ask("/all/x", "asker", deadline_ms=2000)
            return reply.status, trio.current_time() - start

    status, elapsed = run_mocked(run)
    assert status == 200
    assert 0.9 < elapsed < 1.2
