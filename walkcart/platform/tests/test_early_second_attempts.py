"""Late parts are asked for again as soon as that costs nobody a slot."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = [f"shard-{number}" for number in range(6)]
OBJECTIVE_MS = 400


def play(action):
    """Run `action(world)` with two leafs for each shard, which one instance knows."""

    async def run():
        async with open_platform() as world:
            for shard in SHARDS:
                for copy in "ab":
                    await world.start_leaf(f"{shard}-{copy}", shard, records=b"r" * 16)
            route = {"fanoutServices": SHARDS, "topK": 4, "minCoverage": 1.0}
            world.configure(
                make_route("all", "/all/", targetLatencyMs=OBJECTIVE_MS, **route)
            )
            await world.start_instance("one")
            await world.wait_ready("one")
            # For its first window an instance leaves most repeats to its former life.
            await trio.sleep(11)
            for _ in range(40):
                await world.ask("/all/x")
            return await action(world)

    return run_mocked(run)


async def ask_timed(world):
    start = trio.current_time()
    reply = await world.ask("/all/x")
    return reply.status, trio.current_time() - start


def make_slow(world, shards, copies):
    for shard in shards:
        for copy in copies:
            world.leafs[f"{shard}-{copy}"].faults.delay = 0.3


def test_callers_get_whole_answers_long_before_the_objective_under_slow_leafs():
    async def act(world):
        # Where more are late the service is slow, and second attempts are of no use.
        make_slow(world, SHARDS[:2], "a")
        return [await ask_timed(world) for _ in range(10)]

    asked = play(act)
    assert {status for status, _ in asked} == {200}
    # Planned for the latest moment they came to nothing: the slow leafs answered after
    # 0.31 s, just before.
    assert max(elapsed for _, elapsed in asked) < OBJECTIVE_MS / 1000 / 4


def test_a_busy_leaf_is_spared_until_the_last_moment():
    async def act(world):
        make_slow(world, SHARDS, "ab")
        sent = sum(len(leaf.arrived) for leaf in world.leafs.values())
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(ask_timed, world)
            # All slots are taken: four questions at two leafs of two slots.
            await trio.sleep(0.15)
            early = sum(len(leaf.arrived) for leaf in world.leafs.values()) - sent
        return early

    assert play(act) == 4 * len(SHARDS)
