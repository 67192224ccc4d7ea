"""Load on leafs that refuse part of their requests while they seem well."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = 10
#: Seconds between two questions: 50 a second, for two seconds.
PAUSE = 0.02
QUESTIONS = 100
#: Repeats that may be sent to one service meanwhile, of all instances: a fifth of the
#: requests and the allowance of the settings.
MOST_REPEATS = QUESTIONS * 0.2 + 54


def play_load(grey, least_coverage=1.0):
    """Ask under load; return the parts of each answer (0: none) and arrivals a shard.

    Args:
        grey: leafs that refuse six of ten requests, as pairs of shard and copy.
        least_coverage: share of the shards that an answer must cover.
    """

    async def run():
        async with open_platform() as world:
            names = [f"shard-{number}" for number in range(SHARDS)]
            for shard in range(SHARDS):
                for copy in range(2):
                    id = f"i-{shard}{copy}"
                    await world.start_leaf(id, names[shard])
            route = {"fanoutServices": names, "topK": 3, "minCoverage": least_coverage}
            world.configure(make_route("all", "/all/", **route))
            await world.start_instance("one")
            await world.wait_ready("one")
            await trio.sleep(12)
            for shard, copy in grey:
                world.leafs[f"i-{shard}{copy}"].faults.refuse_tenths = 6
            parts = []
            async with trio.open_nursery() as nursery:
                for _ in range(QUESTIONS):
                    nursery.start_soon(ask, world, parts)
                    await trio.sleep(PAUSE)
            arrived = [
                sum(len(world.leafs[f"i-{shard}{copy}"].arrived) for copy in range(2))
                for shard in range(SHARDS)
            ]
            return parts, arrived

    return run_mocked(run)


async def ask(world, parts):
    """Ask one question and note how many parts its answer has."""
    reply = await world.ask("/all/x", "one")
    stamps = reply.header(b"x-part-stamps") if reply.status == 200 else None
    parts.append(len(stamps.split(", ")) if stamps else 0)


def test_leafs_that_refuse_get_little_where_their_siblings_are_well():
    grey = [(shard, 0) for shard in range(SHARDS)]
    parts, arrived = play_load(grey)
    whole = sum(1 for count in parts if count == SHARDS)
    assert whole == QUESTIONS
    # Of 1,000 first requests few are refused before the leafs are known for it.
    assert sum(arrived) < 1.05 * QUESTIONS * SHARDS


def test_repeats_go_where_answers_depend_on_them():
    """All leafs of four shards refuse, and an answer may lack two shards."""
    grey = [(shard, copy) for shard in range(4) for copy in range(2)]
    parts, arrived = play_load(grey, least_coverage=0.8)
    assert sum(1 for count in parts if count) >= 0.97 * QUESTIONS
    assert all(count <= QUESTIONS + MOST_REPEATS for count in arrived)
