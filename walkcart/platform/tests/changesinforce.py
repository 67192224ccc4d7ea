"""Many instances on small machines, and when each has each change in force."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from walkcart.intent.routekeeper import RouteKeeper
from walkcart.membership.relaying import Relay
from walkcart.platform.tests.platformworld import (
    REGIONS,
    PlatformWorld,
    make_route,
)
from walkcart.standins.machinelinks import MachineLink

#: Bytes a second of the smallest machines' links: 10 Mbit/s.
SMALL_LINK = 1_250_000
#: Shards of the index in use and of the next one: with their services a configuration
#: has 24 KB, as on the largest deployment.
SHARDS = 90
LATER_SHARDS = 135
#: Seconds between two changes in quick succession.
QUICK = 1 / 6
DATA_CENTRES = tuple(REGIONS)


@dataclass(eq=False)
class Estate:
    """Instances, each on a machine of its own, and the times of changes.

    Args:
        world: around them.
        links: of the machines, by instance.
        acknowledged: time by version.
        seen: by instance, the times and versions that came into force.
    """

    world: PlatformWorld
    links: dict[str, MachineLink] = field(default_factory=dict)
    acknowledged: dict[int, float] = field(default_factory=dict)
    seen: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    _added: int = 0

    async def start(self, name: str, data_centre: str, lag: float = 0.0) -> None:
        """Start an instance on a small machine of its own."""
        link = MachineLink(SMALL_LINK, lag)
        self.links[name] = link
        site = f"machine of {name}"
        running = await self.world.start_instance(name, data_centre, site, link)
        seen = self.seen[name] = []
        keeper = running.tenant.kernel.find("keeper", RouteKeeper)

        def note(table) -> None:
            seen.append((trio.current_time(), table.document.version))

        keeper.on_change(note)

    async def start_many(self, count: int, data_centres: tuple[str, ...]) -> None:
        """Configure, start instances in each data centre in turn, let them settle."""
        self.change()
        for number in range(count):
            place = data_centres[number % len(data_centres)]
            await self.start(f"w{number:02}", place)
        await trio.sleep(40)

    def change(self) -> None:
        """Add a route; the store's answer is the acknowledgement."""
        shards = [f"shard-{number:03}" for number in range(SHARDS)]
        later = [f"later-{number:03}" for number in range(LATER_SHARDS)]
        more = [
            make_route(f"added-{number}", f"/added-{number}/", backend="plain")
            for number in range(self._added)
        ]
        gather = {"topK": 50, "minCoverage": 0.95}
        version = self.world.configure(
            make_route("all", "/all/", fanoutServices=shards, **gather),
            make_route("later", "/later/", fanoutServices=later, **gather),
            *more,
        )
        self._added += 1
        self.acknowledged[version] = trio.current_time()

    async def change_quickly(self, count: int) -> None:
        """Change one time after the other."""
        for _ in range(count):
            self.change()
            await trio.sleep(QUICK)

    def find_feeders(self) -> list[str]:
        """Return the instances that watch the store for others."""
        return [
            name
            for name, running in self.world.tenants.items()
            if running.tenant.kernel.find("relay", Relay).watches
        ]

    def measure_delays(self, name: str, since: float = 0.0) -> list[float]:
        """Return the seconds from each acknowledgement to force at an instance.

        A version counts as in force from when it or a later one is.

        Args:
            name: of the instance.
            since: changes acknowledged before this time count from it.
        """
        delays = []
        for version, at in self.acknowledged.items():
            times = (time for time, held in self.seen[name] if held >= version)
            first = next(times, float("inf"))
            delays.append(max(0.0, first - max(at, since)))
        return delays

    def find_worst(self, without: tuple[str, ...] = ()) -> float:
        """Return the longest delay of any change at any instance, in seconds."""
        return max(
            max(self.measure_delays(name)) for name in self.seen if name not in without
        )
