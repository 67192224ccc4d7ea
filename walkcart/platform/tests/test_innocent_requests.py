"""Troubles of leafs and instances that make no request suspect.

Leafs crash for reasons of their own, and each of them had requests.
"""

import trio

from walkcart.platform.tests.crashingscenario import (
    PLACES,
    ask_steadily,
    read_events,
    run_with_crashes,
)


def test_all_leafs_that_crash_at_once_make_no_question_suspect():
    async def act(crashing):
        async def crash_all():
            await trio.sleep(1)
            for id in crashing.leafs_alive():
                crashing.crash(id)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_all)
            await ask_steadily(crashing, 2, interval=0.005)
        await trio.sleep(4)
        statuses = await ask_steadily(crashing, 2, interval=0.005)
        return statuses, read_events(crashing.world, "request_quarantined")

    statuses, suspected = run_with_crashes(act)
    assert suspected == []
    assert statuses.count(200) == len(statuses)


def test_leafs_that_crash_one_after_the_other_make_no_question_suspect():
    async def act(crashing):
        async def crash_all():
            for id in crashing.leafs_alive():
                crashing.crash(id)
                await trio.sleep(0.02)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_all)
            await ask_steadily(crashing, 2, interval=0.005)
        return read_events(crashing.world, "request_quarantined")

    assert run_with_crashes(act, places=PLACES) == []


def test_leafs_that_go_down_and_up_make_no_request_suspect():
    """Each second two of them crash; they are back at once. The same callers retry."""

    async def act(crashing):
        crashing.back_time = 0.3

        async def flap():
            while True:
                alive = crashing.leafs_alive()
                for id in alive[:: len(alive) // 2]:
                    crashing.crash(id)
                await trio.sleep(1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(flap)
            nursery.start_soon(ask_steadily, crashing, 30, "/one/good", 0.02)
            await ask_steadily(crashing, 30, "/all/good", 0.05)
            nursery.cancel_scope.cancel()
        return read_events(crashing.world, "request_quarantined")

    assert run_with_crashes(act) == []


def test_replies_that_are_lost_are_no_ends_of_leafs():
    async def act(crashing):
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

    assert run_with_crashes(act) == (200, [])


def test_leafs_that_are_replaced_in_turn_make_no_request_suspect():
    """Half of them announce it, the others only vanish; all serve for a while yet."""

    async def act(crashing):
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
            load = nursery.start_soon
            load(ask_steadily, crashing, 12, "/all/good", 0.02)
            load(ask_steadily, crashing, 12, "/one/good", 0.02)
            for number, id in enumerate(crashing.leafs_alive()):
                nursery.start_soon(replace, id, number % 2 == 0)
                await trio.sleep(0.3)
        return read_events(world, "request_quarantined")

    assert run_with_crashes(act) == []


def test_instances_that_are_killed_make_no_request_suspect():
    async def act(crashing):
        world = crashing.world
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_steadily, crashing, 6, "/all/good", 0.02)
            for name in ("two", "three"):
                await trio.sleep(1)
                world.tenants[name].scope.cancel()
        return read_events(world, "request_quarantined")

    assert run_with_crashes(act, places=PLACES) == []


def test_the_same_harmless_question_of_many_callers_is_answered_all_the_time():
    """Leafs go down and up, and hundreds of callers ask one and the same."""

    async def act(crashing):
        crashing.back_time = 0.3
        world = crashing.world
        statuses = []

        async def flap():
            while True:
                alive = crashing.leafs_alive()
                crashing.crash(alive[len(alive) // 2])
                await trio.sleep(0.5)

        async def ask(name):
            statuses.append((await world.ask("/all/same", name)).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(flap)
            async with trio.open_nursery() as callers:
                for number in range(500):
                    callers.start_soon(ask, list(world.tenants)[number % 3])
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        return statuses, read_events(world, "request_quarantined")

    statuses, suspected = run_with_crashes(act)
    assert suspected == []
    assert 503 not in statuses
