"""Leafs that start again under the id that they had, and know nothing of before."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.pool import LeafPool
from walkcart.platform.tests.platformworld import make_route, open_platform

BORN = 1_790_000_000_000


def with_one_service(action):
    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-0", "service")
            await world.start_leaf("i-1", "service")
            world.configure(make_route("one", "/one/", backend="service"))
            await world.start_instance()
            await world.wait_ready()
            await trio.sleep(2)
            return await action(world)

    return run_mocked(run)


def find(world, name, kind):
    return world.tenants["one"].tenant.kernel.find(name, kind)


def test_a_leaf_that_started_again_elsewhere_is_asked_at_its_new_address():
    async def act(world):
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        world.drain_leaf("i-1")
        await trio.sleep(2)
        statuses = [(await world.ask("/one/x")).status for _ in range(5)]
        return statuses, len(world.leafs["i-0"].ran)

    assert with_one_service(act) == ([200] * 5, 5)


def test_what_was_learned_of_the_life_before_is_forgotten():
    async def act(world):
        directory = find(world, "directory", LeafDirectory)
        before = directory.find("i-0")
        before.latency.observe(trio.current_time(), 50.0)
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        after = directory.find("i-0")
        return before is after, after.latency.estimate(trio.current_time(), 1.0)

    assert with_one_service(act) == (False, 1.0)


def test_connections_to_the_life_before_are_left():
    async def act(world):
        for _ in range(6):
            await world.ask("/one/x")
        pool = find(world, "pool", LeafPool)
        directory = find(world, "directory", LeafDirectory)
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(3)
        return all(link.leaf is directory.find(id) for id, link in pool._links.items())

    assert with_one_service(act)


def test_a_leaf_whose_address_was_anothers_for_a_while_is_used_after_its_start():
    """A 421 of the life before says nothing of the one that came after it."""

    async def act(world):
        directory = find(world, "directory", LeafDirectory)
        directory.forget(directory.find("i-0"))
        forgotten = [leaf.id for leaf in directory.leaves_of("service")]
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        return forgotten, sorted(leaf.id for leaf in directory.leaves_of("service"))

    assert with_one_service(act) == (["i-1"], ["i-0", "i-1"])


def test_a_word_on_the_life_before_does_not_take_the_new_one_away():
    async def act(world):
        directory = find(world, "directory", LeafDirectory)
        before = directory.find("i-0")
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        directory.forget(before)
        return sorted(leaf.id for leaf in directory.leaves_of("service"))

    assert with_one_service(act) == ["i-0", "i-1"]


def test_entries_of_other_writers_name_no_leaf_and_the_others_serve():
    async def act(world):
        world.store.put("servers/odd", {**world.entries["i-0"], "state": "resting"})
        world.store.put("servers/list", [1, 2])
        await trio.sleep(2)
        statuses = [(await world.ask("/one/x")).status for _ in range(5)]
        directory = find(world, "directory", LeafDirectory)
        return statuses, sorted(leaf.id for leaf in directory.leaves_of("service"))

    assert with_one_service(act) == ([200] * 5, ["i-0", "i-1"])
