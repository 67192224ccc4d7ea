"""Logs identify the question that a leaf ran when it crashed, also after a retry."""

import json

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.crashingworld import CrashingWorld
from walkcart.platform.tests.platformworld import make_route, open_platform


def test_logs_give_two_tries_of_a_question_the_same_identifier():
    async def run():
        async with open_platform() as world:
            crashing = CrashingWorld(world, {"/one/bad"})
            for _ in range(4):
                await crashing.start_leaf("service")
            world.configure(make_route("one", "/one/", backend="service"))
            for name in ("one", "two"):
                await world.start_instance(name)
                await world.wait_ready(name)
            await world.ask("/one/bad", "one")
            await world.ask("/one/bad", "two")
            lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
            return crashing, lines

    crashing, lines = run_mocked(run)
    crashes = [line for line in lines if line["event"] == "leaf_ended"]
    unserved = [line for line in lines if line["event"] == "request_unserved"]
    assert {line["leaf_id"] for line in crashes} == {
        item.leaf for item in crashing.ended
    }
    assert len({line["question"] for line in (*crashes, *unserved)}) == 1
    assert len(unserved) == 2
