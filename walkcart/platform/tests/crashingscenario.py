"""The platform that the tests of leaf-crashing requests run on."""

import json

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.crashingworld import CrashingWorld, make_sharded_route
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.wire.http import ExchangeFailed

SHARDS = 9
CRASHING_TARGET = "/all/bad"
PLACES = ("north-a", "south-a", "east-a")


def run_with_crashes(
    action,
    instances=("one", "two", "three"),
    places=("north-a",),
    targets=(CRASHING_TARGET,),
):
    """Run `action(crashing)` on a platform with shards and one service of four leaves.

    Args:
        action: async function that gets the `CrashingWorld`.
        instances: names of the instances.
        places: data centres of the instances and leaves, in turn.
        targets: targets of the requests that crash the leaf that runs them.
    """

    async def run():
        async with open_platform() as world:
            crashing = CrashingWorld(world, set(targets))
            for number in range(4):
                await crashing.start_leaf("service", places[number % len(places)])
            names = await crashing.start_shards(SHARDS, places=places)
            world.configure(
                make_sharded_route(names), make_route("one", "/one/", backend="service")
            )
            for number, name in enumerate(instances):
                await world.start_instance(name, places[number % len(places)])
                await world.wait_ready(name)
            await trio.sleep(3)
            return await action(crashing)

    return run_mocked(run)


def read_events(world, name):
    """Return the log lines of one event."""
    lines = (json.loads(line) for line in world.log.getvalue().splitlines())
    return [line for line in lines if line["event"] == name]


async def ask_steadily(crashing, seconds, path="/all/good", interval=0.05):
    """Send different requests to all instances at an interval; return the statuses."""
    world = crashing.world
    statuses = []

    async def ask(number, name):
        try:
            statuses.append((await world.ask(f"{path}-{number}", name)).status)
        except (OSError, ExchangeFailed):
            # The instance was killed meanwhile.
            statuses.append(0)

    names = list(world.tenants)
    async with trio.open_nursery() as nursery:
        for number in range(int(seconds / interval)):
            nursery.start_soon(ask, number, names[number % len(names)])
            await trio.sleep(interval)
    return statuses
