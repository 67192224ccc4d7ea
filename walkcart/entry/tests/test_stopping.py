"""A planned stop cuts off no request in progress."""

import trio

from walkcart.bench.caller import Caller
from walkcart.bench.harness import TOKENS, make_caller, open_estate, run_mocked
from walkcart.once.keys import make_key
from walkcart.standins.balancer import BalancerStandin


async def load(world, balancer, seconds, interval, outcomes, writes=False):
    """Send requests through the load balancer at a fixed rate, without retries."""
    caller = Caller(world.network("client"), TOKENS["red"])

    async def ask(number):
        address = balancer.choose()
        if writes and number % 3 == 0:
            key = make_key(world.clock.now(), world.random)
            asked = await caller.execute(address, "cards", number, key)
        else:
            asked = await caller.query(address, "parts", number)
        outcomes.append((asked.status, asked.verdict, asked.content))

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds / interval)):
            nursery.start_soon(ask, number)
            await trio.sleep(interval)


def check_all_answered(outcomes):
    assert outcomes
    assert all(status == 200 for status, _, _ in outcomes), [
        item for item in outcomes if item[0] != 200
    ][:3]


def test_rolling_restart_of_seven_instances_under_load_causes_no_error():
    async def run():
        async with open_estate(instances=7) as world:
            addresses = [item.address for item in world.instances.values()]
            balancer = BalancerStandin(world.network("client"), addresses)
            outcomes, ended = [], []

            async def roll():
                for number in range(7):
                    name = f"instance-{number}"
                    ended.append(await world.stop_instance(name))
                    running = await world.start_instance(name)
                    balancer.instances.append(running.address)
                    await trio.sleep(1.5)

            async with trio.open_nursery() as nursery:
                await nursery.start(balancer.watch)
                nursery.start_soon(roll)
                await load(world, balancer, 32.0, 0.04, outcomes, writes=True)
                nursery.cancel_scope.cancel()
            return outcomes, ended

    outcomes, ended = run_mocked(run)
    check_all_answered(outcomes)
    assert ended == [True] * 7


def test_stop_waits_for_requests_in_progress():
    async def run():
        async with open_estate(changes={"stop_grace": seconds(0)}) as world:
            for item in world.leaves.values():
                item.leaf.faults.slow = 30.0
            caller = make_caller(world)
            address = world.instances["instance-0"].address
            asked = []

            async def ask():
                asked.append(await caller.query(address, "parts", 1))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.05)
                ended = await world.stop_instance("instance-0")
            return asked[0], ended

    asked, ended = run_mocked(run)
    assert asked.status == 200
    assert asked.content["coverage"]["complete"]
    assert ended


def seconds(count):
    from datetime import timedelta

    return timedelta(seconds=count)


def test_stop_waits_for_requests_that_other_instances_forwarded():
    async def run():
        async with open_estate(instances=12, connections=8) as world:
            from walkcart.bench.world import make_service

            await world.apply(make_service("parts", 4, connections=8))
            await trio.sleep(6)
            addresses = [
                world.instances[f"instance-{number}"].address for number in range(6)
            ]
            balancer = BalancerStandin(world.network("client"), addresses)
            outcomes, ended = [], []

            async def roll():
                for number in range(6, 12):
                    ended.append(await world.stop_instance(f"instance-{number}"))

            async with trio.open_nursery() as nursery:
                await nursery.start(balancer.watch)
                nursery.start_soon(roll)
                await load(world, balancer, 16.0, 0.04, outcomes)
                nursery.cancel_scope.cancel()
            return outcomes, ended

    outcomes, ended = run_mocked(run)
    check_all_answered(outcomes)
    assert ended == [True] * 6


def test_stop_during_a_store_outage_ends():
    async def run():
        async with open_estate() as world:
            world.store.faults.down = True
            return await world.stop_instance("instance-1")

    assert run_mocked(run)


def test_stopping_two_instances_at_once_under_queries_and_writes_causes_no_error():
    async def run():
        async with open_estate(instances=5) as world:
            addresses = [item.address for item in world.instances.values()]
            balancer = BalancerStandin(world.network("client"), addresses)
            outcomes, ended = [], []

            async def stop(name):
                ended.append(await world.stop_instance(name))

            async with trio.open_nursery() as nursery:
                await nursery.start(balancer.watch)
                nursery.start_soon(stop, "instance-0")
                nursery.start_soon(stop, "instance-1")
                await load(world, balancer, 8.0, 0.03, outcomes, writes=True)
                nursery.cancel_scope.cancel()
            return outcomes, ended

    outcomes, ended = run_mocked(run)
    check_all_answered(outcomes)
    assert ended == [True, True]
