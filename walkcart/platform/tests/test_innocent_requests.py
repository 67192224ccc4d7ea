"""Faults of leaves and instances that must not quarantine any request.

Leaves crash for reasons of their own while requests run on them.
"""

import trio

from walkcart.platform.tests.crashingscenario import (
    PLACES,
    ask_steadily,
    read_events,
    run_with_crashes,
)


def test_leaves_that_all_crash_at_once_quarantine_no_question():
    async def scenario(crashing):
        async def crash_all():
            await trio.sleep(1)
            for id in crashing.find_running_leaves():
                crashing.crash(id)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_all)
            await ask_steadily(crashing, 2, interval=0.005)
        await trio.sleep(4)
        statuses = await ask_steadily(crashing, 2, interval=0.005)
        return statuses, read_events(crashing.world, "request_quarantined")

    statuses, quarantined = run_with_crashes(scenario)
    assert quarantined == []
    assert statuses.count(200) == len(statuses)


def test_leaves_that_crash_one_by_one_quarantine_no_question():
    async def scenario(crashing):
        async def crash_all():
            for id in crashing.find_running_leaves():
                crashing.crash(id)
                await trio.sleep(0.02)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_all)
            await ask_steadily(crashing, 2, interval=0.005)
        return read_events(crashing.world, "request_quarantined")

    assert run_with_crashes(scenario, places=PLACES) == []


def test_leaves_that_crash_and_restart_quarantine_no_request():
    """Each second two leaves crash and restart after 0.3 s, while the load goes on."""

    async def scenario(crashing):
        crashing.restart_delay = 0.3

        async def crash_repeatedly():
            while True:
                running = crashing.find_running_leaves()
                for id in running[:: len(running) // 2]:
                    crashing.crash(id)
                await trio.sleep(1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_repeatedly)
            nursery.start_soon(ask_steadily, crashing, 30, "/one/good", 0.02)
            await ask_steadily(crashing, 30, "/all/good", 0.05)
            nursery.cancel_scope.cancel()
        return read_events(crashing.world, "request_quarantined")

    assert run_with_crashes(scenario) == []


def test_lost_replies_are_not_taken_for_leaf_crashes():
    async def scenario(crashing):
        world = crashing.world
        for leaf in world.leafs.values():
            leaf.faults.drop = True
        for _ in range(6):
            await world.ask("/all/good", "one")
            await world.ask("/one/good", "one")
        for leaf in world.leafs.values():
            leaf.faults.drop = False
        reply = await world.ask("/all/good", "one")
        return reply.status, read_events(world, "leaf_ended")

    assert run_with_crashes(scenario) == (200, [])


def test_rolling_replacement_of_leaves_quarantines_no_request():
    """Half of them announce it, the others just vanish; all serve for 3 s more."""

    async def scenario(crashing):
        world = crashing.world

        async def replace(id, announces):
            entry = world.entries[id]
            await crashing.start_leaf(entry["backend"], entry["zone"])
            if announces:
                world.drain_leaf(id)
            else:
                world.store.remove(f"servers/{id}")
            await trio.sleep(3)
            world.servers[id].stop()

        async with trio.open_nursery() as nursery:
            start_load = nursery.start_soon
            start_load(ask_steadily, crashing, 12, "/all/good", 0.02)
            start_load(ask_steadily, crashing, 12, "/one/good", 0.02)
            for number, id in enumerate(crashing.find_running_leaves()):
                nursery.start_soon(replace, id, number % 2 == 0)
                await trio.sleep(0.3)
        return read_events(world, "request_quarantined")

    assert run_with_crashes(scenario) == []


def test_killed_instances_quarantine_no_request():
    async def scenario(crashing):
        world = crashing.world
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_steadily, crashing, 6, "/all/good", 0.02)
            for name in ("two", "three"):
                await trio.sleep(1)
                world.tenants[name].scope.cancel()
        return read_events(world, "request_quarantined")

    assert run_with_crashes(scenario, places=PLACES) == []


def test_harmless_question_of_many_callers_is_always_answered():
    """Leaves crash and restart while 500 callers ask the same question."""

    async def scenario(crashing):
        crashing.restart_delay = 0.3
        world = crashing.world
        statuses = []

        async def crash_repeatedly():
            while True:
                running = crashing.find_running_leaves()
                crashing.crash(running[len(running) // 2])
                await trio.sleep(0.5)

        async def ask(name):
            statuses.append((await world.ask("/all/same", name)).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_repeatedly)
            async with trio.open_nursery() as callers:
                for number in range(500):
                    callers.start_soon(ask, list(world.tenants)[number % 3])
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        return statuses, read_events(world, "request_quarantined")

    statuses, quarantined = run_with_crashes(scenario)
    assert quarantined == []
    assert 503 not in statuses
