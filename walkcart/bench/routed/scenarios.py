"""Shapes of deployments and what goes wrong there, named for the load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from walkcart.bench.routed.callers import CallerKind
from walkcart.bench.routed.leafs import LeafShape
from walkcart.routing.distance import Location

if TYPE_CHECKING:
    from walkcart.bench.routed.trials import Trial

PLACES = (
    Location("north", "north-a"),
    Location("south", "south-a"),
    Location("east", "east-a"),
)
#: A long search that needs nearly all shards, a short one that needs fewer, and a
#: request to a single leaf: rates, work, objectives and patience as the users state
#: them for a smaller deployment.
KINDS = (
    CallerKind("sweep", 33.8, 0.030, 0.233, 2.0, 0.89, value=2.0),
    CallerKind("lookup", 11.3, 0.0101, 0.111, 1.0, 0.75),
    CallerKind("single", 11.3, 0.183, 0.673, 6.0, 1.0, late_value=0.3, sharded=False),
)


#: Brings trouble about, or ends it, during a trial.
Act = Callable[["Trial"], None]


#: An urgent short request beside a long one, on shards with three leafs.
URGENT_KINDS = (
    CallerKind("sweep", 12.6, 0.0165, 0.171, 2.0, 0.95, 1.8, 0.089, rank=1),
    CallerKind("alert", 7.3, 0.0057, 0.088, 1.2, 0.85, 1.7, 0.068, rank=0),
)


@dataclass(frozen=True, slots=True)
class Shape:
    """A deployment.

    Args:
        shards: of the index.
        leafs: of each shard, in different data centres.
        singles: leafs of the service of single requests.
        instances: spread evenly over the data centres.
        kinds: of requests.
        leaf: what a shard's leafs are like.
        single_leaf: what the others are like.
    """

    shards: int = 20
    leafs: int = 2
    singles: int = 4
    instances: int = 7
    kinds: tuple[CallerKind, ...] = KINDS
    leaf: LeafShape = field(default_factory=LeafShape)
    single_leaf: LeafShape = field(
        default_factory=lambda: LeafShape(
            slots=4, queue=16, connections=100, handshake=0.001, pause=0.0
        )
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens during a trial.

    Args:
        name: of the scenario.
        acts: with their times, in seconds from the first request.
        seconds: for which requests are sent.
        cold: whether instances know no leaf's times at first and serve at once; else
            they serve for some seconds before anything counts.
    """

    name: str
    acts: tuple[tuple[float, Act], ...] = ()
    seconds: float = 12.0
    cold: bool = False


def _spoil_three_shards(trial: Trial) -> None:
    """One leaf of each of three shards goes dark, the other is eight times slower."""
    for service in trial.shard_names[:3]:
        first, *others = trial.leafs_of(service)
        first.trouble.dark = True
        for leaf in others:
            leaf.trouble.slow = 8.0


def _slow_some(share: float, factor: float) -> Act:
    def act(trial: Trial) -> None:
        for leaf in trial.draw_leafs(share):
            leaf.trouble.slow = factor

    return act


def _burst_of(number: int, factor: float) -> Act:
    """The callers of one kind ask several times as much."""

    def act(trial: Trial) -> None:
        trial.callers[number].burst = factor

    return act


def _refuse_much(trial: Trial) -> None:
    """A third of the leafs turns 60% of its requests away."""
    for leaf in trial.draw_leafs(1 / 3):
        leaf.trouble.refuse = 0.6


def _darken_shard(trial: Trial) -> None:
    for leaf in trial.leafs_of(trial.shard_names[0]):
        leaf.trouble.dark = True


def _lose_answers(trial: Trial) -> None:
    for leaf in trial.draw_leafs(0.5):
        leaf.trouble.lose = 0.4


def _burst(factor: float) -> Act:
    def act(trial: Trial) -> None:
        for callers in trial.callers:
            callers.burst = factor

    return act


def _end_trouble(trial: Trial) -> None:
    for leaf in trial.leafs.values():
        leaf.trouble.dark = False
        leaf.trouble.slow = 1.0
        leaf.trouble.refuse = leaf.trouble.lose = 0.0


def _replace_some(share: float) -> Act:
    def act(trial: Trial) -> None:
        trial.replace_leafs(share)

    return act


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("pauses"),
        Scenario("three-shards", ((3.0, _spoil_three_shards), (9.0, _end_trouble))),
        Scenario("refusing-third", ((3.0, _refuse_much), (9.0, _end_trouble))),
        Scenario("dark-shard", ((3.0, _darken_shard), (9.0, _end_trouble))),
        Scenario("lost-answers", ((3.0, _lose_answers), (7.0, _end_trouble))),
        Scenario("burst", ((3.0, _burst(3.0)), (6.0, _burst(1.0)))),
        Scenario(
            "slow-burst",
            (
                (2.0, _slow_some(0.15, 11.0)),
                (3.0, _burst_of(0, 2.6)),
                (5.0, _slow_some(0.1, 8.0)),
                (8.0, _burst_of(0, 1.0)),
                (10.0, _end_trouble),
            ),
        ),
        Scenario("fleet-started", cold=True, seconds=6.0),
        Scenario(
            "release", tuple((3.0 + 0.5 * n, _replace_some(1 / 8)) for n in range(8))
        ),
    )
}


def draw_shape(random: Random) -> Shape:
    """Return a shape of another size, drawn at random."""
    work = 10 ** random.uniform(-2.5, -1)
    shards = random.randint(5, 40)
    leafs = random.randint(2, 3)
    room = shards * leafs * 2 / work
    rate = min(40.0, 0.3 * room / shards)
    kinds = (
        CallerKind(
            "sweep", rate, work, max(0.05, 8 * work), max(0.5, 60 * work), 0.9, 2.0
        ),
        CallerKind(
            "lookup", rate / 3, work / 3, max(0.05, 8 * work), max(0.5, 40 * work), 0.75
        ),
    )
    return Shape(shards, leafs, 0, random.randint(3, 10), kinds)
