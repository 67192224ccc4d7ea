"""One trial: a scenario on a shape under a policy, from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from statistics import median

import trio
from trio.testing import MockClock

from walkcart.bench.routed.callers import CallerKind, Callers, Tally
from walkcart.bench.routed.instances import (
    WAYS,
    Surroundings,
    TrialInstance,
)
from walkcart.bench.routed.leafs import EmulatedLeaf
from walkcart.bench.routed.policies import Policy
from walkcart.bench.routed.scenarios import PLACES, Scenario, Shape
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

#: Seconds of requests before anything is counted: times are learned by then.
WARM_UP = 6.0
SINGLE_SERVICE = "single"
MOST_ATTEMPTS = 2
FIRST_PORT = 30_000
#: Seconds after which an instance has heard of leafs that came or went.
NEWS_TIME = 0.5


@dataclass(frozen=True, slots=True)
class KindResult:
    """What the callers of one kind got.

    Args:
        asked: requests, retries not counted.
        in_time: share answered within the objective.
        late: share answered later.
        refused: share that ended refused.
        failed: share that ended otherwise.
        coverage: mean share of parts in answers.
        p50: median time of an answer, in seconds.
        worth: value earned as a share of what could be.
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
    """What a trial came to.

    Args:
        kinds: by name.
        worth: value earned by all kinds as a share of what could be.
        extra_load: leaf requests that arrived beyond one for each shard asked.
        wait: mean seconds that requests waited at leafs.
        peer_bytes: between instances, a request.
    """

    kinds: dict[str, KindResult]
    worth: float
    extra_load: float
    wait: float
    peer_bytes: float


class Trial:
    """A shape with its callers while a scenario is played."""

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
                self._start_leaf(service, PLACES[(number + copy) % len(PLACES)])
        for number in range(shape.singles):
            self._start_leaf(SINGLE_SERVICE, PLACES[number % len(PLACES)])
        self._around = Surroundings(
            MemoryNetwork(_find_latency),
            self.timeline,
            self.leafs,
            {},
            make_document(shape, self.shard_names),
            self._work_of,
            policy,
        )
        self.instances = [self._make_instance(n) for n in range(shape.instances)]

    def leafs_of(self, service: str) -> list[EmulatedLeaf]:
        """Return the leafs of a service that run."""
        return [
            leaf
            for leaf in self.leafs.values()
            if leaf.service == service and not leaf.trouble.gone
        ]

    def draw_leafs(self, share: float) -> list[EmulatedLeaf]:
        """Return a share of the shards' leafs, drawn at random."""
        leafs = [leaf for leaf in self.leafs.values() if leaf.service != SINGLE_SERVICE]
        return self.random.sample(leafs, round(share * len(leafs)))

    def replace_leafs(self, share: float) -> None:
        """Let new leafs take the places of some, which end when all know of them."""
        ending = [leaf for leaf in self.draw_leafs(share) if not leaf.trouble.gone]
        for leaf in ending:
            self._start_leaf(leaf.service, leaf.place)
        self.timeline.call_after(NEWS_TIME, self._spread_news)
        for leaf in ending:
            self.timeline.call_after(4 * NEWS_TIME, leaf.end)
        self.timeline.call_after(5 * NEWS_TIME, self._spread_news)

    async def play(self, scenario: Scenario) -> TrialResult:
        """Play a scenario and return what came of it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timeline.run)
            self._spread_news()
            for instance in self.instances:
                await instance.start(nursery)
            if not scenario.cold:
                await trio.sleep(0.5)
                await self._send_requests(WARM_UP)
            for callers in self.callers:
                callers.tally = Tally()
            before = self._count()
            for at, act in scenario.acts:
                self.timeline.call_after(at, lambda act=act: act(self))
            await self._send_requests(scenario.seconds)
            result = self._sum_up(before)
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
        place = PLACES[number % len(PLACES)]
        name = f"instance-{number:02}"
        address = f"127.0.0.1:{FIRST_PORT + number}"
        record = InstanceRecord(name, "", place.data_centre, place.region, address)
        self._around.records[name] = record
        return TrialInstance(record, self._around, Random(self.random.getrandbits(32)))

    def _start_leaf(self, service: str, place: Location) -> None:
        single = service == SINGLE_SERVICE
        shape = self.shape.single_leaf if single else self.shape.leaf
        self._started += 1
        id = f"leaf-{self._started:04}"
        random = Random(self.random.getrandbits(32))
        self.leafs[id] = EmulatedLeaf(id, service, place, shape, self.timeline, random)

    def _spread_news(self) -> None:
        for instance in self.instances:
            instance.know_leafs()

    def _work_of(self, attempt: Attempt) -> float:
        assert attempt.caller_request is not None
        return self._kinds[attempt.caller_request.target.strip("/")].work

    def _count(self) -> tuple[int, float, float]:
        leafs = self.leafs.values()
        return (
            sum(leaf.arrived for leaf in leafs),
            sum(leaf.waited for leaf in leafs),
            sum(item.metrics.read("peer.bytes") for item in self.instances),
        )

    def _sum_up(self, before: tuple[int, float, float]) -> TrialResult:
        now = self._count()
        arrived, waited, sent_bytes = (a - b for a, b in zip(now, before, strict=True))
        kinds = {item.kind.name: sum_up_kind(item) for item in self.callers}
        needed = sum(
            item.tally.asked * (self.shape.shards if item.kind.sharded else 1)
            for item in self.callers
        )
        asked = max(1, sum(item.tally.asked for item in self.callers))
        possible = sum(item.tally.asked * item.kind.value for item in self.callers)
        earned = sum(item.tally.worth for item in self.callers)
        return TrialResult(
            kinds,
            earned / max(1e-9, possible),
            arrived / max(1, needed) - 1,
            waited / max(1, arrived),
            sent_bytes / asked,
        )


def sum_up_kind(callers: Callers) -> KindResult:
    """Return what the callers of one kind got."""
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
        tally.worth / (asked * kind.value),
    )


def make_document(shape: Shape, shards: tuple[str, ...]) -> RoutingDocument:
    """Return the routing document of a shape."""
    routes = [
        Route(
            name=kind.name,
            host="host",
            prefix=f"/{kind.name}/",
            target=ToShards(shards, 10, kind.least_coverage)
            if kind.sharded
            else ToService(SINGLE_SERVICE),
            timeout=timedelta(seconds=kind.patience),
            objective=timedelta(seconds=kind.objective),
            most_attempts=MOST_ATTEMPTS,
            rank=kind.rank,
        )
        for kind in shape.kinds
    ]
    services = [ServiceSpec(name, shape.leaf.connections) for name in shards]
    services.append(ServiceSpec(SINGLE_SERVICE, shape.single_leaf.connections))
    return RoutingDocument(1, tuple(routes), tuple(services))


def _find_latency(one: str, other: str) -> float:
    places = {place.data_centre: place for place in PLACES}
    return WAYS[measure_distance(places[one], places[other])]


def run_trial(
    scenario: Scenario, policy: Policy, seed: int, shape: Shape | None = None
) -> TrialResult:
    """Run one trial on a mocked clock.

    Args:
        scenario: what happens.
        policy: how instances decide.
        seed: of all that is drawn; with it arrivals, work and trouble are the same.
        shape: of the deployment; the users' smaller one when None.
    """
    random = Random(seed)

    async def run() -> TrialResult:
        return await Trial(shape or Shape(), policy, random).play(scenario)

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    return trio.run(run, clock=MockClock(autojump_threshold=0))
