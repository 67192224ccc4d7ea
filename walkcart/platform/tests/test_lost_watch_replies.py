"""Replies to watches that the store loses while it serves all other calls."""

import json

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.test_start_calls import start_fleet, sum_costs

#: Maximum time from the acknowledgement of a change until it is in force, in seconds.
MAX_CHANGE_DELAY = 3.0
#: Seconds until a started fleet has settled.
SETTLE_TIME = 30


def find_versions(world):
    return {
        running.tenant.kernel.find("keeper", RouteKeeper).table.document.version
        for running in world.tenants.values()
    }


def change_with_lost_replies(count, lost, phase=0.0):
    """Change the configuration and lose replies; return the delay and the log."""

    async def run():
        async with open_platform() as world:
            await start_fleet(world, count)
            await trio.sleep(SETTLE_TIME + phase)
            world.store.faults.lose_watches = lost
            version = world.configure(make_route("new", "/new/", backend="shard-0"))
            start = trio.current_time()
            with trio.move_on_after(60):
                while find_versions(world) != {version}:
                    await trio.sleep(0.02)
            delay = trio.current_time() - start
            await trio.sleep(5)
            lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
            return delay, world.store.faults.lose_watches, lines

    return run_mocked(run)


@pytest.mark.parametrize("phase", [0.0, 0.4, 0.9, 1.3])
@pytest.mark.parametrize(
    ("count", "lost"), [(1, 1), (3, 1), (3, 3), (7, 7), (15, 1), (15, 12)]
)
def test_change_is_in_force_in_time_after_lost_replies(count, lost, phase):
    # Guards against a lost reply that isn't noticed until the watch would have ended.
    delay, left, lines = change_with_lost_replies(count, lost, phase)
    assert left == 0
    assert delay < MAX_CHANGE_DELAY
    assert "store_watch_silent" in [line["event"] for line in lines]


def test_leaf_that_leaves_is_known_after_lost_replies():
    # Guards against the same for the entries of leaves.
    async def run():
        async with open_platform() as world:
            await start_fleet(world, 3)
            await trio.sleep(SETTLE_TIME)
            world.store.faults.lose_watches = 3
            world.drain_leaf("i-0")
            await trio.sleep(MAX_CHANGE_DELAY)
            return [
                running.tenant.kernel.find("directory", LeafDirectory).leaves_of(
                    "shard-0"
                )
                for running in world.tenants.values()
            ]

    assert run_mocked(run) == [(), (), ()]


def measure_calm_cost(count):
    """Return the cost of a calm fleet's calls to the store per second."""

    async def run():
        async with open_platform() as world:
            await start_fleet(world, count)
            await trio.sleep(SETTLE_TIME)
            before = len(world.store.targets)
            await trio.sleep(60)
            return sum_costs(world.store.targets[before:]) / 60

    return run_mocked(run)


def test_checks_of_watches_do_not_grow_with_the_fleet():
    # Guards against a call of each instance where one serves all.
    assert measure_calm_cost(1) <= 1.5
    assert measure_calm_cost(12) <= measure_calm_cost(1) + 12 * 0.25


def test_calm_fleet_has_no_silent_watches():
    # Guards against checks that take watches for silent which work.
    async def run():
        async with open_platform() as world:
            await start_fleet(world, 7)
            for step in range(60):
                state = "draining" if step % 2 else "ready"
                entry = {**world.entries["i-0"], "state": state}
                world.store.put(f"servers/x-{step % 7}", entry)
                await trio.sleep(0.7)
            return "store_watch_silent" in world.log.getvalue()

    assert not run_mocked(run)
