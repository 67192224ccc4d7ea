"""Faults of the store: unavailable, silent, with a lost history or lost keys."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.instancerecord import INSTANCE_PREFIX
from walkcart.membership.registration import Registration
from walkcart.platform.tests.platformworld import make_route, open_platform


def with_instance(action):
    """Run `action(world)` with one instance and two leaves of one service."""

    async def run():
        async with open_platform() as world:
            for number in range(2):
                await world.start_leaf(f"p-{number}", "plain", records=b"body")
            world.configure(make_route("one", "/one/", backend="plain"))
            await world.start_instance()
            await world.wait_ready()
            await trio.sleep(10)
            return await action(world)

    return run_mocked(run)


def find_service(world, kind, name):
    return world.tenants["one"].tenant.kernel.find(name, kind)


def test_requests_are_served_while_the_store_is_unavailable():
    async def act(world):
        world.store.faults.silent = True
        statuses = []
        for _ in range(20):
            statuses.append((await world.ask("/one/x")).status)
            await trio.sleep(1)
        return statuses, (await world.ask_ready()).status

    statuses, ready = with_instance(act)
    assert set(statuses) == {200}
    assert ready == 200


def test_change_made_while_the_store_was_silent_is_in_force_soon_after():
    async def act(world):
        # The waiting watches never report the change: their connections went silent.
        world.store.faults.silent = True
        world.network.cut("store", "north-a")
        await trio.sleep(5)
        world.configure(make_route("two", "/two/", backend="plain"))
        world.store.faults.silent = False
        world.network.heal("store", "north-a")
        await trio.sleep(3)
        return (await world.ask("/two/x")).status

    assert with_instance(act) == 200


def test_expired_entries_are_kept_until_leaves_had_time_to_store_them_again():
    async def act(world):
        directory = find_service(world, LeafDirectory, "directory")
        world.store.faults.refusal = 503
        await trio.sleep(5)
        world.store.remove("servers/p-0")
        world.store.remove("servers/p-1")
        world.store.faults.refusal = 0
        await trio.sleep(1.2)
        kept = len(directory.leaves_of("plain"))
        world.store.put("servers/p-0", world.entries["p-0"])
        await trio.sleep(3)
        return kept, [leaf.id for leaf in directory.leaves_of("plain")]

    assert with_instance(act) == (2, ["p-0"])


def test_entry_removed_while_the_store_works_is_dropped_at_once():
    async def act(world):
        world.store.remove("servers/p-0")
        await trio.sleep(0.7)
        directory = find_service(world, LeafDirectory, "directory")
        return [leaf.id for leaf in directory.leaves_of("plain")]

    assert with_instance(act) == ["p-1"]


def test_items_are_read_again_when_the_history_is_lost():
    async def act(world):
        world.store.remove("servers/p-0")
        world.store.compact()
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(1.5)
        return (await world.ask("/two/x")).status, world.leafs["p-0"].arrived

    assert with_instance(act) == (200, [])


def test_removed_key_of_the_instance_is_stored_again():
    async def act(world):
        world.store.remove(INSTANCE_PREFIX + "one")
        await trio.sleep(8)
        return INSTANCE_PREFIX + "one" in world.store.rows

    assert with_instance(act)


def test_lost_reply_to_the_registration_does_no_harm():
    async def act(world):
        world.store.faults.lose_writes = True
        world.store.remove(INSTANCE_PREFIX + "one")
        await trio.sleep(12)
        world.store.faults.lose_writes = False
        await trio.sleep(6)
        return INSTANCE_PREFIX + "one" in world.store.rows

    assert with_instance(act)


def test_vanished_instance_still_counts_for_a_while():
    async def act(world):
        await world.start_instance("two")
        await trio.sleep(10)
        registration = find_service(world, Registration, "registration")
        both = registration.count()
        world.store.remove(INSTANCE_PREFIX + "two")
        world.tenants["two"].scope.cancel()
        await trio.sleep(10)
        soon = registration.count()
        await trio.sleep(30)
        return both, soon, registration.count()

    assert with_instance(act) == (2, 2, 1)


def test_entries_on_many_pages_are_all_read():
    async def act(world):
        for number in range(130):
            entry = {**world.entries["p-0"], "backend": f"s-{number}"}
            world.store.put(f"servers/x-{number:03}", entry)
        world.store.compact()
        await trio.sleep(2)
        return len(list(find_service(world, LeafDirectory, "directory").entries()))

    assert with_instance(act) == 132


def test_all_changes_made_while_the_store_was_unavailable_are_known_soon():
    """Guards against catching up too slowly: the store returns 500 changes at a time.

    With a pause of a second after each reply, an instance that the store had refused
    for 9 s lagged behind for over 7 s, and reported that it was current: it sent
    requests to leaves 5.02 s after they had announced their stop, of 5 s allowed.
    """

    async def act(world):
        entry = world.entries["p-0"]
        world.network.cut("store", "north-a")
        for number in range(3000):
            content = {**entry, "warmupLeftMs": number}
            world.store.put(f"servers/x-{number % 300:03}", content)
        world.store.put("servers/p-1", {**world.entries["p-1"], "state": "draining"})
        await trio.sleep(3)
        world.network.heal("store", "north-a")
        # Time for the renewal in progress, the pause after it, and the watches.
        await trio.sleep(2)
        directory = find_service(world, LeafDirectory, "directory")
        leafs = {leaf.id for leaf in directory.leaves_of("plain")}
        return len(leafs), "p-1" in leafs

    assert with_instance(act) == (301, False)
