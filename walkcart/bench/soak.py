"""Long randomised runs that check the promises under all kinds of faults.

A run uses one process, a mocked clock and a network in memory; runs with the same
seed are identical. Instances run with fatal invariants. Answers to callers are checked
by the marks that leaf stand-ins put into each row (see `walkcart.bench.caller`), and
against the leaves' records of what ran. After the faults end, the whole deployment
must recover.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec
import trio
from trio.testing import MockClock

from walkcart.bench.caller import Caller, RequestResult, find_violations
from walkcart.bench.injection import FaultInjector
from walkcart.bench.world import World, make_partner, make_service
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.once.keys import make_key
from walkcart.standins.balancer import BalancerStandin
from walkcart.standins.memory import MemoryNetwork

SITES = [("north", "north-a"), ("north", "north-b"), ("south", "south-a")]
CLIENT_SITE = "client"
INSTANCES = 6
QUERY_SHARDS = 6
#: Mean requests per second.
QUERY_RATE = 8.0
EXECUTION_RATE = 4.0
#: Maximum number of requests that send one key at about the same time.
MAX_REPEATS = 3
#: Seconds from the end of the faults until the checks.
RECOVERY_TIME = 40.0
FINAL_QUERIES = 20


@dataclass(slots=True)
class SoakReport:
    """The results of one run.

    Args:
        seed: the seed of the run.
        outcomes: number of requests by kind and outcome.
        broken: broken promises, one line each.
        faults: number of injected faults by name.
        seconds: length of the run in mocked time.
    """

    seed: int
    outcomes: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    seconds: float = 0.0


def run_soak(seed: int, minutes: float) -> SoakReport:
    """Run one seed on the mocked clock."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_Soak(seed, minutes).run, clock=clock)


def run_soaks(first: int, count: int, minutes: float) -> int:
    """Run several seeds and print the results; return 1 if any broke a promise."""
    failed = 0
    for seed in range(first, first + count):
        report = run_soak(seed, minutes)
        outcomes = ", ".join(f"{k} {v}" for k, v in sorted(report.outcomes.items()))
        verdict = "BROKEN" if report.broken else "held"
        print(f"seed {seed}: {verdict}; {report.seconds:.0f} s; {outcomes}")
        print(f"  faults: {dict(sorted(report.faults.items()))}", file=sys.stderr)
        for line in report.broken[:10]:
            print(f"  {line}")
        failed += bool(report.broken)
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


def _find_latency(one: str, other: str) -> float:
    """Return the one-way latency between two sites, in seconds."""
    if one == other:
        return 0.0001
    return 0.008 if "south-a" in (one, other) else 0.0005


class _Soak:
    """One run."""

    def __init__(self, seed: int, minutes: float) -> None:
        self._random = Random(seed)
        self._seed = seed
        self._seconds = minutes * 60
        self._report = SoakReport(seed)
        self._not_run: list[bytes] = []
        self._number = 0
        self._accepted = 0

    async def run(self) -> SoakReport:
        """Start the deployment, send requests under faults, end the faults, check."""
        async with trio.open_nursery() as nursery:
            self._world = World(nursery, self._seed, MemoryNetwork(_find_latency))
            await self._start()
            network = self._world.network(CLIENT_SITE)
            addresses = [item.address for item in self._world.instances.values()]
            self._balancer = BalancerStandin(network, addresses)
            await nursery.start(self._balancer.watch)
            self._callers = {
                name: Caller(network, f"{name}-token") for name in ("red", "blue")
            }
            injector = FaultInjector(self._world, self._random, self._balancer, "parts")
            with trio.move_on_after(self._seconds):
                async with trio.open_nursery() as load_nursery:
                    load_nursery.start_soon(injector.run)
                    load_nursery.start_soon(self._send_queries, nursery)
                    load_nursery.start_soon(self._send_executions, nursery)
                    load_nursery.start_soon(self._watch_revisions)
            self._report.faults = injector.fault_counts
            await injector.heal()
            await trio.sleep(RECOVERY_TIME)
            await self._check_recovery()
            self._check_records()
            self._report.broken += injector.broken
            self._report.seconds = trio.current_time()
            nursery.cancel_scope.cancel()
        return self._report

    async def _start(self) -> None:
        world = self._world
        await world.start_platform()
        await world.start_group("parts", QUERY_SHARDS, 2, SITES)
        await world.start_group("cards", 1, 3, SITES, slots=4)
        for number in range(INSTANCES):
            region, site = SITES[number % len(SITES)]
            await world.start_instance(f"instance-{number}", region, site)
        text = make_partner("red", "red-token") + make_partner("blue", "blue-token")
        text += make_service("parts", QUERY_SHARDS) + make_service("cards", 1, True)
        text += '[[routing_intent]]\nname = "all"\nselector = ""\ndeadline = 1.0\n'
        outcome = await world.apply(text)
        await world.wait_in_force(outcome.revision)
        await trio.sleep(3)

    def _record_violation(self, text: str) -> None:
        self._report.broken.append(f"t={trio.current_time():.2f} {text}")

    async def _send_queries(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._random.expovariate(QUERY_RATE))
            self._number += 1
            nursery.start_soon(self._query, self._number)

    async def _query(self, number: int) -> None:
        partner = ("red", "blue")[number % 2]
        address = self._balancer.choose()
        if address is None:
            self._report.outcomes["query unasked"] += 1
            return
        query = {"number": number}
        asked = await self._callers[partner].query(address, "parts", query)
        self._count_outcome("query", asked)
        for violation in find_violations(asked, partner, query):
            self._record_violation(f"{violation} in the answer to query {number}")
        if asked.verdict == "not_run":
            self._not_run.append(msgspec.json.encode(query))

    async def _send_executions(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._random.expovariate(EXECUTION_RATE))
            self._number += 1
            key = make_key(self._world.clock.now(), self._random)
            for _ in range(self._random.randint(1, MAX_REPEATS)):
                delay = self._random.choice([0.0, 0.001, 0.3, 2.0])
                nursery.start_soon(self._execute, self._number, key, delay)

    async def _execute(self, number: int, key: str, delay: float) -> None:
        await trio.sleep(delay)
        address = self._balancer.choose()
        if address is None:
            return
        command = {"card": number}
        partner = ("red", "blue")[number % 2]
        asked = await self._callers[partner].execute(address, "cards", command, key)
        self._count_outcome("execute", asked)
        if asked.status == 200 and asked.content["rows"][0]["query"] != command:
            self._record_violation(f"execution {number} got another's reply")

    def _count_outcome(self, kind: str, asked: RequestResult) -> None:
        name = asked.verdict or "no reply"
        if kind == "query" and name == "answered":
            complete = asked.content["coverage"]["complete"]
            name = "complete" if complete else "partial"
        self._report.outcomes[f"{kind} {name}"] += 1

    async def _watch_revisions(self) -> None:
        """Check that the revision of a running instance never decreases."""
        seen: dict[ConfigurationKeeper, int] = {}
        while True:
            await trio.sleep(0.1)
            for item in list(self._world.instances.values()):
                keeper = item.find("keeper", ConfigurationKeeper)
                revision = keeper.document.revision
                if revision < seen.get(keeper, 0):
                    self._record_violation(
                        f"{item.name} went back to revision {revision}"
                    )
                seen[keeper] = revision

    async def _check_recovery(self) -> None:
        """Check that all instances have the same revision and answers are complete."""
        revisions = {
            item.find("keeper", ConfigurationKeeper).document.revision
            for item in self._world.instances.values()
        }
        if len(revisions) != 1:
            self._record_violation(
                f"after healing the revisions are {sorted(revisions)}"
            )
        for number in range(FINAL_QUERIES):
            await trio.sleep(0.05)
            address = self._balancer.choose()
            if address is None:
                self._record_violation("after healing no instance is ready")
                return
            asked = await self._callers["red"].query(address, "parts", {"end": number})
            if asked.status != 200 or not asked.content["coverage"]["complete"]:
                self._record_violation(
                    f"after healing a question ended {_describe(asked)}"
                )

    def _check_records(self) -> None:
        """Compare the leaves' records with the replies that callers received."""
        ran: set[bytes] = set()
        once: Counter[str] = Counter()
        for item in self._world.leaves_ever:
            ran.update(run.body for run in item.runs)
            once.update(item.once)
            if item.peak_connections > item.spec.connections:
                self._record_violation(f"{item.spec.name} had too many connections")
        for body in self._not_run:
            if body in ran:
                self._record_violation(f"{body!r} was told not run, and ran")
        for key, count in once.items():
            if count > 1:
                self._record_violation(f"key {key} ran {count} times")


def _describe(asked: RequestResult) -> str:
    content: Any = asked.content or {}
    detail = content.get("detail") or content.get("coverage", {}).get("missing")
    return f"{asked.status} {asked.verdict} {detail}"
