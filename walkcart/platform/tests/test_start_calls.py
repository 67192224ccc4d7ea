"""What a start asks of the store, by the price of each call.

A fleet of 195 that started at once made 2,245 calls, 11.5 an instance, before its
fourth second: a lease that was replaced by a longer one at once, fresh readings of
three prefixes, and watches that were given up when a feed began.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.relaying import Relay
from walkcart.platform.tests.platformworld import make_route, open_platform

CENTRES = ("north-a", "south-a", "north-b", "south-b", "east-a", "east-b")
SHARDS = [f"shard-{number}" for number in range(6)]
#: A reading that may be seconds old costs a tenth, and so does a renewal.
CHEAP = 0.1


def add_prices(targets):
    """Return the price of calls of the store."""
    cheap = sum(
        1 for call in targets if "/api/kv-keep" in call or "serializable" in call
    )
    return len(targets) - cheap + cheap * CHEAP


async def open_fleet(world, count):
    for number, shard in enumerate(SHARDS):
        await world.start_leaf(f"i-{number}", shard, CENTRES[number])
    world.configure(make_route("all", "/all/", fanoutServices=SHARDS, topK=3))
    for number in range(count):
        place = CENTRES[number % len(CENTRES)]
        await world.start_instance(f"w{number:02}", place)


def test_a_fleet_that_starts_at_once_makes_few_calls_each():
    count = 84

    async def run():
        async with open_platform() as world:
            await open_fleet(world, count)
            await trio.sleep(4)
            return add_prices(world.store.targets) / count

    assert run_mocked(run) <= 4.0


def test_the_restart_of_one_makes_few_calls():
    async def run():
        async with open_platform() as world:
            await open_fleet(world, 30)
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
            # Watches begin anew each 20 s, at other instances too; renewals and
            # readings that may be old are cheap, and go on.
            return [call for call in targets[before:] if add_prices([call]) == 1.0]

    calls = run_mocked(run)
    assert len([call for call in calls if "kv-watch" not in call]) <= 3
    assert len(calls) <= 4


def test_a_first_reading_that_is_old_is_made_good():
    """Leafs that came and went within the age of the reading are known soon."""

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


def test_a_first_reading_that_is_old_and_a_lost_history_are_made_good():
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
