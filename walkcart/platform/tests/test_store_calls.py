"""The cost of a fleet's calls to the store while store, leaves or instances fail.

Renewals and reads that may be stale count as a tenth of a call. See
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
from walkcart.membership.watchchecks import WATCHER_CHECK_TIMES
from walkcart.platform.tests.changedelays import DATA_CENTRES, STORE, Fleet
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.test_start_calls import (
    ALL_DATA_CENTRES,
    is_watch_check,
    start_fleet,
    sum_costs,
)

#: Number of instances of the fleet.
FLEET_SIZE = 60
#: Number of instances in one data centre, of which a few feed the others.
DATA_CENTRE_SIZE = 20
#: Maximum time from the acknowledgement of a change until it is in force everywhere, in
#: seconds.
MAX_DELAY = 3.0
#: Maximum cost of the calls of a restarted instance: its key, a fresh read of the
#: configuration and one more call, plus renewals and reads that may be stale. A newly
#: granted lease would cost two more.
MAX_RESTART_COST = 3.5
#: Time until a started fleet has settled, in seconds; the first watches end before.
SETTLE_TIME = 25


def with_fleet(action, count=FLEET_SIZE):
    """Run `action(world)` with a fleet that has settled."""

    async def run():
        async with open_platform() as world:
            await start_fleet(world, count)
            await trio.sleep(SETTLE_TIME)
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


async def measure_fault_cost(world, begin, end):
    """Return the cost per instance of a fault of 9 s and the 6 s after it.

    Args:
        world: the platform.
        begin: function that starts the fault.
        end: function that ends it.

    Returns:
        The cost, and whether all instances had the change made meanwhile 3 s later.
    """
    before = len(world.store.targets)
    begin()
    await trio.sleep(5)
    version = add_route(world)
    await trio.sleep(4)
    end()
    await trio.sleep(3)
    versions = find_versions(world)
    await trio.sleep(3)
    return sum_costs(world.store.targets[before:]) / FLEET_SIZE, versions == {version}


def test_store_that_refuses_all_calls_costs_little_and_changes_arrive_after():
    async def act(world):
        def refuse(status):
            world.store.faults.refusal = status

        return await measure_fault_cost(world, lambda: refuse(503), lambda: refuse(0))

    cost, is_current = with_fleet(act)
    assert is_current
    assert cost <= 3.5


def test_silent_store_costs_little_and_changes_arrive_after():
    async def act(world):
        def cut():
            for place in ALL_DATA_CENTRES:
                world.network.cut("store", place)

        def heal():
            for place in ALL_DATA_CENTRES:
                world.network.heal("store", place)

        return await measure_fault_cost(world, cut, heal)

    cost, is_current = with_fleet(act)
    assert is_current
    assert cost <= 4.0


def test_changes_of_leaves_cost_each_watcher_one_call_per_second():
    async def act(world):
        watchers = [
            name
            for name in world.tenants
            if find_service(world, name, "relay", Relay).is_watching
        ]
        entry = world.entries["i-0"]
        before = len(world.store.targets)
        for step in range(100):
            state = "draining" if step % 2 else "ready"
            world.store.put(f"servers/x-{step % 7}", {**entry, "state": state})
            await trio.sleep(0.1)
        calls = world.store.targets[before:]
        watches = [call for call in calls if "kv-watch" in call]
        checks = sum(1 for call in watches if is_watch_check(call))
        return len(watchers), len(watches) - checks, checks

    watchers, watches, checks = with_fleet(act)
    assert watchers == 2 * len(ALL_DATA_CENTRES)
    # Each watcher watches two prefixes; a watch of the quiet one ends every 20 s.
    assert watches <= watchers * (10 + 2)
    # All watchers together check only the quiet prefix, at most so often.
    assert checks <= 2 * 10 / WATCHER_CHECK_TIMES[0]


def test_fleet_keeps_its_leases_over_a_power_loss():
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
        return sum_costs(world.store.targets[before:]) / FLEET_SIZE, found == leases

    cost, kept = with_fleet(act)
    assert kept
    assert cost <= MAX_RESTART_COST


def with_restart(action):
    """Stop an instance, run `action(world, lease)`, and start the instance again.

    Returns:
        The ids of the former and the present lease, and of the lease of the stored key.
    """

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


def test_restarted_instance_keeps_its_lease():
    async def act(world, former):
        pass

    former, present, stored = with_restart(act)
    assert former == present == stored


def test_restarted_instance_gets_a_new_lease_if_the_old_one_ended():
    async def act(world, former):
        await trio.sleep(30)

    former, present, stored = with_restart(act)
    assert former != present == stored


def test_restarted_instance_gets_a_new_lease_if_its_read_was_stale():
    async def act(world, former):
        world.store.faults.stale_by = 1
        # The lease has ended, which a stale read doesn't show.
        world.store._end(former.id)

    former, present, stored = with_restart(act)
    assert former != present == stored


def test_new_leaves_are_known_everywhere_within_two_seconds():
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


def test_feeders_that_lose_the_store_are_replaced_by_few():
    async def run():
        async with open_platform() as world:
            fleet = Fleet(world)
            await fleet.start_many(DATA_CENTRE_SIZE, DATA_CENTRES[:1])
            before = len(world.store.targets)
            async with trio.open_nursery() as nursery:
                for name in fleet.find_feeders():
                    nursery.start_soon(fleet.cut, name, [STORE], 8.0)
                for _ in range(8):
                    await trio.sleep(1)
                    fleet.change()
            await trio.sleep(20)
            calls = world.store.targets[before:]
            checks = [call for call in calls if is_watch_check(call)]
            cost = sum_costs(calls) - len(checks)
            return cost, len(checks), fleet.find_max_delay()

    cost, checks, max_delay = run_mocked(run)
    assert max_delay <= MAX_DELAY
    assert cost <= 6.5 * DATA_CENTRE_SIZE
    # All watchers together check each of two prefixes, at most so often.
    assert checks <= 2 * 28 / WATCHER_CHECK_TIMES[0]


def test_feed_stays_up_while_leaves_change_without_effect():
    """Changed warm-up times need no action, yet each ends a watch."""

    async def act(world):
        entry = {**world.entries["i-0"], "warmupLeftMs": 9000}
        before = len(world.store.targets)
        for step in range(200):
            content = {**entry, "warmupLeftMs": 9000 - step}
            world.store.put(f"servers/x-{step % 7}", content)
            await trio.sleep(0.1)
        lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
        ended = [line for line in lines if line["event"] == "feed" and not line["fed"]]
        return sum_costs(world.store.targets[before:]) / FLEET_SIZE, ended

    cost, ended = with_fleet(act)
    assert ended == []
    assert cost <= 8.0


def test_feed_stays_up_while_leaves_change_occasionally():
    async def act(world):
        entry = world.entries["i-0"]
        for step in range(30):
            state = "draining" if step % 2 else "ready"
            world.store.put("servers/x", {**entry, "state": state})
            await trio.sleep(2.13)
        lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
        return [line for line in lines if line["event"] == "feed" and not line["fed"]]

    assert with_fleet(act) == []
