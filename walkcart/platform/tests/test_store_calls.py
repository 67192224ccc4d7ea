"""What a fleet asks of the store while the store, leafs or instances have trouble.

Renewals and readings that may be old count a tenth of a call. See
``docs/design/costs.md`` for what causes calls.
"""

import json

import trio

from walkcart.bench.harness import run_mocked
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.instancerecord import INSTANCE_PREFIX
from walkcart.membership.registration import Registration
from walkcart.membership.relaying import Relay
from walkcart.platform.tests.changedelays import DATA_CENTRES, STORE, Fleet
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.test_start_calls import CENTRES, add_prices, open_fleet

COUNT = 60
#: Instances of one data centre.
FED = 20
#: Seconds from the acknowledgement of a change until it is in force everywhere.
BOUND = 3.0
#: Calls of an instance that starts anew: its key, a fresh reading of the configuration
#: and one call more, with renewals and readings that may be old. A lease granted anew
#: would be two more.
RESTART_CALLS = 3.5
#: Seconds until a fleet that has started is quiet: watches of the start have ended.
SETTLING = 25


def with_fleet(action, count=COUNT):
    """Run `action(world)` with a fleet that has settled."""

    async def run():
        async with open_platform() as world:
            await open_fleet(world, count)
            await trio.sleep(SETTLING)
            return await action(world)

    return run_mocked(run)


def find_service(world, name, service, kind):
    return world.tenants[name].tenant.kernel.find(service, kind)


def find_versions(world):
    return {
        find_service(world, name, "keeper", RouteKeeper).table.document.version
        for name in world.tenants
    }


def add_route(world):
    return world.configure(
        make_route("all", "/all/", fanoutServices=["shard-0"], topK=3),
        make_route("more", "/more/", backend="shard-1"),
    )


async def count_outage(world, begin, end):
    """Return the price for each instance of 9 s of trouble and 6 s after it."""
    before = len(world.store.targets)
    begin()
    await trio.sleep(5)
    version = add_route(world)
    await trio.sleep(4)
    end()
    await trio.sleep(3)
    versions = find_versions(world)
    await trio.sleep(3)
    return add_prices(world.store.targets[before:]) / COUNT, versions == {version}


def test_a_store_that_refuses_all_costs_little_and_is_caught_up_with():
    async def act(world):
        def refuse(status):
            world.store.faults.refusal = status

        return await count_outage(world, lambda: refuse(503), lambda: refuse(0))

    price, is_current = with_fleet(act)
    assert is_current
    assert price <= 3.5


def test_a_store_that_is_silent_costs_little_and_is_caught_up_with():
    async def act(world):
        def cut():
            for place in CENTRES:
                world.network.cut("store", place)

        def heal():
            for place in CENTRES:
                world.network.heal("store", place)

        return await count_outage(world, cut, heal)

    price, is_current = with_fleet(act)
    assert is_current
    assert price <= 4.0


def test_changes_of_leafs_cost_each_watcher_a_call_a_second():
    async def act(world):
        watchers = [
            name
            for name in world.tenants
            if find_service(world, name, "relay", Relay).watches
        ]
        entry = world.entries["i-0"]
        before = len(world.store.targets)
        for step in range(100):
            state = "draining" if step % 2 else "ready"
            world.store.put(f"servers/x-{step % 7}", {**entry, "state": state})
            await trio.sleep(0.1)
        calls = world.store.targets[before:]
        return len(watchers), sum(1 for call in calls if "kv-watch" in call)

    watchers, watches = with_fleet(act)
    assert watchers == 2 * len(CENTRES)
    # Each watches two prefixes, and a watch of the quiet one ends each 20 s.
    assert watches <= watchers * (10 + 2)


def test_a_fleet_that_lost_power_keeps_its_leases():
    async def act(world):
        leases = {
            name: find_service(world, name, "registration", Registration).lease.id
            for name in world.tenants
        }
        places = {name: one.settings.data_centre for name, one in world.tenants.items()}
        for running in list(world.tenants.values()):
            running.scope.cancel()
        await trio.sleep(0.5)
        before = len(world.store.targets)
        for name, place in places.items():
            await world.start_instance(name, place)
        await trio.sleep(4)
        found = {
            name: find_service(world, name, "registration", Registration).lease.id
            for name in world.tenants
        }
        return add_prices(world.store.targets[before:]) / COUNT, found == leases

    price, kept = with_fleet(act)
    assert kept
    assert price <= RESTART_CALLS


def with_restart(action):
    """Run `action(world)` and restart the one instance; return its registration."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("p-0", "plain", records=b"body")
            world.configure(make_route("one", "/one/", backend="plain"))
            await world.start_instance()
            await trio.sleep(5)
            former = find_service(world, "one", "registration", Registration).lease
            world.tenants["one"].scope.cancel()
            await trio.sleep(0.1)
            await action(world, former)
            await world.start_instance()
            await trio.sleep(5)
            registration = find_service(world, "one", "registration", Registration)
            row = world.store.rows[INSTANCE_PREFIX + "one"]
            return former.id, registration.lease.id, row.lease

    return run_mocked(run)


def test_a_restarted_instance_goes_on_with_its_lease():
    async def act(world, former):
        pass

    former, present, stored = with_restart(act)
    assert former == present == stored


def test_a_restarted_instance_whose_lease_ended_gets_another():
    async def act(world, former):
        await trio.sleep(30)

    former, present, stored = with_restart(act)
    assert former != present == stored


def test_a_restarted_instance_whose_reading_was_old_gets_another():
    async def act(world, former):
        world.store.faults.stale_by = 1
        # Ended, which an old reading doesn't show.
        world.store._end(former.id)

    former, present, stored = with_restart(act)
    assert former != present == stored


def test_leafs_that_come_are_known_everywhere_within_two_seconds():
    async def act(world):
        entry = {**world.entries["i-0"], "backend": "shard-9"}
        for number in range(30):
            world.store.put(f"servers/y-{number}", entry)
            await trio.sleep(0.1)
        await trio.sleep(2)
        return {
            len(
                find_service(world, name, "directory", LeafDirectory).leaves_of(
                    "shard-9"
                )
            )
            for name in world.tenants
        }

    assert with_fleet(act) == {30}


def test_feeders_that_are_turned_away_are_replaced_by_few():
    async def run():
        async with open_platform() as world:
            estate = Fleet(world)
            await estate.start_many(FED, DATA_CENTRES[:1])
            before = len(world.store.targets)
            async with trio.open_nursery() as nursery:
                for name in estate.find_feeders():
                    nursery.start_soon(estate.cut, name, [STORE], 8.0)
                for _ in range(8):
                    await trio.sleep(1)
                    estate.change()
            await trio.sleep(20)
            return add_prices(world.store.targets[before:]), estate.find_max_delay()

    price, worst = run_mocked(run)
    assert worst <= BOUND
    assert price <= 6.5 * FED


def test_a_feed_holds_while_leafs_change_and_nobody_minds():
    """Renewed warm-up times matter to nobody, yet each ends a watch."""

    async def act(world):
        entry = {**world.entries["i-0"], "warmupLeftMs": 9000}
        before = len(world.store.targets)
        for step in range(200):
            content = {**entry, "warmupLeftMs": 9000 - step}
            world.store.put(f"servers/x-{step % 7}", content)
            await trio.sleep(0.1)
        lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
        ended = [line for line in lines if line["event"] == "feed" and not line["fed"]]
        return add_prices(world.store.targets[before:]) / COUNT, ended

    price, ended = with_fleet(act)
    assert ended == []
    assert price <= 8.0


def test_a_feed_holds_when_leafs_change_now_and_then():
    async def act(world):
        entry = world.entries["i-0"]
        for step in range(30):
            state = "draining" if step % 2 else "ready"
            world.store.put("servers/x", {**entry, "state": state})
            await trio.sleep(2.13)
        lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
        return [line for line in lines if line["event"] == "feed" and not line["fed"]]

    assert with_fleet(act) == []
