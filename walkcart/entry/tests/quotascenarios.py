"""Scenarios for tests of teams' rate limits, and checks that hold in each of them."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.tests.quotafleet import Fleet
from walkcart.intent.teams import RateLimit, Team

LARGE = Team("large", limit=RateLimit(12.0, 6.0))
SMALL = Team("small", limit=RateLimit(1.0, 1.0))
FREE = Team("free")
#: Usual rate of a team, as a fraction of its limit.
USUAL = 0.6
#: Maximum fraction of the requests within the limit that may be refused, also with one
#: failure.
MAX_REFUSED_FRACTION = 1 / 200


def run_scenario(action, count=9, teams=(LARGE, SMALL, FREE), seed=1):
    """Run `action` with a started fleet, in virtual time; return the fleet."""

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(count, teams, seed)
            await fleet.start(nursery)
            await action(fleet)
            nursery.cancel_scope.cancel()
        return fleet

    return run_mocked(run)


async def send_usual_load(fleet, seconds):
    """Send requests of both limited teams at their usual rates; check the shares."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send, "large", 12.0 * USUAL, seconds)
        nursery.start_soon(fleet.send, "small", 0.1, seconds)
        nursery.start_soon(check_shares_repeatedly, fleet, seconds)


async def check_shares_repeatedly(fleet, seconds):
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        fleet.check_shares()
        await trio.sleep(0.05)


def check_served(fleet):
    fleet.check_windows("large", LARGE.limit)
    fleet.check_windows("small", SMALL.limit)
    assert fleet.find_refused_fraction("large") < MAX_REFUSED_FRACTION
    assert not fleet.refused["small"]
