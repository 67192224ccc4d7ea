"""Leaves that become unreachable, so that connections to them hang."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform


def ask_beside_unreachable_leaf(kind):
    """Send twenty requests while one of two leaves is unreachable.

    Returns:
        The status and the seconds of each request, and the ids of the requests run.
    """

    async def run():
        async with open_platform() as world:
            await world.start_leaf("p-0", "plain", "north-a", records=b"body")
            await world.start_leaf("p-1", "plain", "south-a", records=b"body")
            world.leafs["p-0"].work = 0.08
            world.configure(
                make_route("r", "/r/", backend="plain", routeType=kind, maxAttempts=2)
            )
            await world.start_instance(data_centre="north-a")
            await world.wait_ready()
            await trio.sleep(10)
            world.network.cut("north-a", "south-a")
            results = []

            async def ask():
                start = trio.current_time()
                reply = await world.ask("/r/x", method="POST")
                results.append((reply.status, trio.current_time() - start))

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(ask)
                    await trio.sleep(0.05)
            ran = [id for leaf in world.leafs.values() for id in leaf.ran]
            return results, ran

    return run_mocked(run)


def test_request_that_waits_for_an_unreachable_leaf_goes_elsewhere():
    for kind in ("non_idempotent", "idempotent"):
        results, ran = ask_beside_unreachable_leaf(kind)
        assert {status for status, _ in results} == {200}
        assert max(elapsed for _, elapsed in results) < 0.9
        assert kind == "idempotent" or len(ran) == len(set(ran)) == 20
