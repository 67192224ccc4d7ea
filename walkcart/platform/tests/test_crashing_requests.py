"""Requests that end the leafs which run them.

What users saw: again and again all leafs of a service ended within 0.3 s, and for three
seconds no question to it was answered. Each time one and the same request had come once
more, at whichever instance.

The order of events: a question goes to one leaf of each shard, and each ends. It is
sent again to the other leaf of each shard, which ends too. The caller, who has 502,
asks again at another instance, which does the same with whatever leafs are back.

The cause: a leaf that ended under a question was taken for a lost leaf, and nothing
remembered the question from one try to the next, or told other instances.

The evidence: each leaf's connections closed at once and new ones were refused, in the
order in which one question's requests reached the leafs; it got no part at all, while
questions that ran beside it got those of the leafs that it hadn't reached.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.crashingworld import (
    CrashingWorld,
    make_sharded_route,
)
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = 10
INSTANCES = ("one", "two", "three")
BAD = "/all/bad"
#: Seconds between two tries of the bad request, and how many come.
PAUSE = 2.0
TRIES = 12
#: Tries that may reach leafs after all instances are to know.
MOST_LATE = 3


def play(act, single=False):
    """Play with instances before the leafs of shards, or of one service."""

    async def run():
        async with open_platform() as world:
            crashing = CrashingWorld(world, {BAD, "/one/bad"})
            if single:
                for _ in range(4):
                    await crashing.start_leaf("service")
                world.configure(make_route("one", "/one/", backend="service"))
            else:
                names = await crashing.start_shards(SHARDS)
                world.configure(make_sharded_route(names))
            for name in INSTANCES:
                await world.start_instance(name)
                await world.wait_ready(name)
            await trio.sleep(3)
            return await act(crashing)

    return run_mocked(run)


async def ask_again(crashing, target, tries=TRIES, pause=PAUSE):
    """Send the bad request again and again, to one instance after the other."""
    statuses = []
    for number in range(tries):
        name = INSTANCES[number % len(INSTANCES)]
        statuses.append((await crashing.world.ask(target, name)).status)
        await trio.sleep(pause)
    return statuses


def test_a_question_that_ends_leafs_is_soon_kept_from_them():
    async def act(crashing):
        await ask_again(crashing, BAD)
        return crashing.late_tries(BAD), len(crashing.ended)

    late, ended = play(act)
    assert len(late) <= MOST_LATE
    # One leaf of each shard, and few more: not the siblings too, not again and again.
    assert ended <= SHARDS + 4


def test_a_request_to_one_leaf_that_ends_it_is_soon_kept_from_leafs():
    async def act(crashing):
        await ask_again(crashing, "/one/bad")
        return crashing.late_tries("/one/bad"), len(crashing.ended)

    late, ended = play(act, single=True)
    assert len(late) <= MOST_LATE
    assert ended <= 4
