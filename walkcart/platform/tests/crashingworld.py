"""Leafs that end when they begin some requests, and what reached leafs."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import Any

import trio

from walkcart.platform.tests.leafstandin import PlatformLeafStandin
from walkcart.platform.tests.platformworld import PlatformWorld, make_route

#: Seconds that a leaf runs such a request until it ends.
CRASH_TIME = 0.01
#: Seconds until a leaf that ended is back.
RESTART_DELAY = 3.0
#: Seconds until the entry of a leaf that ended has lapsed.
LAPSE_TIME = 3.6
#: Seconds within which all instances know; the platform's bound for its smallest sites.
SPREAD_TIME = 4.0


@dataclass(slots=True)
class Arrival:
    """A request that reached a leaf."""

    at: float
    request: str
    target: str
    leaf: str


@dataclass(slots=True)
class CrashingWorld:
    """A platform whose leafs end under some requests, and start again.

    Args:
        world: the platform.
        targets: of the requests that end the leafs which run them.
        fast: whether leafs that ended start again at once.
    """

    world: PlatformWorld
    targets: set[str] = field(default_factory=set)
    ended: list[Arrival] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    restart_delay: float = RESTART_DELAY
    _lives: count = field(default_factory=count)

    async def start_shards(
        self, shards: int, copies: int = 2, places: tuple[str, ...] = ("north-a",)
    ) -> list[str]:
        """Start leafs; return the names of the shards."""
        names = [f"shard-{number}" for number in range(shards)]
        for number, name in enumerate(names):
            for copy in range(copies):
                place = places[(number + copy) % len(places)]
                await self.start_leaf(name, place)
        return names

    async def start_leaf(self, service: str, place: str = "north-a") -> str:
        """Start one leaf of a service; return its id."""
        id = f"i-{next(self._lives)}"
        leaf = CrashingLeaf(id, self)
        await self.world.run_leaf(leaf, service, place)
        return id

    def record_arrival(self, request: str, target: str, leaf: str) -> None:
        """Note that a request reached a leaf."""
        self.arrivals.append(Arrival(trio.current_time(), request, target, leaf))

    def crash(self, id: str, request: str = "", target: str = "") -> None:
        """End a leaf without a word; it is back under another id after a while."""
        self.ended.append(Arrival(trio.current_time(), request, target, id))
        self.world.servers[id].stop()
        self.world.nursery.start_soon(self._lapse, id)
        self.world.nursery.start_soon(self._revive, id)

    async def _lapse(self, id: str) -> None:
        await trio.sleep(LAPSE_TIME)
        self.world.store.remove(f"servers/{id}")

    async def _revive(self, id: str) -> None:
        await trio.sleep(self.restart_delay)
        entry = self.world.entries[id]
        await self.start_leaf(entry["backend"], entry["zone"])

    def find_running_leaves(self) -> list[str]:
        """Return the ids of the leafs that run."""
        ended = {item.leaf for item in self.ended}
        return [id for id in self.world.leafs if id not in ended]

    def find_late_requests(self, target: str, after: float = SPREAD_TIME) -> set[str]:
        """Return the callers' tries that reached leafs though that was to be known.

        Args:
            target: of the request.
            after: seconds after the third leaf ended under it.
        """
        ends = [item.at for item in self.ended if item.target == target]
        if len(ends) < 3:
            return set()
        limit = ends[2] + after
        return {
            item.request
            for item in self.arrivals
            if item.target == target and item.at > limit
        }


class CrashingLeaf(PlatformLeafStandin):
    """A leaf that ends when it begins some requests."""

    def __init__(self, id: str, around: CrashingWorld, **details: Any) -> None:
        super().__init__(id, records=id.encode().ljust(16), **details)
        self._around = around

    async def begin(self, id: str, target: str) -> None:
        """Run a request up to where it may end the leaf."""
        self._around.record_arrival(id, target, self.id)
        if target in self._around.targets:
            await trio.sleep(CRASH_TIME)
            self._around.crash(self.id, id, target)
            await trio.sleep_forever()


def make_sharded_route(names: list[str], **fields: Any) -> dict[str, Any]:
    """Return a route over shards of which an answer may lack a few."""
    return make_route(
        "all",
        "/all/",
        **{"fanoutServices": names, "topK": 3, "minCoverage": 0.89, **fields},
    )
