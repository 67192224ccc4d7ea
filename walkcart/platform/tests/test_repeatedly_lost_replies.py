"""Watches whose replies the store loses again and again while it serves short calls."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.storestandin import MAX_WATCH_EVENTS
from walkcart.platform.tests.test_start_calls import start_fleet

#: Maximum time from the acknowledgement of a change until it is in force, in seconds.
MAX_CHANGE_DELAY = 3.0
#: Seconds in which a machine is in touch again after a lost reply.
MAX_CONTACT_TIME = 4.0
#: Maximum time for which a change is awaited, in seconds.
MAX_WATCHED_TIME = 20
#: Seconds until a started fleet has settled.
SETTLE_TIME = 30
#: Prefixes of the configuration and of the entries of leaves.
CONFIGURATION, LEAVES = "op/", "servers/"


def list_versions(world):
    return {
        running.tenant.kernel.find("keeper", RouteKeeper).table.document.version
        for running in world.tenants.values()
    }


def list_known(world, service):
    """Return the leaves of a service that each instance knows."""
    return {
        tuple(
            leaf.id
            for leaf in running.tenant.kernel.find(
                "directory", LeafDirectory
            ).leaves_of(service)
        )
        for running in world.tenants.values()
    }


def change_configuration(world, step):
    """Store a configuration; return whether all instances have it, as a function."""
    version = world.configure(make_route(f"r{step}", "/r/", backend="shard-0"))
    return lambda: list_versions(world) == {version}


def change_leaves(world, step):
    """Add a leaf or remove it; return whether all instances know it, as a function."""
    if step % 2:
        world.store.remove("servers/x")
        return lambda: list_known(world, "other") == {()}
    world.add_entry("x", "other")
    return lambda: list_known(world, "other") == {("x",)}


async def measure_delay(world, change, step):
    """Make a change; return the seconds until it is in force."""
    is_in_force = change(world, step)
    start = trio.current_time()
    with trio.move_on_after(MAX_WATCHED_TIME):
        while not is_in_force():
            await trio.sleep(0.02)
    return round(trio.current_time() - start, 2)


@asynccontextmanager
async def open_fleet(count):
    """Open a platform with a settled fleet whose long watches lose their replies."""
    async with open_platform() as world:
        await start_fleet(world, count)
        await trio.sleep(SETTLE_TIME)
        world.store.faults.lose_long_watches = frozenset({CONFIGURATION, LEAVES})
        yield world


def measure_delays(count, change, seed, disturb=None):
    """Make changes one after the other; return how long each takes.

    Args:
        count: number of instances.
        change: makes a change.
        seed: seed of the pauses between changes.
        disturb: disturbs the platform just before each change.
    """

    async def run():
        async with open_fleet(count) as world:
            random = Random(seed)
            delays = []
            for step in range(6):
                await trio.sleep(random.uniform(0, 3))
                if disturb is not None:
                    await disturb(world, step)
                delays.append(await measure_delay(world, change, step))
            return delays

    return run_mocked(run)


CHANGES = pytest.mark.parametrize("change", [change_leaves, change_configuration])


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("count", [1, 3, 7, 15])
@CHANGES
def test_changes_are_in_force_though_every_watch_loses_its_reply(change, count, seed):
    # Guards against checks that see a change and leave it to a watch to bring it.
    delays = measure_delays(count, change, seed)
    assert max(delays) < MAX_CHANGE_DELAY, delays


async def lose_check(world, step):
    world.store.faults.lose_checks = 1


async def cut_calls(world, step):
    for stream in world.network.find_streams(world.store_address):
        await stream.aclose()


async def drop_history(world, step):
    # Some other key changes, so that every copy is older than the history.
    world.store.put("servers/elsewhere", {"backend": "none"})
    world.store.compact()


async def fill_history(world, step):
    # More than one reply holds.
    for number in range(MAX_WATCH_EVENTS + 10):
        world.store.put(f"servers/new-{number % 3}", {"backend": "none"})
        world.store.put("op/other", {"step": number})


async def slow_down(world, step):
    world.store.faults.latency = 0.1 * (step % 3)


async def restart_instance(world, step):
    name = f"w{step % len(world.tenants):02}"
    running = world.tenants[name]
    running.scope.cancel()
    await trio.sleep(0.1)
    await world.start_instance(name, running.settings.data_centre)


@pytest.mark.parametrize("count", [1, 3, 15])
@pytest.mark.parametrize(
    "disturb", [cut_calls, drop_history, fill_history, slow_down, restart_instance]
)
@CHANGES
def test_changes_are_in_force_in_time_after_lost_replies_and_more(
    change, disturb, count
):
    # Guards against a second fault of the store that makes the lost replies last.
    delays = measure_delays(count, change, 1, disturb)
    assert max(delays) < MAX_CHANGE_DELAY, delays


@pytest.mark.parametrize("seed", [100, 101, 103, 104])
@CHANGES
def test_cut_calls_put_no_check_off(change, seed):
    # Guards against checks that another instance's unproved word puts off.
    delays = measure_delays(3, change, seed, cut_calls)
    assert max(delays) < MAX_CHANGE_DELAY, delays


@pytest.mark.parametrize("count", [1, 3, 15])
@CHANGES
def test_lost_check_delays_a_change_within_the_bounds(change, count):
    # Guards against a check whose own reply is lost and that isn't repeated.
    delays = measure_delays(count, change, 1, lose_check)
    assert max(delays) < MAX_CONTACT_TIME + MAX_CHANGE_DELAY, delays


@pytest.mark.parametrize("count", [3, 15])
def test_leaf_that_is_gone_gets_no_request_though_watches_lose_their_replies(count):
    # Guards against a leaf that gets requests until it ends, as all instances keep it.
    async def run():
        async with open_fleet(count) as world:
            leaf = await world.start_leaf("y", "plain", records=b"body")
            await world.start_leaf("z", "plain", records=b"body")
            world.configure(make_route("one", "/one/", backend="plain"))
            await trio.sleep(MAX_CHANGE_DELAY)
            late = []
            for _ in range(2):
                world.store.put("servers/y", world.entries["y"])
                await trio.sleep(MAX_CHANGE_DELAY)
                assert await ask_for(world, leaf, 1.0)
                world.store.remove("servers/y")
                await trio.sleep(MAX_CHANGE_DELAY)
                late.append(await ask_for(world, leaf, 2.0))
            return late

    assert run_mocked(run) == [0, 0]


async def ask_for(world, leaf, seconds):
    """Ask each instance in turn; return the number of requests that a leaf gets."""
    before = len(leaf.arrived)
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for name in world.tenants:
            await world.ask("/one/x", name)
    return len(leaf.arrived) - before
