"""Experiments: one scenario under several policies, with one run for each.

They use a network in memory and a mocked clock. The figures depend on the seed only,
not on the load of the machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

import trio
from trio.testing import MockClock

from walkcart.bench.caller import Caller
from walkcart.bench.faults import (
    DrainLeaf,
    Fault,
    GroupOutage,
    IndexRoll,
    KillInstance,
    KillLeaf,
    LyingLoad,
    Repartition,
    SlowLeaf,
    Stalls,
    StoreDown,
    bring_about,
)
from walkcart.bench.load import LoadGenerator, LoadPlan, Tally
from walkcart.bench.shapes import SHAPES, Shape
from walkcart.bench.world import World, make_partner, make_service
from walkcart.kernel.invariants import Invariants
from walkcart.standins.balancer import BalancerStandin
from walkcart.standins.memory import MemoryNetwork

INSTANCES = 7
CLIENT_SITE = "client"
#: Seconds from the configuration until the first question.
SETTLE_TIME = 4.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """The load and the faults of an experiment.

    Args:
        name: the name of the scenario.
        faults: the faults to inject; their times count from the first question.
        rate: questions per second.
        seconds: duration of the load.
        warm_up: seconds at the start that aren't measured.
    """

    name: str
    faults: tuple[Fault, ...] = ()
    rate: float = 60.0
    seconds: float = 17.0
    warm_up: float = 5.0


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("no-fault"),
        Scenario("slow-leaf", (SlowLeaf(1.0, 10.0),)),
        Scenario("stalls", (Stalls(1.0, 0.05, 0.2),)),
        Scenario("leaf-killed", (KillLeaf(8.0),)),
        Scenario("leaf-draining", (DrainLeaf(8.0),)),
        Scenario("index-roll", (IndexRoll(7.0, 2), IndexRoll(12.0, 3))),
        Scenario("repartition", (Repartition(7.0, 24),)),
        Scenario("instance-killed", (KillInstance(8.0),)),
        Scenario("store-down", (StoreDown(6.0, 60.0),), seconds=30.0),
        Scenario("slow-leaves", (SlowLeaf(1.0, 5.0, tuple(range(30))),)),
        Scenario("lying-load", (LyingLoad(1.0, 5.0),)),
        Scenario("group-outage", (GroupOutage(6.0, 30.0),), seconds=100.0, rate=20.0),
        Scenario("overload-1x", rate=380.0, seconds=7.0, warm_up=3.0),
        Scenario("overload-2x", rate=760.0, seconds=7.0, warm_up=3.0),
        Scenario("overload-5x", rate=1900.0, seconds=7.0, warm_up=3.0),
    )
}

#: TOML fields of the routing intent for each policy.
POLICIES = {
    "walkcart": "",
    "random": 'replica_policy = "random"\nhedge_budget = 0.0\n',
    "round_robin": 'replica_policy = "round_robin"\nhedge_budget = 0.0\n',
    "outstanding": 'replica_policy = "outstanding"\n',
    "no_hedge": "hedge_budget = 0.0\n",
    "hedge_10": "hedge_budget = 0.1\n",
    "random_hedged": 'replica_policy = "random"\n',
}


@dataclass(frozen=True, slots=True)
class Figures:
    """The results of one run.

    Args:
        scenario: the name of the scenario.
        policy: the name of the policy.
        shape: the name of the shape.
        seed: the seed of the run.
        quantiles_ms: latency of the answers in milliseconds, by quantile.
        outcomes: number of questions by outcome.
        violations: number of broken promises by kind, as observed by callers.
        reasons: number of questions without an answer, by reason.
        by_partner: number of answers by partner.
        coverage: fraction of the asked shards that answered, over all answers.
        extra_load: leaf requests per shard asked, minus one.
        goodput: answers per second.
        most_connections: maximum number of simultaneous connections at any leaf.
        broken_invariants: number of broken invariants that instances detected.
        timeline: (second, latency, outcome) of each question.
    """

    scenario: str
    policy: str
    shape: str
    seed: int
    quantiles_ms: dict[str, float]
    outcomes: dict[str, int]
    violations: dict[str, int]
    reasons: dict[str, int]
    by_partner: dict[str, int]
    coverage: float
    extra_load: float
    goodput: float
    most_connections: int
    broken_invariants: int
    timeline: list[tuple[float, float, str]] = field(repr=False, default_factory=list)


def run_experiment(scenario: str, policy: str, shape: str, seed: int) -> Figures:
    """Run one experiment on the mocked clock."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return trio.run(_run, SCENARIOS[scenario], policy, SHAPES[shape], seed, clock=clock)


async def _run(scenario: Scenario, policy: str, shape: Shape, seed: int) -> Figures:
    async with trio.open_nursery() as nursery:
        world = World(nursery, seed, MemoryNetwork(shape.latency))
        await start_estate(world, shape, POLICIES[policy])
        network = world.network(CLIENT_SITE)
        addresses = [item.address for item in world.instances.values()]
        balancer = BalancerStandin(network, addresses)
        await nursery.start(balancer.watch)
        callers = {name: Caller(network, f"{name}-token") for name in shape.partners}
        plan = LoadPlan(
            shape.service,
            scenario.rate,
            scenario.seconds,
            scenario.warm_up,
            shape.partners,
        )
        load = LoadGenerator(plan, balancer, callers, Random(seed))
        for fault in scenario.faults:
            nursery.start_soon(bring_about, fault, world, shape.service)
        tally = await load.run()
        figures = _summarise(scenario, policy, shape, seed, world, tally)
        nursery.cancel_scope.cancel()
    return figures


async def start_estate(world: World, shape: Shape, intent: str) -> None:
    """Start the platform, leaves and instances, and apply the shape's configuration."""
    await world.start_platform()
    await world.start_group(shape.service, shape.shards, 2, list(shape.regions))
    for number in range(INSTANCES):
        region, site = shape.regions[number % len(shape.regions)]
        await world.start_instance(f"instance-{number}", region, site)
    accepted = await world.apply(make_estate(shape, intent))
    await world.wait_in_force(accepted.revision)
    await trio.sleep(SETTLE_TIME)


def make_estate(shape: Shape, intent: str) -> str:
    """Return the configuration of the shape as TOML."""
    values = dict(line.split(" = ", 1) for line in shape.intent.splitlines())
    values.update(line.split(" = ", 1) for line in intent.splitlines())
    lines = [f"{name} = {value}" for name, value in values.items()]
    text = "".join(make_partner(name, f"{name}-token") for name in shape.partners)
    text += make_service(shape.service, shape.shards)
    return (
        text + '[[routing_intent]]\nname = "policy"\nselector = ""\n' + "\n".join(lines)
    )


def _summarise(
    scenario: Scenario, policy: str, shape: Shape, seed: int, world: World, tally: Tally
) -> Figures:
    shares = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p99.9": 0.999}
    answers = tally.outcomes["complete"] + tally.outcomes["partial"]
    leaves = [item.leaf for item in world.leaves.values()]
    return Figures(
        scenario.name,
        policy,
        shape.name,
        seed,
        {name: round(tally.quantile(share), 3) for name, share in shares.items()},
        dict(tally.outcomes),
        dict(tally.violations),
        dict(tally.reasons),
        dict(tally.by_partner),
        round(tally.coverage, 5),
        round(tally.extra_load, 5),
        round(answers / (scenario.seconds - scenario.warm_up), 2),
        max(leaf.peak_connections for leaf in leaves),
        sum(
            item.find("invariants", Invariants).broken
            for item in world.instances.values()
        ),
        tally.timeline,
    )


def find_low_median(values: list[float]) -> float:
    """Return the median, or the lower of the two middle values."""
    return sorted(values)[(len(values) - 1) // 2]


def to_plain(figures: Figures) -> dict[str, Any]:
    """Return the figures as plain values, without the timeline."""
    plain = {name: getattr(figures, name) for name in Figures.__dataclass_fields__}
    del plain["timeline"]
    return plain
