"""A busy instance that acts late keeps to the leaves that a route allows.

When its event loop was late, a hedge and the request for late parts came due in the
same pass. Both were sent, though each was the last attempt that the route allowed, so
that the request ran on three leaves of a shard where two are allowed.
"""

from random import Random

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.fanout.routed import RoutedGathering
from walkcart.platform.tests.platformworld import make_route, open_platform

#: More shards than one instance asks by itself, so that late parts are asked for
#: together; each has a leaf in every region, more than may run a question.
SHARDS = 30
REGIONS = ("north", "south", "east")
MAX_ATTEMPTS = 2
#: Seconds by which a busy instance may act late.
LATE_TIMES = (0.0, 0.0, 0.01, 0.03, 0.06)
#: Seconds that leaves take longer.
LEAF_DELAYS = (0.0, 0.0, 0.0, 0.03, 0.1, 0.6)


def run_busy_instances(monkeypatch, seed):
    """Ask questions of busy instances while some leaves are slow.

    Returns:
        The leaves that ran a question, keyed by question and shard.
    """
    random = Random(seed)
    wait = RoutedGathering._wait

    async def wait_longer(gathering):
        await wait(gathering)
        await trio.sleep(random.choice(LATE_TIMES))

    async def run():
        async with open_platform() as world:
            world.repeat_allowance = 300
            names = [f"shard-{number}" for number in range(SHARDS)]
            instances = []
            for region in REGIONS:
                for number in range(2):
                    instances.append(f"{region}-{number}")
                    await world.start_instance(instances[-1], f"{region}-a")
            for number, name in enumerate(names):
                for region in REGIONS:
                    id = f"i-{number}-{region}"
                    await world.start_leaf(id, name, f"{region}-a", work=0.02)
            route = make_route(
                "all",
                "/all/",
                fanoutServices=names,
                topK=3,
                minCoverage=0.9,
                targetLatencyMs=150,
                timeoutMs=2000,
                maxAttempts=MAX_ATTEMPTS,
            )
            world.configure(route)
            for name in instances:
                await world.wait_ready(name)
            await trio.sleep(12)
            monkeypatch.setattr(RoutedGathering, "_wait", wait_longer)
            for _ in range(8):
                for leaf in world.leafs.values():
                    leaf.faults.delay = random.choice(LEAF_DELAYS)
                async with trio.open_nursery() as nursery:
                    for _ in range(6):
                        name = random.choice(instances)
                        nursery.start_soon(world.ask, "/all/x", name)
                        await trio.sleep(0.05)
                await trio.sleep(1)
            return find_runs(world)

    return run_mocked(run)


def find_runs(world):
    """Return the leaves that ran a question, keyed by question and shard."""
    runs = {}
    for id, leaf in world.leafs.items():
        shard = id.split("-")[1]
        for question in leaf.ran:
            runs.setdefault((question, shard), set()).add(id)
    return runs


@pytest.mark.parametrize("seed", (1, 4, 10, 15))
def test_hedge_and_late_request_due_at_once_stay_within_max_attempts(monkeypatch, seed):
    runs = run_busy_instances(monkeypatch, seed)
    assert runs
    too_many = {
        key: leaves for key, leaves in runs.items() if len(leaves) > MAX_ATTEMPTS
    }
    assert not too_many
