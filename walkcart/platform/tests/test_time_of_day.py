"""Instances whose machines disagree on the time of day, also after a restart."""

from datetime import UTC, datetime, timedelta

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.platform.tests.platformworld import (
    PlatformWorld,
    make_route,
    open_platform,
)

NOW = datetime(2026, 12, 4, tzinfo=UTC)
#: Times of day of an instance and of the other ones.
TIMES = {
    "beginning": datetime(1970, 1, 1, tzinfo=UTC),
    "behind": NOW - timedelta(seconds=7),
    "far ahead": datetime(2262, 4, 11, tzinfo=UTC),
}


def set_time(monkeypatch, time):
    """Set the time of day of the instances that start from now on."""
    monkeypatch.setattr(PlatformWorld, "make_clock", lambda world: TrioClock(time))


@pytest.mark.parametrize("kind", TIMES)
@pytest.mark.parametrize("restarted", [False, True])
def test_instance_serves_whatever_its_time_of_day(monkeypatch, kind, restarted):
    async def run():
        async with open_platform() as world:
            for number in range(3):
                await world.start_leaf(f"i-{number}", f"shard-{number}", "south-a")
            names = [f"shard-{number}" for number in range(3)]
            route = {"fanoutServices": names, "topK": 3, "minCoverage": 1.0}
            world.configure(make_route("all", "/all/", **route))
            set_time(monkeypatch, NOW)
            await world.start_instance("two", "south-a")
            if restarted:
                first = await world.start_instance("one", "north-a")
                await world.wait_ready("one")
                await trio.sleep(5)
                first.scope.cancel()
            set_time(monkeypatch, TIMES[kind])
            await world.start_instance("one", "north-a")
            await world.wait_ready("one")
            await trio.sleep(5)
            replies = []
            for instance in ("one", "two"):
                for _ in range(10):
                    replies.append(await world.ask("/all/x", instance))
                    await trio.sleep(0.2)
            return [reply.status for reply in replies], world.log.getvalue()

    statuses, log = run_mocked(run)
    assert statuses == [200] * 20
    assert '"task_failed"' not in log
    assert '"peer_bad_message"' not in log
