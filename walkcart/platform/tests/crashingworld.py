"""Leaves that crash when they begin certain requests, and a record of arrivals."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import Any

import trio

from walkcart.platform.tests.leafstandin import PlatformLeafStandin
from walkcart.platform.tests.platformworld import PlatformWorld, make_route

#: Time for which a leaf runs a crashing request before it crashes, in seconds.
CRASH_TIME = 0.01
#: Time from a leaf's crash until it runs again, in seconds.
RESTART_DELAY = 3.0
#: Time from a leaf's crash until its stored entry expires, in seconds.
EXPIRY_TIME = 3.6
#: Time within which all instances know of a quarantine, in seconds: the platform's
#: bound for its smallest sites.
SPREAD_TIME = 4.0


@dataclass(slots=True)
class Arrival:
    """A request that reached a leaf, or that a leaf crashed under."""

    at: float
    request: str
    target: str
    leaf: str


@dataclass(slots=True)
class CrashingWorld:
    """A platform whose leaves crash under certain requests and start again.

    Args:
        world: the platform.
        targets: targets of the requests that crash the leaf that runs them.
        ended: the crashes so far.
        arrivals: the requests that reached leaves so far.
        restart_delay: time from a leaf's crash until it runs again, in seconds.
    """

    world: PlatformWorld
    targets: set[str] = field(default_factory=set)
    ended: list[Arrival] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    restart_delay: float = RESTART_DELAY
    _next_id: count = field(default_factory=count)

    async def start_shards(
        self, shards: int, copies: int = 2, places: tuple[str, ...] = ("north-a",)
    ) -> list[str]:
        """Start the leaves of some shards; return the names of the shards."""
        names = [f"shard-{number}" for number in range(shards)]
        for number, name in enumerate(names):
            for copy in range(copies):
                place = places[(number + copy) % len(places)]
                await self.start_leaf(name, place)
        return names

    async def start_leaf(self, service: str, place: str = "north-a") -> str:
        """Start one leaf of a service; return its id."""
        id = f"i-{next(self._next_id)}"
        leaf = CrashingLeaf(id, self)
        await self.world.run_leaf(leaf, service, place)
        return id

    def record_arrival(self, request: str, target: str, leaf: str) -> None:
        """Record that a request reached a leaf."""
        self.arrivals.append(Arrival(trio.current_time(), request, target, leaf))

    def crash(self, id: str, request: str = "", target: str = "") -> None:
        """Stop a leaf without notice; it comes back later under another id."""
        self.ended.append(Arrival(trio.current_time(), request, target, id))
        self.world.servers[id].stop()
        self.world.nursery.start_soon(self._expire_entry, id)
        self.world.nursery.start_soon(self._restart, id)

    async def _expire_entry(self, id: str) -> None:
        await trio.sleep(EXPIRY_TIME)
        self.world.store.remove(f"servers/{id}")

    async def _restart(self, id: str) -> None:
        await trio.sleep(self.restart_delay)
        entry = self.world.entries[id]
        await self.start_leaf(entry["backend"], entry["zone"])

    def find_running_leaves(self) -> list[str]:
        """Return the ids of the running leaves."""
        ended = {item.leaf for item in self.ended}
        return [id for id in self.world.leafs if id not in ended]

    def find_late_requests(self, target: str, after: float = SPREAD_TIME) -> set[str]:
        """Return the callers' requests that reached leaves later than allowed.

        Args:
            target: target of the request.
            after: time after the third crash under it from which no request of that
                target may reach a leaf, in seconds.
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
    """A leaf that crashes when it begins certain requests."""

    def __init__(self, id: str, crashing: CrashingWorld, **details: Any) -> None:
        super().__init__(id, records=id.encode().ljust(16), **details)
        self._crashing = crashing

    async def begin(self, id: str, target: str) -> None:
        """Record the arrival of a request, and crash if its target says so."""
        self._crashing.record_arrival(id, target, self.id)
        if target in self._crashing.targets:
            await trio.sleep(CRASH_TIME)
            self._crashing.crash(self.id, id, target)
            await trio.sleep_forever()


def make_sharded_route(names: list[str], **fields: Any) -> dict[str, Any]:
    """Return a route over shards whose answers may lack a few of them."""
    return make_route(
        "all",
        "/all/",
        **{"fanoutServices": names, "topK": 3, "minCoverage": 0.89, **fields},
    )
