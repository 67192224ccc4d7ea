"""Equal requests of many callers are served again after one crash of all leaves.

The failure: callers ask for the same resource, 40 times a second at three instances.
All leaves of the service crash once and are back after four seconds. From the crash on
the request is refused for 300 s at every instance, also after a restart of all
instances, while the same leaves answer every other request.

It comes about when each of the equal requests that the leaves had counts as evidence of
its own. The signs: all `leaf_ended` lines of one `question` lie within some ms, and
`request_quarantined` says "refused" right after them. `test_crashing_requests` has the
requests that do crash leaves.
"""

import trio

from walkcart.platform.tests.crashingscenario import read_events, run_with_crashes
from walkcart.platform.tests.crashingworld import make_sharded_route
from walkcart.platform.tests.platformworld import make_route
from walkcart.routing.quarantine import FIRST_REFUSAL_TIME

SAME = "/one/same"
SAME_SHARDED = "/all/same"
#: Time that leaves work on a request, in seconds.
WORK_TIME = 0.18
#: Seconds from the crash until requests are counted, when the leaves are back.
BACK_TIME = 6.0
#: Seconds after which requests are served that were refused after the crash.
TRIED_TIME = FIRST_REFUSAL_TIME + 6.0


async def ask_same(crashing, seconds, path, statuses):
    """Send equal requests to all instances in turn, 40 a second."""
    names = list(crashing.world.tenants)

    async def ask(name):
        asked_at = trio.current_time()
        reply = await crashing.world.ask(path, name)
        statuses.append((asked_at, reply.status))

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * 40)):
            nursery.start_soon(ask, names[number % len(names)])
            await trio.sleep(1 / 40)


def set_work_time(crashing):
    for leaf in crashing.world.leafs.values():
        leaf.faults.delay = WORK_TIME


def run_with_one_crash(path, gap=0.0, served_after=BACK_TIME, restarts=False):
    """Return the statuses of equal requests sent later than allowed after a crash.

    Args:
        path: target of the requests.
        gap: seconds between the crashes of two leaves.
        served_after: seconds from the first crash until requests are counted.
        restarts: whether all instances are killed and started meanwhile.
    """

    async def scenario(crashing):
        world, statuses = crashing.world, []
        set_work_time(crashing)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_same, crashing, 2, path, statuses)
            await trio.sleep(1)
            struck_at = trio.current_time()
            for id in crashing.find_running_leaves():
                crashing.crash(id)
                await trio.sleep(gap)
        await trio.sleep(3)
        if restarts:
            for running in list(world.tenants.values()):
                running.scope.cancel()
            await trio.sleep(1)
            for name in list(world.tenants):
                await world.start_instance(name)
                await world.wait_ready(name)
        late = []
        await ask_same(crashing, 12, path, late)
        counted = [status for at, status in late if at > struck_at + served_after]
        return counted, read_events(world, "leaf_ended")

    counted, ended = run_with_crashes(scenario, targets=())
    assert len(ended) > 2
    return counted


def test_equal_requests_are_served_once_all_leaves_are_back():
    counted = run_with_one_crash(SAME)
    assert counted
    assert set(counted) == {200}


def test_equal_requests_are_served_after_a_crash_and_a_restart_of_all_instances():
    counted = run_with_one_crash(SAME, restarts=True)
    assert counted
    assert set(counted) == {200}


def test_equal_requests_are_served_soon_after_leaves_crashed_one_after_the_other():
    """A leaf that is asked next, and was seen to live, crashes some ms later."""
    counted = run_with_one_crash(SAME, gap=0.03, served_after=TRIED_TIME)
    assert counted
    assert set(counted) == {200}


def test_equal_questions_over_shards_are_served_soon_after_all_leaves_crashed():
    counted = run_with_one_crash(SAME_SHARDED, served_after=TRIED_TIME)
    assert counted
    assert set(counted) == {200}


def test_equal_unrepeatable_requests_are_served_once_all_leaves_are_back():
    async def scenario(crashing):
        world = crashing.world
        names = [f"shard-{number}" for number in range(9)]
        world.configure(
            make_sharded_route(names),
            make_route("one", "/one/", backend="service", routeType="non_idempotent"),
        )
        await trio.sleep(1)
        set_work_time(crashing)
        statuses = []

        async def ask(name):
            statuses.append((await world.ask(SAME, name, method="POST")).status)

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(ask, ("one", "two", "three")[number % 3])
            await trio.sleep(0.1)
            for id in crashing.find_running_leaves():
                crashing.crash(id)
        await trio.sleep(5)
        await ask("two")
        return statuses

    assert run_with_crashes(scenario, targets=()) == [502] * 6 + [200]
