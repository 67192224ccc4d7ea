"""What surrounds the daemons of a soak: store, leafs, proxies, their troubles."""

from __future__ import annotations

import socket
from collections import Counter
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
from walkcart.platform.tests.soakproxy import Proxy, Trouble
from walkcart.platform.tests.soakteams import SoakTeams
from walkcart.platform.tests.storestandin import (
    PlatformStoreFaults,
    PlatformStoreStandin,
)
from walkcart.wire.network import TcpNetwork

SHARDS = 5
TOP = 4
LEAST_COVERAGE = 0.6
LOOPBACK = HostPort("127.0.0.1", 0)
#: The one region that requests of the route "home" may be served in.
HOME_REGION = "south"
#: Requests a second that a cold leaf bears; callers ask each for some 40.
COLD_RATE = 5
#: First port for the daemons' own addresses, of which each takes four, and the runs
#: that find room below the ports that the machine gives out by itself.
FIRST_PORT = 23000
PORT_RUNS = 120
PORTS = 64


def find_port_run(random: Random) -> int:
    """Return the first of some ports that are all free now."""
    starts = [FIRST_PORT + PORTS * number for number in range(PORT_RUNS)]
    random.shuffle(starts)
    for start in starts:
        if all(_is_free(port) for port in range(start, start + PORTS)):
            return start
    raise OSError("no run of free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK.host, port))
        except OSError:
            return False
        return True


class SoakEstate:
    """Store, leafs and proxies in this process.

    Args:
        nursery: where they run.
        random: chooses troubles.
        teams: whose keys requests need; None where they need none.
    """

    def __init__(
        self, nursery: trio.Nursery, random: Random, teams: SoakTeams | None
    ) -> None:
        self.teams = teams
        self._nursery = nursery
        self._random = random
        self._version = 0
        self._index = 0
        self.store = PlatformStoreStandin()
        self.leafs: dict[str, PlatformLeafStandin] = {}
        self.leaf_places: dict[str, str] = {}
        self.leaf_proxies: dict[str, Proxy] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.places: dict[str, str] = {}
        self.first_port = find_port_run(random)

    async def start(self, names: list[str], data_centres: tuple[str, ...]) -> None:
        """Start everything for daemons of these names."""
        address = await self._nursery.start(
            self.store.make_server().run, TcpNetwork(), LOOPBACK
        )
        for number, name in enumerate(names):
            proxy = Proxy(address)
            await self._nursery.start(proxy.run)
            self.store_proxies[name] = proxy
            self.places[name] = data_centres[number % len(data_centres)]
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
        self.store.put(
            f"servers/{id}",
            {
                "backend": service,
                "address": str(proxy.address),
                "zone": place,
                "version": "v1",
                "slots": 2,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": 1,
            },
        )

    def ports_of(self, name: str) -> int:
        """Return the first port of a daemon."""
        return self.first_port + 4 * sorted(self.store_proxies).index(name)

    def make_settings(self, name: str) -> str:
        """Return a daemon's settings file."""
        port = self.ports_of(name)
        place = self.places[name]
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items())
        return (
            f'nodeName = "{name}"\nip = "127.0.0.1"\nzone = "{place}"\n'
            f'region = "{REGIONS[place]}"\nportRange = [{port + 2}, {port + 3}]\n'
            f"[zones]\n{zones}\n"
            f'[listen]\nfront = "127.0.0.1:{port}"\nready = "127.0.0.1:{port + 1}"\n'
            "[bounds]\nretryBudgetRatio = 0.2\nretryWindowS = 10\nbudgetSlack = 54\n"
            "graceS = 6\nwarmupTolerance = 1.5\nwarmupSlack = 5\n"
            f'[platform]\naddress = "{self.store_proxies[name].address}"\n'
            "writesPerS = 400\nreadsPerS = 2000\n"
        )

    def change_routes(self) -> None:
        """Store a new version; the routes of the callers stay."""
        shards = [f"shard-{number}" for number in range(SHARDS)]
        self._index += 1
        self.configure(
            make_route(
                "all",
                "/all/",
                fanoutServices=shards,
                topK=TOP,
                minCoverage=LEAST_COVERAGE,
                timeoutMs=1500 + self._index,
            )
        )

    async def evacuate(self, span: float) -> None:
        """Evacuate a data centre for a while; its leafs are cold afterwards."""
        place = self._random.choice(sorted(set(self.places.values())))
        self.store.put(f"op/evacuate/{place}", {})
        await trio.sleep(span)
        self.take_back(place)

    def take_back(self, place: str) -> None:
        """End the evacuation of a data centre, if it stands."""
        if f"op/evacuate/{place}" in self.store.rows:
            self.store.remove(f"op/evacuate/{place}")

    def count_arrived(self, place: str) -> int:
        """Return the requests that the leafs of a data centre have had."""
        return sum(len(self.leafs[id].arrived) for id in self._find_leafs(place))

    def _find_leafs(self, place: str) -> list[str]:
        return [id for id, where in self.leaf_places.items() if where == place]

    def configure(self, *routes: dict[str, Any]) -> None:
        """Store a new version with these routes and those to single leafs."""
        self._version += 1
        single = (
            make_route("one", "/one/", backend="plain"),
            make_route("once", "/once/", backend="plain", routeType="non_idempotent"),
            make_route("home", "/home/", backend="plain", allowedRegions=[HOME_REGION]),
        )
        content = make_configuration(
            self._version, [*routes, *single], warmupS=1, warmupPerS=COLD_RATE
        )
        if self.teams is not None:
            content["tenants"] = self.teams.describe()
        self.store.put("op/config", content)

    async def trouble_store(self, span: float) -> None:
        """Have the store fail for a while, for all or for one daemon."""
        match self._random.randrange(4):
            case 0:
                self.store.faults.refusal = self._random.choice([429, 503])
            case 1:
                self.store.faults.lose_writes = True
            case 2:
                self.store.compact()
            case _:
                proxy = self._random.choice(list(self.store_proxies.values()))
                proxy.set_trouble(self._random.choice(list(Trouble)[1:]))
        await trio.sleep(span)
        self.store.faults = PlatformStoreFaults()
        for proxy in self.store_proxies.values():
            proxy.set_trouble(Trouble.NONE)

    async def trouble_leaf(self, span: float) -> None:
        """Have one leaf misbehave for a while."""
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
        await trio.sleep(span)
        leaf.faults = PlatformLeafFaults()

    async def trouble_link(self, span: float) -> None:
        """Have the way to one leaf misbehave for a while."""
        proxy = self._random.choice(list(self.leaf_proxies.values()))
        proxy.set_trouble(self._random.choice(list(Trouble)[1:]))
        await trio.sleep(span)
        proxy.set_trouble(Trouble.NONE)

    def heal(self) -> None:
        """End all troubles."""
        self.store.faults = PlatformStoreFaults()
        for place in set(self.places.values()):
            self.take_back(place)
        for leaf in self.leafs.values():
            leaf.faults = PlatformLeafFaults()
        for proxy in (*self.store_proxies.values(), *self.leaf_proxies.values()):
            proxy.set_trouble(Trouble.NONE)

    def check_runs(self, told_not_run: set[str]) -> list[str]:
        """Return what the leafs' records say against the promises."""
        ran: Counter[str] = Counter()
        for leaf in self.leafs.values():
            ran.update(leaf.ran)
        broken = [
            f"{id} ran {count} times"
            for id, count in ran.items()
            if id.startswith("once-") and count > 1
        ]
        broken += [f"{id} was told not run, and ran" for id in told_not_run & set(ran)]
        broken += [
            f"{id} had a request of another region"
            for id, place in self.leaf_places.items()
            if REGIONS[place] != HOME_REGION
            and any(item.target == "/home/x" for item in self.leafs[id].arrived)
        ]
        for leaf in self.leafs.values() if self.teams else ():
            broken += self.teams.check_arrived(leaf.arrived)
        return broken
