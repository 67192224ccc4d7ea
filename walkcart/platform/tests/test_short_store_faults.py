"""A leaf whose entry goes while the store has faults that are too short for a lapse."""

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import make_route, open_platform

#: Maximum time from the removal of an entry until its leaf gets no further request, in
#: seconds.
MAX_DRAIN_TIME = 3.0
#: Time after which a started instance is in touch, in seconds.
SETTLE_TIME = 10


async def cut_calls(world):
    for stream in world.network.find_streams(world.store_address):
        await stream.aclose()


def refuse(status):
    async def disturb(world):
        world.store.faults.refusal = status
        await trio.sleep(0.3)
        world.store.faults.refusal = 0

    return disturb


async def fall_silent(world):
    world.store.faults.silent = True
    await trio.sleep(0.3)
    world.store.faults.silent = False


async def drop_history(world):
    world.store.compact()
    await trio.sleep(0)


async def slow_down(world):
    world.store.faults.latency = 0.3
    await trio.sleep(0.3)
    world.store.faults.latency = 0.004


async def lose_reply(world):
    world.store.faults.lose_watches = 1
    await cut_calls(world)


FAULTS = {
    "cut": cut_calls,
    "429": refuse(429),
    "503": refuse(503),
    "history": drop_history,
    "silent": fall_silent,
    "slow": slow_down,
    "lost": lose_reply,
}


async def repeat(disturb, world, interval):
    while True:
        await disturb(world)
        await trio.sleep(interval)


def remove_leaf(faults, interval, count, restart=False):
    """Remove a leaf beside faults; return who knows it later, and its late requests.

    Args:
        faults: names of the faults, which go on at the same time.
        interval: seconds between two faults of a kind.
        count: number of instances.
        restart: whether an instance is started again just before the removal.
    """

    async def run():
        async with open_platform() as world:
            for number in range(2):
                await world.start_leaf(f"p-{number}", "plain", records=b"body")
            world.configure(make_route("one", "/one/", backend="plain"))
            names = [f"w{number:02}" for number in range(count)]
            for name in names:
                await world.start_instance(name)
            await trio.sleep(SETTLE_TIME)
            for number, name in enumerate(faults):
                await trio.sleep(0.13 * number)
                world.nursery.start_soon(repeat, FAULTS[name], world, interval)
            await trio.sleep(1)
            if restart:
                world.tenants[names[0]].scope.cancel()
                await trio.sleep(0.1)
                await world.start_instance(names[0])
                await trio.sleep(SETTLE_TIME)
            world.store.remove("servers/p-0")
            await trio.sleep(MAX_DRAIN_TIME)
            before = len(world.leafs["p-0"].arrived)
            for _ in range(10):
                for name in names:
                    await world.ask("/one/x", name)
                await trio.sleep(0.2)
            known = {
                leaf.id
                for running in world.tenants.values()
                for leaf in running.tenant.kernel.find(
                    "directory", LeafDirectory
                ).leaves_of("plain")
            }
            return known, len(world.leafs["p-0"].arrived) - before

    return run_mocked(run)


@pytest.mark.parametrize("interval", [0.5, 2.0])
@pytest.mark.parametrize("count", [1, 4, 14])
@pytest.mark.parametrize("fault", FAULTS)
def test_short_faults_do_not_keep_a_leaf_whose_entry_is_gone(fault, count, interval):
    # Guards against faults of the store that each count as its return from an outage.
    assert remove_leaf([fault], interval, count) == ({"p-1"}, 0)


@pytest.mark.parametrize(
    "faults", [("cut", "429"), ("slow", "lost"), ("history", "cut")]
)
@pytest.mark.parametrize("count", [1, 4, 14])
@pytest.mark.parametrize("restart", [False, True])
def test_faults_at_once_do_not_keep_a_leaf_whose_entry_is_gone(faults, count, restart):
    # Guards against the same where several faults, or a restart, come together.
    assert remove_leaf(faults, 1.1, count, restart) == ({"p-1"}, 0)
