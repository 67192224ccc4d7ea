"""How soon keys that are added or taken away act where the store turns some away.

Each change adds a key and takes the one before away. The time at each instance is
that from the store's acknowledgement until the new key is let in and the old one isn't.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.teamaccess import MAX_CONFIGURATION_AGE
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.teams import digest_key
from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import (
    REGIONS,
    PlatformWorld,
    make_route,
    make_team,
    open_platform,
)
from walkcart.standins.serving import StandinServer
from walkcart.store.calls import StoreCalls
from walkcart.store.follower import PrefixFollower
from walkcart.wire.http import HttpReply

#: Seconds until a change acts where feeds stand.
BOUND = 1.0
#: The same for one that comes just as the store begins to turn instances away: until
#: they are fed.
TURNED_BOUND = 3.0
#: Seconds for which a fleet that starts settles.
SETTLE_TIME = 30
TEAMS = 78
KEYS_EACH = 30
CHANGES = 8
#: Seconds between two looks at the ages of the copies.
LOOK = 0.25
#: How the store turns an instance away: a status, a closed connection, silence.
WAYS = (503, 429, "reset", "silent")


@dataclass(eq=False)
class KeyEstate:
    """Instances that follow the teams of one configuration.

    Args:
        world: around them.
        seen: by instance, when each version came into force.
    """

    world: PlatformWorld
    seen: dict[str, dict[int, float]] = field(default_factory=dict)
    acknowledged: dict[int, float] = field(default_factory=dict)
    changes: int = 0

    async def start(self, name: str, data_centre: str) -> None:
        running = await self.world.start_instance(name, data_centre)
        seen = self.seen[name] = {}
        keeper = running.tenant.kernel.find("keeper", RouteKeeper)

        def note(table) -> None:
            seen.setdefault(table.document.version, trio.current_time())

        keeper.on_change(note)

    async def start_many(self, count: int) -> None:
        self.change()
        places = tuple(REGIONS)
        for number in range(count):
            await self.start(f"w{number:03}", places[number % len(places)])
        await trio.sleep(SETTLE_TIME)
        self.acknowledged.clear()

    def change(self) -> None:
        """Store a version with a new key and without the one of the last version."""
        self.changes += 1
        teams = [
            make_team(
                f"team-{team}", *(f"key-{team}-{number}" for number in range(KEYS_EACH))
            )
            for team in range(TEAMS)
        ]
        teams.append(make_team("changing", f"changing-{self.changes}"))
        route = make_route("one", "/one/", backend="plain")
        version = self.world.configure(route, teams=teams)
        self.acknowledged[version] = trio.current_time()

    async def turn_away(self, name: str, way: int | str) -> None:
        """Have the store turn an instance away."""

        async def refuse(request):
            if way == "silent":
                await trio.sleep_forever()
            return None if way == "reset" else HttpReply(way)

        server = StandinServer(refuse)
        site = self.world.network.at("store")
        address = await self.world.nursery.start(
            server.run, site, HostPort("127.0.0.1", 0)
        )
        self.find(name, "calls", StoreCalls).set_address(address)

    def find(self, name, service, kind):
        return self.world.tenants[name].tenant.kernel.find(service, kind)

    def holds_last(self, name: str) -> bool:
        """Return whether an instance lets in the last key and not the one before."""
        teams = self.find(name, "keeper", RouteKeeper).table.teams
        new = teams.find_by_key(digest_key(f"changing-{self.changes}".encode()))
        old = teams.find_by_key(digest_key(f"changing-{self.changes - 1}".encode()))
        return new is not None and old is None

    def find_worst(self) -> float:
        """Return the longest time from an acknowledgement to force, in seconds."""
        delays = []
        for seen in self.seen.values():
            for version, at in self.acknowledged.items():
                times = [when for held, when in seen.items() if held >= version]
                delays.append(min(times, default=float("inf")) - at)
        return max(delays)

    def find_oldest(self, names: Iterable[str]) -> float:
        """Return the age of the oldest copy of the configuration, in seconds."""
        return max(
            self.find(name, "configuration", PrefixFollower).find_age()
            for name in names
        )

    async def watch_oldest(self, names: Iterable[str], seconds: float) -> float:
        """Return the greatest age of any of the copies during some seconds."""
        ages = []
        for _ in range(int(seconds / LOOK)):
            await trio.sleep(LOOK)
            ages.append(self.find_oldest(names))
        return max(ages)


def with_estate(count, act):
    async def run():
        async with open_platform() as world:
            await world.start_leaf("p-0", "plain")
            estate = KeyEstate(world)
            await estate.start_many(count)
            return await act(estate)

    return run_mocked(run)


async def change_often(estate):
    for _ in range(CHANGES):
        estate.change()
        await trio.sleep(0.4)
    await trio.sleep(5)


@pytest.mark.parametrize("count", [7, 72])
def test_keys_act_within_a_second_also_where_the_store_turns_many_away(count):
    async def act(estate):
        names = list(estate.seen)
        await change_often(estate)
        calm = estate.find_worst()
        estate.acknowledged.clear()
        for number, name in enumerate(names[: count // 2]):
            await estate.turn_away(name, WAYS[number % len(WAYS)])
        await change_often(estate)
        turned = estate.find_worst()
        estate.acknowledged.clear()
        await change_often(estate)
        return calm, turned, estate.find_worst(), all(map(estate.holds_last, names))

    calm, turned, fed, whole = with_estate(count, act)
    assert calm <= BOUND
    assert turned <= TURNED_BOUND
    assert fed <= BOUND
    assert whole


@pytest.mark.parametrize("count", [7, 72])
def test_none_takes_its_copy_for_old_in_calm_or_while_it_is_fed(count):
    async def act(estate):
        names = list(estate.seen)
        calm = await estate.watch_oldest(names, 10)
        turned = names[: count // 2]
        for number, name in enumerate(turned):
            await estate.turn_away(name, WAYS[number % len(WAYS)])
        await trio.sleep(4)
        # For longer than the entries of those that are turned away last.
        return calm, await estate.watch_oldest(turned, 32)

    calm, turned = with_estate(count, act)
    assert calm < MAX_CONFIGURATION_AGE
    assert turned < MAX_CONFIGURATION_AGE
