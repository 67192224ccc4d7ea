"""The environment of a soak test's daemons: store, leaves and proxies, with faults."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from random import Random
from typing import Any

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.leafstandin import (
    PlatformLeafFaults,
    PlatformLeafStandin,
)
from walkcart.platform.tests.platformworld import (
    REGIONS,
    make_configuration,
    make_route,
)
from walkcart.platform.tests.processmachine import Machine, make_settings_file
from walkcart.platform.tests.soakpeerlinks import SoakStore, Spoil
from walkcart.platform.tests.soakproxy import Proxy, ProxyFault
from walkcart.platform.tests.soakteams import SoakTeams
from walkcart.platform.tests.storestandin import PlatformStoreFaults
from walkcart.wire.network import TcpNetwork

#: Number of shards.
SHARDS = 5
#: Records of a merged answer, and the minimum fraction of shards that it contains.
TOP = 4
MIN_COVERAGE = 0.6
LOOPBACK = HostPort("127.0.0.1", 0)
#: A service without leaves of its own: those that faults add are its only ones.
LONE_SERVICE = "lone"
#: The only region in which requests of the route "home" may be served.
HOME_REGION = "south"
#: Requests per second that a cold leaf can serve; callers send each leaf about 40.
COLD_RATE = 5
#: A program's listening ports are a block of consecutive ports.
#: These are the first port, the number of blocks that fit below the ephemeral ports of
#: the machine, and the number of ports in a block.
FIRST_PORT = 23000
PORT_BLOCKS = 120
BLOCK_PORTS = 64


def find_port_block(random: Random) -> int:
    """Return the first port of a block of ports that are all free now.

    Raises:
        OSError: no block is free.
    """
    starts = [FIRST_PORT + BLOCK_PORTS * number for number in range(PORT_BLOCKS)]
    random.shuffle(starts)
    for start in starts:
        if all(_is_free(port) for port in range(start, start + BLOCK_PORTS)):
            return start
    raise OSError("no run of free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK.host, port))
        except OSError:
            return False
        return True


def make_entry(service: str, address: str, place: str) -> dict[str, Any]:
    """Return the entry of a leaf."""
    return {
        "backend": service,
        "address": address,
        "zone": place,
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
    }


class SoakEnvironment:
    """Store, leaves and proxies in this process.

    Args:
        nursery: runs all of them.
        random: chooses faults.
        teams: teams whose keys requests need; None if they need no key.
    """

    def __init__(
        self, nursery: trio.Nursery, random: Random, teams: SoakTeams | None
    ) -> None:
        self.teams = teams
        self._nursery = nursery
        self._random = random
        self._version = 0
        self._changes = 0
        self.store = SoakStore()
        self.leafs: dict[str, PlatformLeafStandin] = {}
        self.leaf_places: dict[str, str] = {}
        self.leaf_proxies: dict[str, Proxy] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.machines: Mapping[str, Machine] = {}

    async def start(
        self, machines: Mapping[str, Machine], data_centres: tuple[str, ...]
    ) -> None:
        """Start store, leaves and proxies, and make the daemons' settings."""
        self.machines = machines
        address = await self._nursery.start(
            self.store.make_server().run, TcpNetwork(), LOOPBACK
        )
        await self.store.start_peer_proxies(list(machines), self._random, self._nursery)
        for name, machine in machines.items():
            proxy = Proxy(address)
            await self._nursery.start(proxy.run)
            self.store_proxies[name] = proxy
            machine.settings = make_settings_file(
                name,
                machine.ip,
                machine.data_centre,
                proxy.address,
                machine.port_offset,
                warmupTolerance=1.5,
                warmupSlack=5,
            )
        for shard in range(SHARDS):
            for place in data_centres:
                await self._start_leaf(f"s{shard}-{place}", f"shard-{shard}", place)
        for number in range(3):
            place = data_centres[number % len(data_centres)]
            await self._start_leaf(f"p{number}", "plain", place)
        self.change_routes()

    async def _start_leaf(self, id: str, service: str, place: str) -> None:
        records = b"".join(self._random.randbytes(16) for _ in range(6))
        leaf = PlatformLeafStandin(id, 0.01, records)
        address = await self._nursery.start(
            leaf.make_server().run, TcpNetwork(), LOOPBACK
        )
        proxy = Proxy(address)
        await self._nursery.start(proxy.run)
        self.leafs[id] = leaf
        self.leaf_places[id] = place
        self.leaf_proxies[id] = proxy
        self.store.put(f"servers/{id}", make_entry(service, str(proxy.address), place))

    @contextmanager
    def store_values(self, values: Mapping[str, Any]) -> Iterator[None]:
        """Store values, and remove them at the end of the context."""
        for key, value in values.items():
            self.store.put(key, value)
        try:
            yield
        finally:
            for key in values:
                if key in self.store.rows:
                    self.store.remove(key)

    def change_routes(self) -> None:
        """Store a new version of the configuration that keeps the callers' routes."""
        shards = [f"shard-{number}" for number in range(SHARDS)]
        self._changes += 1
        self.configure(
            make_route(
                "all",
                "/all/",
                fanoutServices=shards,
                topK=TOP,
                minCoverage=MIN_COVERAGE,
                timeoutMs=1500 + self._changes,
            )
        )

    async def evacuate(self, duration: float) -> None:
        """Evacuate a data centre for a while; its leaves are cold afterwards."""
        place = self._random.choice(sorted(set(self.leaf_places.values())))
        self.store.put(f"op/evacuate/{place}", {})
        await trio.sleep(duration)
        self.end_evacuation(place)

    def end_evacuation(self, place: str) -> None:
        """End the evacuation of a data centre if there is one."""
        if f"op/evacuate/{place}" in self.store.rows:
            self.store.remove(f"op/evacuate/{place}")

    def count_arrivals(self, place: str) -> int:
        """Return the number of requests that reached the leaves of a data centre."""
        return sum(len(self.leafs[id].arrived) for id in self._find_leaves(place))

    def _find_leaves(self, place: str) -> list[str]:
        return [id for id, where in self.leaf_places.items() if where == place]

    def configure(self, *routes: dict[str, Any]) -> None:
        """Store a new version with these routes and those to single leaves."""
        self._version += 1
        single = (
            make_route("one", "/one/", backend="plain"),
            make_route("lone", "/lone/", backend=LONE_SERVICE),
            make_route("once", "/once/", backend="plain", routeType="non_idempotent"),
            make_route("home", "/home/", backend="plain", allowedRegions=[HOME_REGION]),
        )
        content = make_configuration(
            self._version, [*routes, *single], warmupS=1, warmupPerS=COLD_RATE
        )
        if self.teams is not None:
            content["tenants"] = self.teams.describe()
        self.store.put("op/config", content)

    async def disturb_store(self, duration: float) -> None:
        """Make the store fail for a while, for all daemons or for one."""
        match self._random.randrange(4):
            case 0:
                self.store.faults.refusal = self._random.choice([429, 503])
            case 1:
                self.store.faults.lose_writes = True
            case 2:
                self.store.compact()
            case _:
                proxy = self._random.choice(list(self.store_proxies.values()))
                proxy.set_fault(self._random.choice(list(ProxyFault)[1:]))
        await trio.sleep(duration)
        self.store.faults = PlatformStoreFaults()
        for proxy in self.store_proxies.values():
            proxy.set_fault(ProxyFault.NONE)

    async def disturb_leaf(self, duration: float) -> None:
        """Make one leaf misbehave for a while."""
        leaf = self._random.choice(list(self.leafs.values()))
        match self._random.randrange(5):
            case 0:
                leaf.faults.delay = self._random.uniform(0.05, 1.0)
            case 1:
                leaf.faults.refuse = True
            case 2:
                leaf.faults.status = self._random.choice([500, 503])
            case 3:
                leaf.faults.drop = True
            case _:
                leaf.faults.other_id = True
        await trio.sleep(duration)
        leaf.faults = PlatformLeafFaults()

    async def disturb_link(self, duration: float) -> None:
        """Make the connections to one leaf misbehave for a while."""
        proxy = self._random.choice(list(self.leaf_proxies.values()))
        proxy.set_fault(self._random.choice(list(ProxyFault)[1:]))
        await trio.sleep(duration)
        proxy.set_fault(ProxyFault.NONE)

    def clear_faults(self) -> None:
        """End all faults and evacuations."""
        self.store.faults = PlatformStoreFaults()
        for place in set(self.leaf_places.values()):
            self.end_evacuation(place)
        for leaf in self.leafs.values():
            leaf.faults = PlatformLeafFaults()
        for proxy in (*self.store_proxies.values(), *self.leaf_proxies.values()):
            proxy.set_fault(ProxyFault.NONE)
        for proxy in self.store.peer_proxies.values():
            proxy.set_fault(ProxyFault.NONE)
            proxy.spoil = Spoil.NONE

    def check_runs(self, reported_not_run: set[str]) -> list[str]:
        """Return the violations that the leaves' records show.

        Args:
            reported_not_run: ids of the requests that were reported as not run.
        """
        ran: Counter[str] = Counter()
        for leaf in self.leafs.values():
            ran.update(leaf.ran)
        broken = [
            f"{id} ran {count} times"
            for id, count in ran.items()
            if id.startswith("once-") and count > 1
        ]
        broken += [
            f"{id} was told not run, and ran" for id in reported_not_run & set(ran)
        ]
        broken += [
            f"{id} had a request of another region"
            for id, place in self.leaf_places.items()
            if REGIONS[place] != HOME_REGION
            and any(item.target == "/home/x" for item in self.leafs[id].arrived)
        ]
        for leaf in self.leafs.values() if self.teams else ():
            broken += self.teams.check_arrived(leaf.arrived)
        return broken
