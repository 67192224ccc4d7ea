"""Urgent requests beside long ones at a leaf that has become slow."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import (
    make_key_headers,
    make_route,
    make_team,
    open_platform,
)

#: Time that the slow leaf adds to each request, in seconds.
SLOW_DELAY = 0.3
#: The request limits at leaves apply only where teams are configured.
KEY = make_key_headers("key")
#: Number of long requests that are sent at once.
LONG_REQUESTS = 10


async def start_world(world):
    """Start a leaf and an instance, and let the instance learn the response times."""
    leaf = await world.start_leaf("only", "desk")
    routes = [("long", 1, 200), ("urgent", 0, 100)]
    world.configure(
        *(
            make_route(
                name,
                f"/{name}/",
                backend="desk",
                priority=rank,
                targetLatencyMs=objective,
                timeoutMs=9000,
            )
            for name, rank, objective in routes
        ),
        teams=[make_team("fitters", "key")],
    )
    await world.start_instance()
    await world.wait_ready()
    for _ in range(20):
        await world.ask("/long/x", headers=KEY)
        await world.ask("/urgent/x", headers=KEY)
    return leaf


async def ask_at_once(world, leaf):
    """Send long requests and then an urgent one.

    Returns:
        The statuses, the targets in their order of arrival at the leaf, and the number
        of requests that arrived before the urgent one was sent.
    """
    statuses = []
    before = len(leaf.arrived)

    async def ask(path):
        statuses.append((await world.ask(path, deadline_ms=9000, headers=KEY)).status)

    async with trio.open_nursery() as nursery:
        for _ in range(LONG_REQUESTS):
            nursery.start_soon(ask, "/long/x")
        await trio.sleep(0.02)
        arrived_first = len(leaf.arrived) - before
        nursery.start_soon(ask, "/urgent/x")
    targets = [request.target for request in leaf.arrived[before:]]
    return statuses, targets, arrived_first


def run_load(slow):
    """Return the result of `ask_at_once` with a slow leaf or a usual one."""

    async def run():
        async with open_platform() as world:
            leaf = await start_world(world)
            if slow:
                leaf.faults.delay = SLOW_DELAY
                for _ in range(10):
                    await world.ask("/long/x", deadline_ms=9000, headers=KEY)
            return await ask_at_once(world, leaf)

    return run_mocked(run)


def test_urgent_request_overtakes_long_ones_that_wait_for_a_slow_leaf():
    statuses, targets, _ = run_load(slow=True)
    assert statuses == [200] * (LONG_REQUESTS + 1)
    # One long request is at the leaf, and the reply before it admitted another.
    assert targets.index("/urgent/x") <= 2


def test_leaf_at_its_usual_speed_gets_all_requests_at_once():
    statuses, _, arrived_first = run_load(slow=False)
    assert statuses == [200] * (LONG_REQUESTS + 1)
    assert arrived_first == LONG_REQUESTS


def test_request_that_would_miss_its_deadline_is_refused_before_a_leaf_gets_it():
    async def run():
        async with open_platform() as world:
            leaf = await start_world(world)
            leaf.faults.delay = SLOW_DELAY
            for _ in range(10):
                await world.ask("/long/x", deadline_ms=9000, headers=KEY)
            served = []

            async def ask():
                served.append(
                    (await world.ask("/long/x", deadline_ms=9000, headers=KEY)).status
                )

            async with trio.open_nursery() as nursery:
                for _ in range(4 * LONG_REQUESTS):
                    nursery.start_soon(ask)
                await trio.sleep(0.05)
                before = len(leaf.arrived)
                start = trio.current_time()
                short = await world.ask("/long/hasty", deadline_ms=1000, headers=KEY)
                elapsed = trio.current_time() - start
                urgent = await world.ask("/urgent/x", deadline_ms=2000, headers=KEY)
            targets = [request.target for request in leaf.arrived[before:]]
            return served, short, elapsed, urgent, targets

    served, short, elapsed, urgent, targets = run_mocked(run)
    assert short.status == 503
    assert elapsed < 0.05
    assert "/long/hasty" not in targets
    # Two slots and 300 ms each: forty requests are done after six seconds.
    assert 3 <= float(short.header(b"retry-after")) <= 14
    assert urgent.status == 200
    assert served == [200] * (4 * LONG_REQUESTS)
