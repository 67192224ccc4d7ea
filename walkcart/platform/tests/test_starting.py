"""The first requests of an instance that has just started."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform

SHARDS = 4


def request_at_start(prepare=lambda world: None, helper=False):
    """Send a request as soon as an instance listens; return reply, seconds and log."""

    async def run():
        async with open_platform() as world:
            names = [f"shard-{number}" for number in range(SHARDS)]
            for name in names:
                await world.start_leaf(f"i-{name}", name, "south-a")
            route = {"fanoutServices": names, "topK": 3, "minCoverage": 1.0}
            world.configure(make_route("all", "/all/", **route))
            if helper:
                await world.start_instance("helper", "south-a")
                await world.wait_ready("helper")
                await trio.sleep(5)
            prepare(world)
            await world.start_instance("one", "north-a")
            start = trio.current_time()
            reply = await world.ask("/all/x")
            return reply, trio.current_time() - start, world.log.getvalue()

    return run_mocked(run)


def test_request_before_the_configuration_is_read_waits_for_it():
    reply, elapsed, _ = request_at_start()
    assert reply.status == 200
    assert elapsed < 0.2


def test_request_without_a_store_is_refused_soon_with_a_retry_time():
    def cut_store(world):
        world.network.cut("store", "north-a")

    reply, elapsed, _ = request_at_start(cut_store)
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) > 0
    assert elapsed < 0.25


def test_no_question_is_delegated_to_an_instance_not_yet_heard_from():
    reply, elapsed, log = request_at_start(helper=True)
    assert reply.status == 200
    assert elapsed < 0.2
    assert "delegate_lost" not in log
