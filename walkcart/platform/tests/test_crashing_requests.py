"""Requests that crash the leaves which run them are kept from further leaves.

The failure: all leaves of a service crash within 0.3 s, and for three seconds the
service answers no question. Each time the same request has been retried, at any
instance.

A question goes to one leaf of each shard, and each of these leaves crashes. The second
attempt crashes the other leaf of each shard. The caller gets 502 and retries at another
instance, which does the same to the leaves that have restarted.

It comes about when an instance treats a leaf that crashes during a question as merely
lost, doesn't remember the question from one attempt to the next, and doesn't tell the
other instances. The signs: each leaf's connections close at once and new ones are
refused, in the order in which the question's requests reach the leaves; that question
gets no part at all, while concurrent questions get parts from the leaves that it hasn't
reached.
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
CRASHING_TARGET = "/all/bad"
#: Seconds between two tries of the crashing request, and the number of tries.
TRY_INTERVAL = 2.0
TRIES = 12
#: Tries that may reach leaves after all instances should know of the request.
MAX_LATE = 3


def run_scenario(scenario, single=False):
    """Run `scenario(crashing)` with shards, or with one service of four leaves."""

    async def run():
        async with open_platform() as world:
            crashing = CrashingWorld(world, {CRASHING_TARGET, "/one/bad"})
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
            return await scenario(crashing)

    return run_mocked(run)


async def retry_requests(crashing, target, tries=TRIES, interval=TRY_INTERVAL):
    """Send the crashing request `tries` times, to the instances in turn."""
    statuses = []
    for number in range(tries):
        name = INSTANCES[number % len(INSTANCES)]
        statuses.append((await crashing.world.ask(target, name)).status)
        await trio.sleep(interval)
    return statuses


def test_question_that_crashes_leaves_is_soon_kept_from_them():
    async def scenario(crashing):
        await retry_requests(crashing, CRASHING_TARGET)
        return crashing.find_late_requests(CRASHING_TARGET), len(crashing.ended)

    late, ended = run_scenario(scenario)
    assert len(late) <= MAX_LATE
    # One leaf of each shard and a few more: not each second leaf, and not repeatedly.
    assert ended <= SHARDS + 4


def test_single_leaf_request_that_crashes_leaves_is_soon_kept_from_them():
    async def scenario(crashing):
        await retry_requests(crashing, "/one/bad")
        return crashing.find_late_requests("/one/bad"), len(crashing.ended)

    late, ended = run_scenario(scenario, single=True)
    assert len(late) <= MAX_LATE
    assert ended <= 4
