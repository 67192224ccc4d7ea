"""How soon added and removed API keys take effect when the store refuses instances.

Each change adds a key and removes the previous one. The delay at each instance lasts
from the store's acknowledgement until the new key is admitted and the old one isn't.
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

#: Seconds until a change is in force while feeds are established.
MAX_DELAY = 1.0
#: The same bound for a change that comes just when the store begins to refuse
#: instances. They get it only once other instances feed them.
MAX_REFUSED_DELAY = 3.0
#: Seconds for which a starting fleet is left to settle.
SETTLE_TIME = 30
#: Size of the configuration: number of teams, and of keys of each team.
TEAMS = 78
KEYS_PER_TEAM = 30
#: Number of changes in a series.
CHANGES = 8
#: Seconds between two checks of the ages of the copies.
CHECK_INTERVAL = 0.25
#: How the store refuses an instance: a status, a closed connection, or silence.
REFUSALS = (503, 429, "reset", "silent")


@dataclass(eq=False)
class KeyFleet:
    """A fleet of instances that follow the teams of one configuration.

    Args:
        world: the platform that the instances run on.
        seen: for each instance, the time at which each version came into force.
        acknowledged: the time at which the store acknowledged each version.
        changes: number of changes so far.
    """

    world: PlatformWorld
    seen: dict[str, dict[int, float]] = field(default_factory=dict)
    acknowledged: dict[int, float] = field(default_factory=dict)
    changes: int = 0

    async def start(self, name: str, data_centre: str) -> None:
        """Start an instance and record when each version is in force there."""
        running = await self.world.start_instance(name, data_centre)
        seen = self.seen[name] = {}
        keeper = running.tenant.kernel.find("keeper", RouteKeeper)

        def record(table) -> None:
            seen.setdefault(table.document.version, trio.current_time())

        keeper.on_change(record)

    async def start_many(self, count: int) -> None:
        """Configure, start instances in data centres in turn, and let them settle."""
        self.change()
        places = tuple(REGIONS)
        for number in range(count):
            await self.start(f"w{number:03}", places[number % len(places)])
        await trio.sleep(SETTLE_TIME)
        self.acknowledged.clear()

    def change(self) -> None:
        """Store a version with a new key and without the key of the last version."""
        self.changes += 1
        teams = [
            make_team(
                f"team-{team}",
                *(f"key-{team}-{number}" for number in range(KEYS_PER_TEAM)),
            )
            for team in range(TEAMS)
        ]
        teams.append(make_team("changing", f"changing-{self.changes}"))
        route = make_route("one", "/one/", backend="plain")
        version = self.world.configure(route, teams=teams)
        self.acknowledged[version] = trio.current_time()

    async def refuse_store(self, name: str, refusal: int | str) -> None:
        """Have the store refuse an instance.

        Args:
            name: name of the instance.
            refusal: one of `REFUSALS`.
        """

        async def refuse(request):
            if refusal == "silent":
                await trio.sleep_forever()
            return None if refusal == "reset" else HttpReply(refusal)

        server = StandinServer(refuse)
        site = self.world.network.at("store")
        address = await self.world.nursery.start(
            server.run, site, HostPort("127.0.0.1", 0)
        )
        self.find(name, "calls", StoreCalls).set_address(address)

    def find(self, name, service, kind):
        return self.world.tenants[name].tenant.kernel.find(service, kind)

    def holds_last(self, name: str) -> bool:
        """Return whether an instance admits the last key and not the one before it."""
        teams = self.find(name, "keeper", RouteKeeper).table.teams
        new = teams.find_by_key(digest_key(f"changing-{self.changes}".encode()))
        old = teams.find_by_key(digest_key(f"changing-{self.changes - 1}".encode()))
        return new is not None and old is None

    def find_max_delay(self) -> float:
        """Return the maximum delay of any change at any instance, in seconds."""
        delays = []
        for seen in self.seen.values():
            for version, at in self.acknowledged.items():
                times = [when for held, when in seen.items() if held >= version]
                delays.append(min(times, default=float("inf")) - at)
        return max(delays)

    def find_max_age(self, names: Iterable[str]) -> float:
        """Return the age of the oldest copy of the configuration, in seconds."""
        return max(
            self.find(name, "configuration", PrefixFollower).find_age()
            for name in names
        )

    async def observe_max_age(self, names: Iterable[str], seconds: float) -> float:
        """Return the greatest age of any copy during the next `seconds`, in seconds."""
        ages = []
        for _ in range(int(seconds / CHECK_INTERVAL)):
            await trio.sleep(CHECK_INTERVAL)
            ages.append(self.find_max_age(names))
        return max(ages)


def with_fleet(count, scenario):
    """Run `scenario(fleet)` with `count` instances and return its result."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("p-0", "plain")
            fleet = KeyFleet(world)
            await fleet.start_many(count)
            return await scenario(fleet)

    return run_mocked(run)


async def change_often(fleet):
    """Change the keys every 0.4 s, then wait until the changes have spread."""
    for _ in range(CHANGES):
        fleet.change()
        await trio.sleep(0.4)
    await trio.sleep(5)


@pytest.mark.parametrize("count", [7, 72])
def test_keys_are_in_force_in_a_second_also_when_the_store_refuses_many(count):
    async def scenario(fleet):
        names = list(fleet.seen)
        await change_often(fleet)
        calm = fleet.find_max_delay()
        fleet.acknowledged.clear()
        for number, name in enumerate(names[: count // 2]):
            await fleet.refuse_store(name, REFUSALS[number % len(REFUSALS)])
        await change_often(fleet)
        refused = fleet.find_max_delay()
        fleet.acknowledged.clear()
        await change_often(fleet)
        return calm, refused, fleet.find_max_delay(), all(map(fleet.holds_last, names))

    calm, refused, fed, all_current = with_fleet(count, scenario)
    assert calm <= MAX_DELAY
    assert refused <= MAX_REFUSED_DELAY
    assert fed <= MAX_DELAY
    assert all_current


@pytest.mark.parametrize("count", [7, 72])
def test_no_copy_counts_as_old_without_faults_or_while_it_is_fed(count):
    async def scenario(fleet):
        names = list(fleet.seen)
        calm = await fleet.observe_max_age(names, 10)
        refused = names[: count // 2]
        for number, name in enumerate(refused):
            await fleet.refuse_store(name, REFUSALS[number % len(REFUSALS)])
        await trio.sleep(4)
        # Longer than the entries of the refused instances last.
        return calm, await fleet.observe_max_age(refused, 32)

    calm, refused = with_fleet(count, scenario)
    assert calm < MAX_CONFIGURATION_AGE
    assert refused < MAX_CONFIGURATION_AGE
