"""What the tests of teams' rate limits play, and what must hold in each play."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.tests.quotafleet import Fleet
from walkcart.intent.teams import RateLimit, Team

LARGE = Team("large", limit=RateLimit(12.0, 6.0))
SMALL = Team("small", limit=RateLimit(1.0, 1.0))
FREE = Team("free")
#: What a team sends as a rule, as a share of its limit.
USUAL = 0.6
#: Share of what is due that may be refused, also beside one failure.
MOST_REFUSED = 1 / 200


def play(action, count=9, teams=(LARGE, SMALL, FREE), seed=1):
    """Run `action` with a fleet."""

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(count, teams, seed)
            await fleet.start(nursery)
            await action(fleet)
            nursery.cancel_scope.cancel()
        return fleet

    return run_mocked(run)


async def send_usual(fleet, seconds):
    """Send what both teams send as a rule."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send, "large", 12.0 * USUAL, seconds)
        nursery.start_soon(fleet.send, "small", 0.1, seconds)
        nursery.start_soon(watch_shares, fleet, seconds)


async def watch_shares(fleet, seconds):
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        fleet.check_shares()
        await trio.sleep(0.05)


def check_served(fleet):
    fleet.check_windows("large", LARGE.limit)
    fleet.check_windows("small", SMALL.limit)
    assert fleet.find_share_refused("large") < MOST_REFUSED
    assert not fleet.refused["small"]
