"""Load on leaves that refuse part of their requests while they seem healthy."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = 10
#: Seconds between two questions, and their number: 50 per second for two seconds.
QUESTION_INTERVAL = 0.02
QUESTIONS = 100
#: Repeats that all instances together may send to one service under the load: a fifth
#: of the requests, and the allowance of the settings.
MAX_REPEATS = QUESTIONS * 0.2 + 54


def run_load(refusing, least_coverage=1.0):
    """Ask questions under load.

    Args:
        refusing: leaves that refuse six of ten requests, as pairs of shard and copy.
        least_coverage: share of the shards that an answer must cover.

    Returns:
        The number of parts of each answer (0 without an answer), and the number of
        requests that arrived at each shard.
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
            for shard, copy in refusing:
                world.leafs[f"i-{shard}{copy}"].faults.refuse_tenths = 6
            parts = []
            async with trio.open_nursery() as nursery:
                for _ in range(QUESTIONS):
                    nursery.start_soon(ask, world, parts)
                    await trio.sleep(QUESTION_INTERVAL)
            arrived = [
                sum(len(world.leafs[f"i-{shard}{copy}"].arrived) for copy in range(2))
                for shard in range(SHARDS)
            ]
            return parts, arrived

    return run_mocked(run)


async def ask(world, parts):
    """Ask one question and record the number of parts of its answer."""
    reply = await world.ask("/all/x", "one")
    stamps = reply.header(b"x-part-stamps") if reply.status == 200 else None
    parts.append(len(stamps.split(", ")) if stamps else 0)


def test_refusing_leaves_get_little_where_other_leaves_are_healthy():
    refusing = [(shard, 0) for shard in range(SHARDS)]
    parts, arrived = run_load(refusing)
    complete = sum(1 for count in parts if count == SHARDS)
    assert complete == QUESTIONS
    # Of 1,000 first requests few are refused before the leaves are known to refuse.
    assert sum(arrived) < 1.05 * QUESTIONS * SHARDS


def test_repeats_go_to_shards_that_answers_depend_on():
    """All leaves of four shards refuse, and an answer may lack two shards."""
    refusing = [(shard, copy) for shard in range(4) for copy in range(2)]
    parts, arrived = run_load(refusing, least_coverage=0.8)
    assert sum(1 for count in parts if count) >= 0.97 * QUESTIONS
    assert all(count <= QUESTIONS + MAX_REPEATS for count in arrived)
