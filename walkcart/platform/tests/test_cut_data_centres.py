"""A data centre that nothing comes from any more, and its leafs' siblings elsewhere."""

import json

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

LOST = '"event": "delegate_lost"'
SHARDS = [f"shard-{number}" for number in range(4)]


def with_a_cut(action):
    """Run `action(world)`: each shard in two data centres, one of which is cut off."""

    async def run():
        async with open_platform() as world:
            for number, shard in enumerate(SHARDS):
                for place in ("south-a", "east-a"):
                    await world.start_leaf(
                        f"i-{number}-{place}", shard, place, records=b"A" * 16
                    )
            route = {"fanoutServices": SHARDS, "topK": 3, "minCoverage": 1.0}
            world.configure(make_route("all", "/all/", **route))
            await world.start_instance("asker", "north-a")
            for name, place in (
                ("south-1", "south-a"),
                ("south-2", "south-a"),
                ("south-3", "south-a"),
                ("south-4", "south-a"),
                ("south-5", "south-a"),
                ("east-1", "east-a"),
            ):
                await world.start_instance(name, place)
            await world.wait_ready("asker")
            await trio.sleep(10)
            for site in ("north-a", "east-a", "south-b"):
                world.network.cut("south-a", site)
            return await action(world)

    return run_mocked(run)


def test_the_last_attempt_is_not_spent_in_a_data_centre_that_is_cut_off():
    async def act(world):
        statuses = []
        for _ in range(12):
            statuses.append((await world.ask("/all/x", "asker")).status)
        return statuses

    statuses = with_a_cut(act)
    assert statuses == [200] * 12


def count_southern(world):
    """Return how many requests leafs of the data centre that was cut off got."""
    ids = [f"i-{number}-south-a" for number in range(len(SHARDS))]
    return sum(len(world.leafs[id].arrived) for id in ids)


def test_a_data_centre_that_is_cut_off_costs_each_of_its_gatherers_one_wait():
    """Questions come each few seconds: later than one that was silent is left alone."""

    async def act(world):
        for _ in range(20):
            assert (await world.ask("/all/x", "asker")).status == 200
            await trio.sleep(2.7)
        lost = [line for line in world.log.getvalue().splitlines() if LOST in line]
        peers = [json.loads(line)["peer"] for line in lost]
        for site in ("north-a", "east-a", "south-b"):
            world.network.heal("south-a", site)
        await trio.sleep(10)
        before = count_southern(world)
        for _ in range(8):
            await world.ask("/all/x", "asker")
            await trio.sleep(0.5)
        return peers, count_southern(world) - before

    peers, southern = with_a_cut(act)
    assert len(peers) == len(set(peers))
    # They get groups again once the cut has healed.
    assert southern > 0
