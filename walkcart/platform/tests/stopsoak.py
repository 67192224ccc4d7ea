"""A randomised soak of planned stops, restarts and leaving leaves, in memory.

Callers keep their connections open until the instance is gone. Stops, kills, removals
of leaves' entries and changes of the configuration come in two overlapping series,
while pages of the store are seconds old and leaves refuse requests, some of them twice.

    python -m walkcart.platform.tests.stopsoak --seed 1 --seeds 50 --instances 3

A seed repeats a run exactly.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import (
    BODY_LIMIT,
    HOST,
    PlatformWorld,
    make_route,
    open_platform,
)
from walkcart.platform.tests.test_late_refusals import RefusingLeaf
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpReply, HttpRequest

#: Duration of the faults, and of the requests after them, in seconds.
SECONDS, SETTLE_SECONDS = 30.0, 7.0
#: Bounds of the interval between two faults of a series, in seconds.
FAULT_INTERVAL = (0.3, 2.0)
#: Grace period of `make_settings`; time in which a leaf may get requests after its
#: entry is gone; time after its start from which an instance must know. In seconds.
GRACE, DRAIN, CONTACT = 6.0, 3.0, 4.0
#: Greatest age of a page, and time between two writings of an entry, in seconds.
MAX_AGE, HEARTBEAT = 3.0, 1.2
#: Leaves that get requests, leaves whose entries only fill pages, and shards.
LEAVES, OTHERS, SHARDS = 8, 80, 4
#: Callers for each instance, and the mean time between two requests of one, in seconds.
CALLERS, INTERVAL = 4, 0.1
DEADLINE_MS = 6000
#: Time in which a connection may close on a request that it crosses, in seconds.
CROSSING = 0.2
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True, eq=False)
class SoakLeaf(RefusingLeaf):
    """A leaf that records when requests arrive, and refuses a part of them."""

    refused: float = 0.2
    removed_at: float = float("inf")
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    async def handle(self, request: HttpRequest) -> HttpReply | None:
        """Serve one request."""
        id = request.header(b"x-request-id") or ""
        self.arrivals.append((trio.current_time(), id))
        return await RefusingLeaf.handle(self, request)


@dataclass(slots=True, eq=False)
class Life:
    """One process of an instance."""

    name: str
    started_at: float
    stopping: bool = False
    killed: bool = False
    ended: bool = False


@dataclass(slots=True)
class Sent:
    """A request and how it ended; status 0 without a reply."""

    id: str
    life: Life
    at: float
    status: int = 0
    ended_at: float = float("inf")


class StopSoak:
    """One run.

    Args:
        world: the platform.
        random: chooses requests and faults.
        instances: number of instances.
    """

    def __init__(self, world: PlatformWorld, random: Random, instances: int) -> None:
        self._world = world
        self._random = random
        self._names = [f"instance-{number}" for number in range(instances)]
        self._lives: dict[str, Life] = {}
        self._sent: dict[str, Sent] = {}
        self._leaves: list[SoakLeaf] = []
        self.broken: list[str] = []
        self.faults: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()

    async def run(self) -> None:
        """Inject faults while callers send, then check what they and leaves saw."""
        await self._start()
        async with trio.open_nursery() as nursery:
            for name in self._names * CALLERS:
                nursery.start_soon(self._call, name)
            with trio.move_on_after(SECONDS):
                async with trio.open_nursery() as faults:
                    for _ in range(2):
                        faults.start_soon(self._inject_faults, nursery)
            await trio.sleep(SETTLE_SECONDS)
            nursery.cancel_scope.cancel()
        self._check()

    async def _start(self) -> None:
        world = self._world
        for number in range(OTHERS):
            id = f"i-{self._random.getrandbits(32):08x}"
            world.add_entry(id, f"other-{number}")
        for _ in range(LEAVES):
            await self._add_leaf("bay")
        for number in range(SHARDS):
            for _ in range(2):
                await self._add_leaf(f"shard-{number}", work=0.02)
        self._configure()
        rate = len(world.entries) / HEARTBEAT
        world.store.faults.draw_lag = lambda: int(
            self._random.uniform(0, MAX_AGE) * rate
        )
        world.nursery.start_soon(world.rewrite_entries, HEARTBEAT)
        await trio.sleep(MAX_AGE)
        for name in self._names:
            await self._start_instance(name)
        for name in self._names:
            await world.wait_ready(name)

    async def _add_leaf(self, service: str, work: float | None = None) -> None:
        work = self._random.uniform(0.05, 0.96) if work is None else work
        id = f"i-{self._random.getrandbits(32):08x}"
        leaf = SoakLeaf(id, work, self._random.randbytes(32))
        await self._world.run_leaf(leaf, service, "north-a")
        self._leaves.append(leaf)

    def _configure(self) -> None:
        shards = [f"shard-{number}" for number in range(SHARDS)]
        timeout = 6000 + self._world.version
        self._world.configure(
            make_route("bay", "/bay/", backend="bay", timeoutMs=timeout),
            make_route(
                "once",
                "/once/",
                backend="bay",
                routeType="non_idempotent",
                timeoutMs=timeout,
            ),
            make_route("all", "/all/", fanoutServices=shards, topK=3, minCoverage=0.5),
        )

    async def _start_instance(self, name: str) -> None:
        await self._world.start_instance(name)
        self._lives[name] = Life(name, trio.current_time())

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        kinds = ("stop", "stop", "stop", "kill", "herd", "leave", "leave", "configure")
        while True:
            await trio.sleep(self._random.uniform(*FAULT_INTERVAL))
            kind = self._random.choice(kinds)
            self.faults[kind] += 1
            match kind:
                case "stop":
                    name = self._random.choice(self._names)
                    if not self._lives[name].stopping and not self._lives[name].ended:
                        nursery.start_soon(self._stop, name)
                case "kill":
                    nursery.start_soon(self._kill, self._random.choice(self._names))
                case "herd":
                    for name in self._names:
                        nursery.start_soon(self._kill, name)
                case "leave":
                    nursery.start_soon(self._replace_leaf)
                case _:
                    self._configure()

    async def _stop(self, name: str) -> None:
        """Stop an instance as SIGTERM and, after its grace time, SIGKILL do."""
        life, running = self._lives[name], self._world.tenants[name]
        life.stopping = True
        start = trio.current_time()
        with trio.move_on_after(GRACE):
            await running.tenant.stop.stop()
        if life.ended:
            return
        life.ended = True
        if trio.current_time() - start >= GRACE:
            self.broken.append(f"{name} was killed at the end of its grace time")
        running.scope.cancel()
        await trio.sleep(0.3)
        await self._start_instance(name)

    async def _kill(self, name: str) -> None:
        life = self._lives[name]
        if life.ended:
            return
        life.killed = life.ended = True
        self._world.tenants[name].scope.cancel()
        await trio.sleep(self._random.uniform(0.2, 1.0))
        await self._start_instance(name)

    async def _replace_leaf(self) -> None:
        """Remove the entry of a leaf, which serves on for a while and then ends."""
        await self._add_leaf("bay")
        await trio.sleep(1.0)
        candidates = [
            leaf
            for leaf in self._leaves
            if leaf.removed_at == float("inf")
            and self._world.entries[leaf.id]["backend"] == "bay"
        ]
        leaf = self._random.choice(candidates)
        leaf.removed_at = trio.current_time()
        self._world.store.remove(f"servers/{leaf.id}")
        await trio.sleep(DRAIN + self._random.choice((0.5, 8.0)))
        self._world.servers[leaf.id].stop()

    async def _call(self, name: str) -> None:
        """Send requests to an instance over one connection until that is closed."""
        connection: HttpConnection | None = None
        life: Life | None = None
        while True:
            await trio.sleep(self._random.expovariate(1 / INTERVAL))
            if connection is None:
                life = self._lives[name]
                connection = await self._connect(name)
            if connection is not None and life is not None:
                usable = await self._send(connection, life)
                if not usable:
                    await connection.close()
                    connection = None

    async def _connect(self, name: str) -> HttpConnection | None:
        address = self._world.tenants[name].settings.callers
        try:
            stream = await self._world.network.at("callers").connect(address)
        except OSError:
            return None
        return HttpConnection(stream, HOST, BODY_LIMIT)

    async def _send(self, connection: HttpConnection, life: Life) -> bool:
        """Send one request; return whether the connection may be used again."""
        kind = self._random.choice(("once", "once", "bay", "all"))
        item = Sent(f"{kind}-{len(self._sent)}", life, trio.current_time())
        self._sent[item.id] = item
        headers = (
            (b"host", HOST.encode()),
            (b"x-request-id", item.id.encode()),
            (b"x-deadline-ms", b"%d" % DEADLINE_MS),
        )
        method = "POST" if kind == "once" else "GET"
        request = HttpRequest(method, f"/{kind}/x", headers, item.id.encode())
        try:
            reply = await connection.exchange(request)
        except (ExchangeFailed, OSError):
            item.ended_at = trio.current_time()
            return False
        item.status, item.ended_at = reply.status, trio.current_time()
        return connection.prepare_next()

    def _check(self) -> None:
        ended = [item for item in self._sent.values() if item.ended_at < float("inf")]
        self.statuses.update(item.status for item in ended)
        ran = Counter(id for leaf in self._leaves for id in leaf.ran)
        for item in ended:
            held = item.ended_at - item.at
            closed = item.status == 0 and not item.life.killed
            if closed and (item.id in ran or held > CROSSING):
                self.broken.append(f"{item.id} closed unanswered after {held:.2f} s")
            if item.status in NOT_RUN_STATUSES and item.id in ran:
                self.broken.append(f"{item.id} was answered {item.status}, and ran")
            if item.id.startswith("once-") and ran[item.id] > 1:
                self.broken.append(f"{item.id} ran {ran[item.id]} times")
        for leaf in self._leaves:
            for at, id in leaf.arrivals:
                late = at - leaf.removed_at - DRAIN
                if late > 0.1 and at - self._sent[id].life.started_at >= CONTACT:
                    self.broken.append(f"{id} reached {leaf.id} {late:.2f} s too late")
        if self.statuses[200] < len(ended) / 2:
            self.broken.append(f"only {self.statuses[200]} of {len(ended)} were served")


def run_seed(seed: int, instances: int = 3) -> list[str]:
    """Run one seed; print how it went and return what broke."""

    async def run() -> StopSoak:
        async with open_platform() as world:
            soak = StopSoak(world, Random(seed), instances)
            await soak.run()
            return soak

    soak = run_mocked(run)
    outcome = "BROKEN" if soak.broken else "held"
    print(f"seed {seed}: {outcome}; {dict(soak.faults)}")
    print(f"  answers: {dict(sorted(soak.statuses.items()))}")
    for line in soak.broken[:10]:
        print(f"  {line}")
    return soak.broken


def main() -> None:
    """Run the seeds given by the arguments."""
    parser = argparse.ArgumentParser(description="soak planned stops and restarts")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int, default=3)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    held = [not run_seed(seed, options.instances) for seed in seeds]
    print(f"{sum(held)} of {len(held)} seeds held")
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
