"""Urgent requests beside long ones at a leaf that has turned slow."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import (
    make_key_headers,
    make_route,
    make_team,
    open_platform,
)

SLOW = 0.3
#: Limits at leafs hold where teams compete.
KEY = make_key_headers("key")
LONG = 10


async def start_world(world):
    """Start an instance and a leaf, and let it learn their times."""
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
    """Ask for long requests and then an urgent one; return statuses and arrivals."""
    statuses = []
    before = len(leaf.arrived)

    async def ask(path):
        statuses.append((await world.ask(path, deadline_ms=9000, headers=KEY)).status)

    async with trio.open_nursery() as nursery:
        for _ in range(LONG):
            nursery.start_soon(ask, "/long/x")
        await trio.sleep(0.02)
        arrived_first = len(leaf.arrived) - before
        nursery.start_soon(ask, "/urgent/x")
    targets = [request.target for request in leaf.arrived[before:]]
    return statuses, targets, arrived_first


def play(slow):
    async def run():
        async with open_platform() as world:
            leaf = await start_world(world)
            if slow:
                leaf.faults.delay = SLOW
                for _ in range(10):
                    await world.ask("/long/x", deadline_ms=9000, headers=KEY)
            return await ask_at_once(world, leaf)

    return run_mocked(run)


def test_an_urgent_request_passes_long_ones_that_wait_for_a_slow_leaf():
    statuses, targets, _ = play(slow=True)
    assert statuses == [200] * (LONG + 1)
    # One long request at the leaf, and one that the reply before it let in.
    assert targets.index("/urgent/x") <= 2


def test_a_leaf_at_its_usual_pace_gets_all_at_once():
    statuses, _, arrived_first = play(slow=False)
    assert statuses == [200] * (LONG + 1)
    assert arrived_first == LONG


def test_what_surely_comes_too_late_is_refused_before_a_leaf_has_it():
    async def run():
        async with open_platform() as world:
            leaf = await start_world(world)
            leaf.faults.delay = SLOW
            for _ in range(10):
                await world.ask("/long/x", deadline_ms=9000, headers=KEY)
            served = []

            async def ask():
                served.append(
                    (await world.ask("/long/x", deadline_ms=9000, headers=KEY)).status
                )

            async with trio.open_nursery() as nursery:
                for _ in range(4 * LONG):
                    nursery.start_soon(ask)
                await trio.sleep(0.05)
                before = len(leaf.arrived)
                start = trio.current_time()
                hasty = await world.ask("/long/hasty", deadline_ms=1000, headers=KEY)
                elapsed = trio.current_time() - start
                urgent = await world.ask("/urgent/x", deadline_ms=2000, headers=KEY)
            targets = [request.target for request in leaf.arrived[before:]]
            return served, hasty, elapsed, urgent, targets

    served, hasty, elapsed, urgent, targets = run_mocked(run)
    assert hasty.status == 503
    assert elapsed < 0.05
    assert "/long/hasty" not in targets
    # Two slots and 300 ms each: forty are done after six seconds.
    assert 3 <= float(hasty.header(b"retry-after")) <= 14
    assert urgent.status == 200
    assert served == [200] * (4 * LONG)
