"""A trial: one scenario on one deployment under one policy, with a seed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from statistics import median

import trio
from trio.testing import MockClock

from walkcart.bench.routed.callers import CallerKind, Callers, Tally
from walkcart.bench.routed.emulatedleaf import EmulatedLeaf
from walkcart.bench.routed.instances import (
    ONE_WAY_LATENCIES,
    TrialEnvironment,
    TrialInstance,
)
from walkcart.bench.routed.policies import Policy
from walkcart.bench.routed.scenarios import LOCATIONS, Scenario, Shape
from walkcart.bench.routed.timeline import Timeline
from walkcart.intent.routes import (
    Route,
    RoutingDocument,
    ServiceSpec,
    ToService,
    ToShards,
)
from walkcart.leaves.attempts import Attempt
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.routing.distance import Location, measure_distance
from walkcart.standins.memory import MemoryNetwork

#: Seconds of requests before results count; instances have learned latencies by then.
WARM_UP_TIME = 6.0
SINGLE_SERVICE = "single"
#: Maximum number of leaves of one shard that may run the same request.
MAX_ATTEMPTS = 2
#: Peer port of the first instance; the ports are on a network in memory.
FIRST_PORT = 30_000
#: Seconds until the instances know of leaves that have started or stopped.
DISCOVERY_DELAY = 0.5


@dataclass(frozen=True, slots=True)
class KindResult:
    """The results of one kind of request.

    Args:
        asked: number of requests, without retries.
        in_time: fraction answered within the objective.
        late: fraction answered later.
        refused: fraction refused at the last attempt.
        failed: fraction that ended in any other way.
        coverage: mean coverage of the answers.
        p50: median latency of the answers, in seconds.
        worth: value of the answers as a fraction of the maximum.
    """

    asked: int
    in_time: float
    late: float
    refused: float
    failed: float
    coverage: float
    p50: float
    worth: float


@dataclass(frozen=True, slots=True)
class TrialResult:
    """The results of a trial.

    Args:
        kinds: the results by kind of request.
        worth: value of all answers as a fraction of the maximum.
        extra_load: leaf requests beyond one per shard, as a fraction of those needed.
        wait: mean time that requests waited at leaves, in seconds.
        peer_bytes: bytes sent between instances per request.
    """

    kinds: dict[str, KindResult]
    worth: float
    extra_load: float
    wait: float
    peer_bytes: float


class Trial:
    """A deployment with its callers during a scenario.

    Args:
        shape: the size and properties of the deployment.
        policy: the mechanisms that the instances use.
        random: draws the affected leaves and the seeds of all other generators.
    """

    def __init__(self, shape: Shape, policy: Policy, random: Random) -> None:
        self.shape = shape
        self.random = random
        self.timeline = Timeline()
        self.leafs: dict[str, EmulatedLeaf] = {}
        self.callers: list[Callers] = []
        self.shard_names = tuple(f"shard-{number:02}" for number in range(shape.shards))
        self._started = 0
        self._kinds = {kind.name: kind for kind in shape.kinds}
        for number, service in enumerate(self.shard_names):
            for copy in range(shape.leafs):
                self._start_leaf(service, LOCATIONS[(number + copy) % len(LOCATIONS)])
        for number in range(shape.singles):
            self._start_leaf(SINGLE_SERVICE, LOCATIONS[number % len(LOCATIONS)])
        self._environment = TrialEnvironment(
            MemoryNetwork(_find_latency),
            self.timeline,
            self.leafs,
            {},
            make_document(shape, self.shard_names),
            self._work_of,
            policy,
        )
        self.instances = [self._make_instance(n) for n in range(shape.instances)]

    def find_running_leaves(self, service: str) -> list[EmulatedLeaf]:
        """Return the running leaves of a service."""
        return [
            leaf
            for leaf in self.leafs.values()
            if leaf.service == service and not leaf.faults.gone
        ]

    def sample_leaves(self, share: float) -> list[EmulatedLeaf]:
        """Return a random fraction of the shards' leaves."""
        leafs = [leaf for leaf in self.leafs.values() if leaf.service != SINGLE_SERVICE]
        return self.random.sample(leafs, round(share * len(leafs)))

    def replace_leaves(self, share: float) -> None:
        """Replace a fraction of the leaves; old ones stop once new ones are known."""
        ending = [leaf for leaf in self.sample_leaves(share) if not leaf.faults.gone]
        for leaf in ending:
            self._start_leaf(leaf.service, leaf.place)
        self.timeline.call_after(DISCOVERY_DELAY, self._update_directories)
        for leaf in ending:
            self.timeline.call_after(4 * DISCOVERY_DELAY, leaf.end)
        self.timeline.call_after(5 * DISCOVERY_DELAY, self._update_directories)

    async def run(self, scenario: Scenario) -> TrialResult:
        """Run a scenario and return its results."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timeline.run)
            self._update_directories()
            for instance in self.instances:
                await instance.start(nursery)
            if not scenario.cold:
                await trio.sleep(0.5)
                await self._send_requests(WARM_UP_TIME)
            for callers in self.callers:
                callers.tally = Tally()
            before = self._read_counters()
            for at, action in scenario.actions:
                self.timeline.call_after(at, lambda action=action: action(self))
            await self._send_requests(scenario.seconds)
            result = self._summarize(before)
            nursery.cancel_scope.cancel()
        return result

    async def _send_requests(self, seconds: float) -> None:
        if not self.callers:
            self.callers = [self._make_callers(kind) for kind in self.shape.kinds]
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for callers in self.callers:
                nursery.start_soon(callers.run, until)

    def _make_callers(self, kind: CallerKind) -> Callers:
        shards = self.shape.shards if kind.sharded else 1
        random = Random(self.random.getrandbits(32))
        return Callers(kind, self.instances, shards, random)

    def _make_instance(self, number: int) -> TrialInstance:
        place = LOCATIONS[number % len(LOCATIONS)]
        name = f"instance-{number:02}"
        address = f"127.0.0.1:{FIRST_PORT + number}"
        record = InstanceRecord(name, "", place.data_centre, place.region, address)
        self._environment.records[name] = record
        return TrialInstance(
            record, self._environment, Random(self.random.getrandbits(32))
        )

    def _start_leaf(self, service: str, place: Location) -> None:
        single = service == SINGLE_SERVICE
        shape = self.shape.single_leaf if single else self.shape.leaf
        self._started += 1
        id = f"leaf-{self._started:04}"
        random = Random(self.random.getrandbits(32))
        self.leafs[id] = EmulatedLeaf(id, service, place, shape, self.timeline, random)

    def _update_directories(self) -> None:
        for instance in self.instances:
            instance.update_directory()

    def _work_of(self, attempt: Attempt) -> float:
        """Return the mean work time of an attempt in seconds."""
        assert attempt.caller_request is not None
        return self._kinds[attempt.caller_request.target.strip("/")].work

    def _read_counters(self) -> tuple[int, float, float]:
        """Return arrived leaf requests, seconds in queues, and bytes between peers."""
        leafs = self.leafs.values()
        return (
            sum(leaf.arrived for leaf in leafs),
            sum(leaf.queue_time for leaf in leafs),
            sum(item.metrics.read("peer.bytes") for item in self.instances),
        )

    def _summarize(self, before: tuple[int, float, float]) -> TrialResult:
        now = self._read_counters()
        arrived, waited, sent_bytes = (a - b for a, b in zip(now, before, strict=True))
        kinds = {item.kind.name: summarize_kind(item) for item in self.callers}
        needed = sum(
            item.tally.asked * (self.shape.shards if item.kind.sharded else 1)
            for item in self.callers
        )
        asked = max(1, sum(item.tally.asked for item in self.callers))
        possible = sum(item.tally.asked * item.kind.value for item in self.callers)
        earned = sum(item.tally.earned_value for item in self.callers)
        return TrialResult(
            kinds,
            earned / max(1e-9, possible),
            arrived / max(1, needed) - 1,
            waited / max(1, arrived),
            sent_bytes / asked,
        )


def summarize_kind(callers: Callers) -> KindResult:
    """Return the results of one kind of request."""
    tally, kind = callers.tally, callers.kind
    asked = max(1, tally.asked)
    answered = max(1, len(tally.times))
    return KindResult(
        tally.asked,
        tally.in_time / asked,
        tally.late / asked,
        tally.refused / asked,
        tally.failed / asked,
        tally.parts / answered,
        median(tally.times) if tally.times else float("inf"),
        tally.earned_value / (asked * kind.value),
    )


def make_document(shape: Shape, shards: tuple[str, ...]) -> RoutingDocument:
    """Return the routing document of a deployment."""
    routes = [
        Route(
            name=kind.name,
            host="host",
            prefix=f"/{kind.name}/",
            target=ToShards(shards, 10, kind.least_coverage)
            if kind.sharded
            else ToService(SINGLE_SERVICE),
            timeout=timedelta(seconds=kind.timeout),
            objective=timedelta(seconds=kind.objective),
            most_attempts=MAX_ATTEMPTS,
            rank=kind.rank,
        )
        for kind in shape.kinds
    ]
    services = [ServiceSpec(name, shape.leaf.connections) for name in shards]
    services.append(ServiceSpec(SINGLE_SERVICE, shape.single_leaf.connections))
    return RoutingDocument(1, tuple(routes), tuple(services))


def _find_latency(one: str, other: str) -> float:
    """Return the one-way latency between two data centres, in seconds."""
    places = {place.data_centre: place for place in LOCATIONS}
    return ONE_WAY_LATENCIES[measure_distance(places[one], places[other])]


def run_trial(
    scenario: Scenario, policy: Policy, seed: int, shape: Shape | None = None
) -> TrialResult:
    """Run one trial on a mocked clock.

    Args:
        scenario: the faults and bursts to run.
        policy: the mechanisms that the instances use.
        seed: seed of everything random; it fixes arrivals, work times and faults.
        shape: the deployment; None for the users' smaller one.
    """
    random = Random(seed)

    async def run() -> TrialResult:
        return await Trial(shape or Shape(), policy, random).run(scenario)

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    return trio.run(run, clock=MockClock(autojump_threshold=0))
