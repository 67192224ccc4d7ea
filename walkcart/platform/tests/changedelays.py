"""A fleet on small machines that measures when each change is in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.relaying import Relay
from walkcart.platform.tests.platformworld import (
    REGIONS,
    PlatformWorld,
    make_route,
)
from walkcart.standins.machinelinks import MachineLink

#: Bandwidth of the smallest machines' links, in bytes per second: 10 Mbit/s.
SMALL_LINK = 1_250_000
#: Shards of the current index and of the next one: with their services a configuration
#: has 24 KB, as in the largest deployment.
SHARDS = 90
LATER_SHARDS = 135
#: Interval of changes in quick succession, in seconds.
QUICK_INTERVAL = 1 / 6
DATA_CENTRES = tuple(REGIONS)
#: Network site of the store.
STORE = "store"
#: Delay before a stopped instance is started again, in seconds.
RESTART_TIME = 0.5
#: Lag of a slowed machine's incoming traffic, in seconds: with it, calls to the store
#: just meet their timeout of a second.
SLOW_LAG = 0.4
#: Seconds after which an unused connection to the store can't be the one that renews
#: the lease.
QUIET_TIME = 3.0


def name_site(name: str) -> str:
    """Return the name of the network site of an instance's machine."""
    return f"machine of {name}"


@dataclass(eq=False)
class Fleet:
    """Instances, each on a machine of its own, and the times of changes.

    Args:
        world: store, network and leaves around the instances.
        links: links of the machines, by instance.
        acknowledged: time at which the store acknowledged each version.
        seen: by instance, the times and versions that came into force.
    """

    world: PlatformWorld
    links: dict[str, MachineLink] = field(default_factory=dict)
    acknowledged: dict[int, float] = field(default_factory=dict)
    seen: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    #: Since when each instance has had no fault of its own.
    undisturbed_since: dict[str, float] = field(default_factory=dict)
    _added: int = 0

    async def start(self, name: str, data_centre: str, lag: float = 0.0) -> None:
        """Start an instance on a small machine of its own."""
        link = MachineLink(SMALL_LINK, lag)
        self.links[name] = link
        site = name_site(name)
        running = await self.world.start_instance(name, data_centre, site, link)
        self.undisturbed_since[name] = trio.current_time()
        seen = self.seen[name] = []
        keeper = running.tenant.kernel.find("keeper", RouteKeeper)

        def record(table) -> None:
            seen.append((trio.current_time(), table.document.version))

        keeper.on_change(record)

    async def start_many(self, count: int, data_centres: tuple[str, ...]) -> None:
        """Configure, start instances in data centres in turn, and let them settle."""
        self.change()
        for number in range(count):
            place = data_centres[number % len(data_centres)]
            await self.start(f"w{number:02}", place)
        await trio.sleep(40)

    def change(self) -> None:
        """Add a route; the store's reply is the acknowledgement."""
        shards = [f"shard-{number:03}" for number in range(SHARDS)]
        later_shards = [f"later-{number:03}" for number in range(LATER_SHARDS)]
        more = [
            make_route(f"added-{number}", f"/added-{number}/", backend="plain")
            for number in range(self._added)
        ]
        fields = {"topK": 50, "minCoverage": 0.95}
        version = self.world.configure(
            make_route("all", "/all/", fanoutServices=shards, **fields),
            make_route("later", "/later/", fanoutServices=later_shards, **fields),
            *more,
        )
        self._added += 1
        self.acknowledged[version] = trio.current_time()

    async def change_quickly(self, count: int) -> None:
        """Make several changes in quick succession."""
        for _ in range(count):
            self.change()
            await trio.sleep(QUICK_INTERVAL)

    async def store_leaves(self, count: int) -> None:
        """Store leaves' entries one after the other, as when leaves start."""
        for number in range(count):
            self._store_leaf(number, "ready")
            await trio.sleep(0.01)

    def drain_leaves(self, count: int) -> None:
        """Mark leaves as about to stop."""
        for number in range(count):
            self._store_leaf(number, "draining")

    def _store_leaf(self, number: int, state: str) -> None:
        entry = {
            "backend": f"shard-{number % SHARDS:03}",
            "address": f"10.0.{number // 250}.{number % 250}:7000",
            "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmupLeftMs": 0,
            "seq": 1,
        }
        self.world.store.put(f"servers/leaf-{number:04}", entry)

    async def wait_until_drained(self) -> float:
        """Wait until no instance sends a leaf of the first shard new work.

        Returns:
            The time that this took, in seconds.
        """
        start = trio.current_time()
        directories = [
            running.tenant.kernel.find("directory", LeafDirectory)
            for running in self.world.tenants.values()
        ]
        while any(directory.leaves_of("shard-000") for directory in directories):
            await trio.sleep(0.02)
        return trio.current_time() - start

    def find_feeders(self) -> list[str]:
        """Return the instances that watch the store for others."""
        return [
            name
            for name, running in self.world.tenants.items()
            if running.tenant.kernel.find("relay", Relay).is_watching
        ]

    def restart(self, name: str) -> None:
        """Kill an instance and start it again after a delay."""
        running = self.world.tenants[name]
        running.scope.cancel()
        self.undisturbed_since[name] = float("inf")
        place, lag = running.settings.data_centre, self.links[name].incoming.lag
        self.world.nursery.start_soon(self._start_later, name, place, lag)

    async def _start_later(self, name: str, data_centre: str, lag: float) -> None:
        await trio.sleep(RESTART_TIME)
        await self.start(name, data_centre, lag)

    async def cut(self, name: str, others: Iterable[str], duration: float) -> None:
        """Cut an instance off from others, or the store, for `duration` seconds."""
        self.undisturbed_since[name] = float("inf")
        sites = [name_site(other) if other != STORE else STORE for other in others]
        for site in sites:
            self.world.network.cut(name_site(name), site)
        await trio.sleep(duration)
        for site in sites:
            self.world.network.heal(name_site(name), site)
        self.undisturbed_since[name] = trio.current_time()

    async def slow_down(self, name: str, duration: float) -> None:
        """Delay incoming traffic of an instance's machine for `duration` seconds."""
        link = self.links[name]
        self.undisturbed_since[name] = float("inf")
        link.incoming.lag, lag = SLOW_LAG, link.incoming.lag
        await trio.sleep(duration)
        link.incoming.lag = lag
        self.undisturbed_since[name] = trio.current_time()

    def silence_watches(self) -> int:
        """Silence the connections of all waiting watches; return their number."""
        now = trio.current_time()
        streams = self.world.network.find_streams(self.world.store_address)
        waiting = [
            stream for stream in streams if stream.last_sent_at < now - QUIET_TIME
        ]
        for stream in waiting:
            stream.go_silent()
        return len(waiting)

    def count_peer_bytes(self, name: str) -> float:
        """Return the number of bytes that an instance has exchanged with others."""
        kernel = self.world.tenants[name].tenant.kernel
        return kernel.find("metrics", Metrics).read("peer.bytes")

    def measure_delays(self, name: str) -> list[float]:
        """Return the delays of all changes at an instance, in seconds.

        A delay begins with the acknowledgement, but not before the instance has been
        without a fault of its own; it ends when that version or a later one is in
        force.
        """
        since = self.undisturbed_since[name]
        delays = []
        for version, at in self.acknowledged.items():
            times = (time for time, held in self.seen[name] if held >= version)
            first = next(times, float("inf"))
            delays.append(max(0.0, first - max(at, since)))
        return delays

    def find_max_delay(self, without: tuple[str, ...] = ()) -> float:
        """Return the maximum delay of any change at any instance, in seconds."""
        return max(
            max(self.measure_delays(name)) for name in self.seen if name not in without
        )
