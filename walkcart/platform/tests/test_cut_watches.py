"""Waiting watches that the store cuts while it serves all other calls."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import make_route, open_platform

#: Maximum time from the removal of an entry until its leaf gets no further request, in
#: seconds.
MAX_DRAIN_TIME = 3.0


async def cut_watches(world, interval):
    while True:
        for stream in world.network.find_streams(world.store_address):
            await stream.aclose()
        await trio.sleep(interval)


def test_cut_watches_do_not_keep_a_leaf_whose_entry_is_gone():
    # Guards against each cut of a watch that counts as the store's return.
    async def run():
        async with open_platform() as world:
            for number in range(2):
                await world.start_leaf(f"p-{number}", "plain", records=b"body")
            world.configure(make_route("one", "/one/", backend="plain"))
            await world.start_instance()
            await world.wait_ready()
            await trio.sleep(10)
            world.nursery.start_soon(cut_watches, world, 2.0)
            await trio.sleep(1)
            world.store.remove("servers/p-0")
            await trio.sleep(MAX_DRAIN_TIME)
            before = len(world.leafs["p-0"].arrived)
            for _ in range(20):
                await world.ask("/one/x")
                await trio.sleep(0.2)
            kernel = world.tenants["one"].tenant.kernel
            directory = kernel.find("directory", LeafDirectory)
            leafs = [leaf.id for leaf in directory.leaves_of("plain")]
            return leafs, len(world.leafs["p-0"].arrived) - before

    assert run_mocked(run) == (["p-1"], 0)
