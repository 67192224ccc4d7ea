"""Entries of another writer that are as long as the store allows."""

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import open_platform
from walkcart.platform.tests.test_start_calls import start_fleet

#: Largest value that the platform's store takes, in bytes.
LONGEST = 1 << 20
#: Number of such entries: more than a reading or a message of instances may hold.
COUNT = 20
#: Maximum time until a leaf is known, in seconds.
MAX_DELAY = 3.0


def store_long_entries(world):
    for number in range(COUNT):
        world.store.put(f"servers/long-{number}", b" " * LONGEST)


def find_known(world, service):
    return {
        tuple(leaf.id for leaf in directory.leaves_of(service))
        for directory in (
            running.tenant.kernel.find("directory", LeafDirectory)
            for running in world.tenants.values()
        )
    }


@pytest.mark.parametrize("count", [1, 15])
def test_long_entries_stop_no_start(count):
    # Guards against entries of another writer for which no leaf is known.
    async def run():
        async with open_platform() as world:
            store_long_entries(world)
            await start_fleet(world, count)
            await trio.sleep(MAX_DELAY)
            known = find_known(world, "shard-0")
            return known, (await world.ask("/all/x", "w00")).status

    assert run_mocked(run) == ({("i-0",)}, 200)


@pytest.mark.parametrize("count", [1, 15])
def test_long_entries_delay_no_other(count):
    # Guards against entries that fill the replies of the store or the feeds.
    async def run():
        async with open_platform() as world:
            await start_fleet(world, count)
            await trio.sleep(30)
            store_long_entries(world)
            world.add_entry("x", "other")
            await trio.sleep(MAX_DELAY)
            before = find_known(world, "other")
            world.store.compact()
            world.store.remove("servers/x")
            await trio.sleep(MAX_DELAY)
            return before, find_known(world, "other")

    assert run_mocked(run) == ({("x",)}, {()})
