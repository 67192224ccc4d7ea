"""Instances that start again while leaves leave without announcing it.

A killed instance read the entries of the leaves when it started again. The read took
several pages, each some seconds old. One showed a leaf whose entry was removed shortly
before, another one was from after the removal, and the watch began there. So the
instance never learned of the removal, and went on sending requests that must not repeat
to a leaf that ended soon after.
"""

from random import Random

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

#: Leaves beside those that get requests; their entries fill further pages.
OTHERS = 100
LEAVES = 7
#: Seconds between two writings of a leaf's entry.
HEARTBEAT = 1.2
#: Greatest age of a page, in seconds.
MAX_AGE = 3.0
#: Seconds after the removal of its entry in which a leaf may still get requests.
DRAIN = 3.0
#: Seconds after its start from which an instance must be up to date.
CONTACT = 4.0


def restart_while_leaves_leave(seed, instances, rounds=4):
    """Restart all instances several times while a leaf leaves.

    Returns:
        Seconds after the removal of their leaf's entry at which requests arrived too
        late, and the targets of all calls to the store.
    """
    random = Random(seed)
    rate = (OTHERS + LEAVES) / HEARTBEAT
    names = ["one", "two", "three"][:instances]

    async def run():
        async with open_platform() as world:
            for number in range(OTHERS):
                id = f"i-{random.getrandbits(32):08x}"
                world.add_entry(id, f"shard-{number}")
            leaving = []
            for _ in range(LEAVES):
                id = f"i-{random.getrandbits(32):08x}"
                await world.start_leaf(id, "bay")
                leaving.append(id)
            world.configure(
                make_route("bay", "/bay/", backend="bay", routeType="non_idempotent")
            )
            world.store.faults.draw_lag = lambda: int(random.uniform(0, MAX_AGE) * rate)
            world.nursery.start_soon(world.rewrite_entries, HEARTBEAT)
            await trio.sleep(MAX_AGE)
            late = []
            for _ in range(rounds):
                late += await _play_round(world, names, leaving.pop(), random)
            return late, world.store.targets

    return run_mocked(run)


async def _play_round(world, names, id, random):
    """Kill the instances, remove a leaf's entry, start them; return late arrivals."""
    for name in names:
        if name in world.tenants:
            world.tenants[name].scope.cancel()
    removed_at = trio.current_time()
    world.store.remove(f"servers/{id}")
    await trio.sleep(random.uniform(0.2, 1.5))
    for name in names:
        await world.start_instance(name)
    started_at = trio.current_time()
    for name in names:
        await world.wait_ready(name)
    await trio.sleep_until(max(started_at + CONTACT, removed_at + DRAIN))
    before = len(world.leafs[id].arrived)
    for _ in range(40):
        for name in names:
            await world.ask("/bay/2f", name, "POST")
        await trio.sleep(0.05)
    return [id] * (len(world.leafs[id].arrived) - before)


@pytest.mark.parametrize("instances", [1, 3])
@pytest.mark.parametrize("seed", range(4))
def test_restarted_instances_learn_which_leaves_have_left(seed, instances):
    """Guards against a removal that falls between the ages of two pages."""
    late, targets = restart_while_leaves_leave(seed, instances)
    assert late == []
    reads = [item for item in targets if "kv-range?pathPrefix=servers" in item]
    assert reads
    # No start pays for fresh reads of every entry.
    assert all("serializable=1" in item for item in reads)
