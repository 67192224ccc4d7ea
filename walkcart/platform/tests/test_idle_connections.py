"""Connections to leafs that were idle for a while."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform


def test_what_must_not_repeat_never_goes_over_a_connection_that_was_idle():
    async def run():
        async with open_platform() as world:
            await world.start_leaf("p-0", "plain", records=b"body")
            route = make_route(
                "once", "/once/", backend="plain", routeType="non_idempotent"
            )
            world.configure(route)
            await world.start_instance()
            await world.wait_ready()
            statuses = []
            for pause in (0.1, 5, 0.1, 5):
                statuses.append((await world.ask("/once/x", method="POST")).status)
                # The leaf forgets what is idle without a word: what is sent next
                # over such a connection is reset.
                if pause > 1:
                    world.servers["p-0"].drop_connections_silently()
                await trio.sleep(pause)
            return statuses, world.leafs["p-0"].ran

    statuses, ran = run_mocked(run)
    assert statuses == [200] * 4
    assert len(ran) == 4
