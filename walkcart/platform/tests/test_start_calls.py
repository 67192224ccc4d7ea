"""The cost of the calls to the store that instances make when they start.

Guards against a fault by which a fleet of 195 that started at once made 2,245 calls,
11.5 per instance, in less than four seconds: leases that were replaced by longer ones
at once, fresh reads of three prefixes, and watches that were dropped when a feed began.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.relaying import Relay
from walkcart.membership.watchchecks import WATCHER_CHECK_TIMES
from walkcart.platform.tests.platformworld import make_route, open_platform

ALL_DATA_CENTRES = ("north-a", "south-a", "north-b", "south-b", "east-a", "east-b")
SHARDS = [f"shard-{number}" for number in range(6)]
#: Cost of a read that may be stale, or of a lease renewal; other calls cost 1.
CHEAP_CALL_COST = 0.1


def is_watch_check(target):
    """Return whether a call checks a waiting watch; see `membership.watchchecks`."""
    return "kv-watch" in target and target.endswith("&waitMs=1")


def sum_costs(targets):
    """Return the total cost of calls to the store."""
    cheap = sum(
        1 for call in targets if "/api/kv-keep" in call or "serializable" in call
    )
    return len(targets) - cheap + cheap * CHEAP_CALL_COST


async def start_fleet(world, count):
    """Start a leaf of each shard, and instances in all data centres in turn."""
    for number, shard in enumerate(SHARDS):
        await world.start_leaf(f"i-{number}", shard, ALL_DATA_CENTRES[number])
    world.configure(make_route("all", "/all/", fanoutServices=SHARDS, topK=3))
    for number in range(count):
        place = ALL_DATA_CENTRES[number % len(ALL_DATA_CENTRES)]
        await world.start_instance(f"w{number:02}", place)


def test_fleet_that_starts_at_once_makes_few_calls_per_instance():
    count = 84

    async def run():
        async with open_platform() as world:
            await start_fleet(world, count)
            await trio.sleep(4)
            return sum_costs(world.store.targets) / count

    assert run_mocked(run) <= 4.0


def test_restart_of_one_instance_makes_few_calls():
    async def run():
        async with open_platform() as world:
            await start_fleet(world, 30)
            await trio.sleep(10)
            targets = world.store.targets
            name = next(
                name
                for name, running in world.tenants.items()
                if not running.tenant.kernel.find("relay", Relay).is_watching
            )
            place = world.tenants[name].settings.data_centre
            world.tenants[name].scope.cancel()
            await trio.sleep(0.1)
            before = len(targets)
            await world.start_instance(name, place)
            await trio.sleep(4)
            # Watches start again each 20 s, at other instances too; renewals and
            # reads that may be stale are cheap, and continue.
            return [call for call in targets[before:] if sum_costs([call]) == 1.0]

    calls = run_mocked(run)
    checks = [call for call in calls if is_watch_check(call)]
    calls = [call for call in calls if not is_watch_check(call)]
    # The watchers check one of two prefixes at a time, whoever starts.
    assert len(checks) <= 2 * 4 / WATCHER_CHECK_TIMES[0]
    assert len([call for call in calls if "kv-watch" not in call]) <= 3
    assert len(calls) <= 4


def test_stale_first_read_is_corrected():
    """Leaves that came and went after the stale state are known soon."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-old", "shard-0")
            await world.start_leaf("i-going", "shard-0")
            world.configure(make_route("one", "/one/", backend="shard-0"))
            before = world.store.revision
            await world.start_leaf("i-new", "shard-0")
            world.drain_leaf("i-going")
            world.store.faults.stale_by = world.store.revision - before
            running = await world.start_instance()
            await trio.sleep(3)
            directory = running.tenant.kernel.find("directory", LeafDirectory)
            return sorted(leaf.id for leaf in directory.leaves_of("shard-0"))

    assert run_mocked(run) == ["i-new", "i-old"]


def test_stale_first_read_is_corrected_after_the_history_is_lost():
    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-old", "shard-0")
            world.configure(make_route("one", "/one/", backend="shard-0"))
            before = world.store.revision
            await world.start_leaf("i-new", "shard-0")
            world.store.faults.stale_by = world.store.revision - before
            running = await world.start_instance()
            await trio.sleep(0.5)
            world.store.compact()
            await trio.sleep(3)
            directory = running.tenant.kernel.find("directory", LeafDirectory)
            return sorted(leaf.id for leaf in directory.leaves_of("shard-0"))

    assert run_mocked(run) == ["i-new", "i-old"]
