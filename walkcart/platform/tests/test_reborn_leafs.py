"""Leaves that restart under the same id and know nothing of their former process."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.pool import LeafPool
from walkcart.platform.tests.platformworld import make_route, open_platform

#: Start of the new process, in Unix milliseconds.
BORN = 1_790_000_000_000


def with_one_service(scenario):
    """Run `scenario(world)` with one instance and a service of two leaves."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-0", "service")
            await world.start_leaf("i-1", "service")
            world.configure(make_route("one", "/one/", backend="service"))
            await world.start_instance()
            await world.wait_ready()
            await trio.sleep(2)
            return await scenario(world)

    return run_mocked(run)


def find(world, name, kind):
    return world.tenants["one"].tenant.kernel.find(name, kind)


def test_leaf_that_restarted_elsewhere_is_asked_at_its_new_address():
    async def scenario(world):
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        world.drain_leaf("i-1")
        await trio.sleep(2)
        statuses = [(await world.ask("/one/x")).status for _ in range(5)]
        return statuses, len(world.leafs["i-0"].ran)

    assert with_one_service(scenario) == ([200] * 5, 5)


def test_statistics_of_the_former_process_are_dropped():
    async def scenario(world):
        directory = find(world, "directory", LeafDirectory)
        before = directory.find("i-0")
        before.latency.observe(trio.current_time(), 50.0)
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        after = directory.find("i-0")
        return before is after, after.latency.estimate(trio.current_time(), 1.0)

    assert with_one_service(scenario) == (False, 1.0)


def test_connections_to_the_former_process_are_dropped():
    async def scenario(world):
        for _ in range(6):
            await world.ask("/one/x")
        pool = find(world, "pool", LeafPool)
        directory = find(world, "directory", LeafDirectory)
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(3)
        return all(link.leaf is directory.find(id) for id, link in pool._links.items())

    assert with_one_service(scenario)


def test_replaced_leaf_is_used_again_after_its_restart():
    """A 421 about the former process doesn't apply to the restarted leaf."""

    async def scenario(world):
        directory = find(world, "directory", LeafDirectory)
        directory.mark_replaced(directory.find("i-0"))
        remaining = [leaf.id for leaf in directory.leaves_of("service")]
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        return remaining, sorted(leaf.id for leaf in directory.leaves_of("service"))

    assert with_one_service(scenario) == (["i-1"], ["i-0", "i-1"])


def test_late_replacement_notice_keeps_the_restarted_leaf():
    async def scenario(world):
        directory = find(world, "directory", LeafDirectory)
        before = directory.find("i-0")
        await world.restart_leaf("i-0", BORN)
        await trio.sleep(2)
        directory.mark_replaced(before)
        return sorted(leaf.id for leaf in directory.leaves_of("service"))

    assert with_one_service(scenario) == ["i-0", "i-1"]


def test_foreign_entries_are_ignored_and_the_other_leaves_serve():
    async def scenario(world):
        world.store.put("servers/odd", {**world.entries["i-0"], "state": "resting"})
        world.store.put("servers/list", [1, 2])
        await trio.sleep(2)
        statuses = [(await world.ask("/one/x")).status for _ in range(5)]
        directory = find(world, "directory", LeafDirectory)
        return statuses, sorted(leaf.id for leaf in directory.leaves_of("service"))

    assert with_one_service(scenario) == ([200] * 5, ["i-0", "i-1"])
