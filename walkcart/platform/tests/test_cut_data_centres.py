"""A data centre that is cut off, while other data centres hold the same shards."""

import json

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

#: Part of the log lines that report that a peer failed to gather an answer.
LOST = '"event": "delegate_lost"'
SHARDS = [f"shard-{number}" for number in range(4)]


def with_cut_off_data_centre(scenario):
    """Run `scenario(world)`: each shard in two data centres, one of them cut off."""

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
            return await scenario(world)

    return run_mocked(run)


def test_last_attempt_is_not_spent_in_a_cut_off_data_centre():
    async def scenario(world):
        statuses = []
        for _ in range(12):
            statuses.append((await world.ask("/all/x", "asker")).status)
        return statuses

    statuses = with_cut_off_data_centre(scenario)
    assert statuses == [200] * 12


def count_arrived_south(world):
    """Return the number of requests at the leaves of the cut-off data centre."""
    ids = [f"i-{number}-south-a" for number in range(len(SHARDS))]
    return sum(len(world.leafs[id].arrived) for id in ids)


def test_cut_off_data_centre_costs_one_timeout_per_gathering_instance():
    """Questions come every 2.7 s: longer than a silent instance is left alone."""

    async def scenario(world):
        for _ in range(20):
            assert (await world.ask("/all/x", "asker")).status == 200
            await trio.sleep(2.7)
        lost = [line for line in world.log.getvalue().splitlines() if LOST in line]
        peers = [json.loads(line)["peer"] for line in lost]
        for site in ("north-a", "east-a", "south-b"):
            world.network.heal("south-a", site)
        await trio.sleep(10)
        before = count_arrived_south(world)
        for _ in range(8):
            await world.ask("/all/x", "asker")
            await trio.sleep(0.5)
        return peers, count_arrived_south(world) - before

    peers, arrived = with_cut_off_data_centre(scenario)
    assert len(peers) == len(set(peers))
    # The instances there get groups again once the cut has healed.
    assert arrived > 0
