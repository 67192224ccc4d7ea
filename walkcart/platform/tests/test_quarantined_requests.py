"""Quarantine of requests that crash the leaves which run them.

`test_crashing_requests` describes the failure; the tests here cover its variants. The
faults that must not be mistaken for it are in `test_innocent_requests`.
"""

import trio

from walkcart.platform.tests.crashingscenario import (
    CRASHING_TARGET,
    PLACES,
    SHARDS,
    ask_steadily,
    read_events,
    run_with_crashes,
)
from walkcart.platform.tests.crashingworld import SPREAD_TIME, make_sharded_route
from walkcart.platform.tests.platformworld import make_route
from walkcart.routing.quarantine import REFUSAL_TIME


def test_groups_gathered_in_other_regions_are_kept_from_leaves_too():
    async def scenario(crashing):
        for number in range(12):
            await crashing.world.ask(
                CRASHING_TARGET, ("one", "two", "three")[number % 3]
            )
            await trio.sleep(2)
        return crashing.find_late_requests(CRASHING_TARGET), len(crashing.ended)

    late, ended = run_with_crashes(scenario, places=PLACES)
    assert len(late) <= 1
    # One leaf of each shard, up to two more in each region, one asked directly.
    assert ended <= SHARDS + 2 * len(PLACES) + 1


def test_quarantined_request_is_refused_at_once_with_retry_after():
    async def scenario(crashing):
        world = crashing.world
        for _ in range(3):
            await world.ask(CRASHING_TARGET, "one")
            await trio.sleep(4)
        arrived = len(crashing.arrivals)
        start = trio.current_time()
        reply = await world.ask(CRASHING_TARGET, "two")
        elapsed = trio.current_time() - start
        lines = read_events(world, "request_unserved")
        return reply, elapsed, len(crashing.arrivals) - arrived, lines[-1]

    reply, elapsed, arrived, line = run_with_crashes(scenario)
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) > 60
    assert elapsed < 0.01
    assert arrived == 0
    assert line["reason"] == "quarantined"


def test_other_questions_are_served_beside_a_crashing_one():
    async def scenario(crashing):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_crashing, crashing)
            await trio.sleep(8)
            return await ask_steadily(crashing, 10)

    async def ask_crashing(crashing):
        for number in range(8):
            await crashing.world.ask(
                CRASHING_TARGET, ("one", "two", "three")[number % 3]
            )
            await trio.sleep(2)

    statuses = run_with_crashes(scenario)
    assert statuses.count(200) == len(statuses)


def test_wrongly_suspected_question_is_tried_on_one_leaf_and_released():
    async def scenario(crashing):
        world = crashing.world
        await world.ask("/all/same", "one")
        crashing.targets.add("/all/same")
        await world.ask("/all/same", "one")
        crashing.targets.clear()
        await trio.sleep(5)
        first = len(crashing.arrivals)
        reply = await world.ask("/all/same", "two")
        order = [item.at for item in crashing.arrivals[first:]]
        again = (await world.ask("/all/same", "three")).status
        lifted = read_events(world, "quarantine_lifted")
        return reply.status, order, again, len(lifted)

    status, order, again, lifted = run_with_crashes(scenario)
    assert status == 200
    # One leaf gets the request first, the others once that one has answered.
    assert order[1] - order[0] >= 0.01
    assert again == 200
    assert lifted == 1


def test_instance_that_was_cut_off_soon_learns_of_the_quarantine():
    async def scenario(crashing):
        world = crashing.world
        for other in ("north-a", "south-a"):
            world.network.cut("east-a", other)
        for _ in range(4):
            await world.ask(CRASHING_TARGET, "one")
            await trio.sleep(4)
        for other in ("north-a", "south-a"):
            world.network.heal("east-a", other)
        await trio.sleep(SPREAD_TIME)
        arrived = len(crashing.arrivals)
        status = (await world.ask(CRASHING_TARGET, "three")).status
        return status, len(crashing.arrivals) - arrived

    assert run_with_crashes(scenario, places=PLACES) == (503, 0)


def test_quarantine_survives_the_restart_of_all_instances():
    async def scenario(crashing):
        world = crashing.world
        for _ in range(3):
            await world.ask(CRASHING_TARGET, "one")
            await trio.sleep(4)
        for running in list(world.tenants.values()):
            running.scope.cancel()
        await trio.sleep(1)
        for name in list(world.tenants):
            await world.start_instance(name)
        for name in world.tenants:
            await world.wait_ready(name)
        await trio.sleep(1)
        arrived = len(crashing.arrivals)
        statuses = [
            (await world.ask(CRASHING_TARGET, name)).status for name in world.tenants
        ]
        return statuses, len(crashing.arrivals) - arrived

    assert run_with_crashes(scenario) == ([503] * 3, 0)


def test_restarts_of_all_instances_do_not_prolong_a_refusal():
    async def scenario(crashing):
        world = crashing.world
        for _ in range(3):
            await world.ask(CRASHING_TARGET, "one")
            await trio.sleep(4)
        struck_at = trio.current_time()
        await trio.sleep(100)
        for running in list(world.tenants.values()):
            running.scope.cancel()
        await trio.sleep(1)
        for name in list(world.tenants):
            await world.start_instance(name)
            await world.wait_ready(name)
        await trio.sleep(1)
        reply = await world.ask(CRASHING_TARGET, "one")
        ends_at = trio.current_time() + float(reply.header(b"retry-after"))
        return reply.status, ends_at - struck_at

    status, refused_for = run_with_crashes(scenario)
    assert status == 503
    assert 0 < refused_for <= REFUSAL_TIME


def test_quarantine_spreads_among_instances_while_the_store_is_unreachable():
    async def scenario(crashing):
        world = crashing.world
        world.store.faults.silent = True
        for _ in range(3):
            await world.ask(CRASHING_TARGET, "one")
            await trio.sleep(1)
        status = (await world.ask(CRASHING_TARGET, "two")).status
        world.store.faults.silent = False
        await trio.sleep(5)
        keys = [key for key in world.store.rows if "/quarantine/" in key]
        return status, len(keys)

    assert run_with_crashes(scenario) == (503, 1)


def test_quarantine_stores_one_key_and_reads_none():
    async def scenario(crashing):
        world = crashing.world
        for _ in range(3):
            await world.ask(CRASHING_TARGET, "one")
            await trio.sleep(4)
        calls = list(world.store.calls)
        reads = [item for item in world.store.targets if "quarantine" in item]
        return calls, reads, world.store

    _, reads, store = run_with_crashes(scenario)
    assert reads == []
    assert sum("/quarantine/" in key for key in store.rows) == 1


def test_trial_request_ends_when_its_caller_leaves():
    async def scenario(crashing):
        world = crashing.world
        await world.ask(CRASHING_TARGET, "one")
        await trio.sleep(5)
        crashing.targets.clear()
        for leaf in world.leafs.values():
            leaf.faults.delay = 1.0
        with trio.move_on_after(0.1):
            await world.ask(CRASHING_TARGET, "one")
        for leaf in world.leafs.values():
            leaf.faults.delay = 0.0
        await trio.sleep(2)
        return (await world.ask(CRASHING_TARGET, "one")).status

    assert run_with_crashes(scenario) == 200


def test_non_idempotent_request_crashes_at_most_three_leaves():
    async def scenario(crashing):
        world = crashing.world
        names = [f"shard-{number}" for number in range(SHARDS)]
        world.configure(
            make_sharded_route(names),
            make_route("one", "/one/", backend="service", routeType="non_idempotent"),
        )
        await trio.sleep(1)
        statuses = []
        for number in range(6):
            name = ("one", "two", "three")[number % 3]
            statuses.append((await world.ask("/one/bad", name, method="POST")).status)
            await trio.sleep(4)
        return statuses, len(crashing.ended)

    statuses, ended = run_with_crashes(scenario, targets=("/one/bad",))
    assert statuses == [502, 502, 502, 503, 503, 503]
    assert ended == 3


def test_concurrent_retries_at_all_instances_soon_reach_no_leaf():
    """The callers retry at once and often, at every instance."""

    async def scenario(crashing):
        world = crashing.world

        async def repeat(name):
            for _ in range(60):
                await world.ask(CRASHING_TARGET, name)
                await trio.sleep(0.1)

        async with trio.open_nursery() as nursery:
            for name in world.tenants:
                nursery.start_soon(repeat, name)
        return crashing.find_late_requests(CRASHING_TARGET, after=1.0), len(
            crashing.ended
        )

    late, ended = run_with_crashes(scenario, places=PLACES)
    assert late == set()
    # The first tries ran at all instances before any of them knew of the crashes.
    assert ended <= 2 * SHARDS


def test_leaf_that_fails_some_requests_releases_no_quarantined_request():
    """Such a leaf replies with an error before it begins the request."""

    async def scenario(crashing):
        world = crashing.world
        await world.ask("/one/bad", "one")
        await trio.sleep(4)
        for leaf in world.leafs.values():
            leaf.faults.fail_before_run = 500
        await world.ask("/one/bad", "two")
        for leaf in world.leafs.values():
            leaf.faults.fail_before_run = 0
        ended = len(crashing.ended)
        await trio.sleep(1)
        for name in ("one", "two", "three"):
            await world.ask("/one/bad", name)
        return ended, len(crashing.ended), read_events(world, "quarantine_lifted")

    ended, later, lifted = run_with_crashes(scenario, targets=("/one/bad",))
    assert lifted == []
    assert later <= ended + 1
