"""Deployments for trials, and scenarios of faults and bursts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from walkcart.bench.routed.callers import CallerKind
from walkcart.bench.routed.emulatedleaf import LeafShape
from walkcart.routing.distance import Location

if TYPE_CHECKING:
    from walkcart.bench.routed.trials import Trial

LOCATIONS = (
    Location("north", "north-a"),
    Location("south", "south-a"),
    Location("east", "east-a"),
)
#: A long search that needs nearly all shards, a short one that needs fewer, and a
#: request to a single leaf. Rates, work times, objectives and timeouts are those that
#: the users state for a smaller deployment.
KINDS = (
    CallerKind("sweep", 33.8, 0.030, 0.233, 2.0, 0.89, value=2.0),
    CallerKind("lookup", 11.3, 0.0101, 0.111, 1.0, 0.75),
    CallerKind("single", 11.3, 0.183, 0.673, 6.0, 1.0, late_value=0.3, sharded=False),
)


#: Changes a running trial: starts or ends faults or bursts.
TrialAction = Callable[["Trial"], None]


#: An urgent short request and a long one, for shards with three leaves.
URGENT_KINDS = (
    CallerKind("sweep", 12.6, 0.0165, 0.171, 2.0, 0.95, 1.8, 0.089, rank=1),
    CallerKind("alert", 7.3, 0.0057, 0.088, 1.2, 0.85, 1.7, 0.068, rank=0),
)


@dataclass(frozen=True, slots=True)
class Shape:
    """The size and properties of a deployment.

    Args:
        shards: number of shards of the index.
        leafs: number of leaves per shard, in different data centres.
        singles: number of leaves of the service for requests to a single leaf.
        instances: number of instances, spread evenly over the data centres.
        kinds: the kinds of request.
        leaf: the properties of the shards' leaves.
        single_leaf: the properties of the other leaves.
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
    """The faults and bursts of a trial.

    Args:
        name: the name of the scenario.
        actions: the actions with their times, in seconds after the warm-up.
        seconds: duration for which requests are sent.
        cold: whether results count from the start, when instances have recorded no
            latencies yet; otherwise they count after a warm-up.
    """

    name: str
    actions: tuple[tuple[float, TrialAction], ...] = ()
    seconds: float = 12.0
    cold: bool = False


def _degrade_three_shards(trial: Trial) -> None:
    """On three shards, one leaf stops replying and the other is eight times slower."""
    for service in trial.shard_names[:3]:
        first, *others = trial.find_running_leaves(service)
        first.faults.unresponsive = True
        for leaf in others:
            leaf.faults.slowdown = 8.0


def _slow_leaves(share: float, factor: float) -> TrialAction:
    def action(trial: Trial) -> None:
        for leaf in trial.sample_leaves(share):
            leaf.faults.slowdown = factor

    return action


def _multiply_rate_of(number: int, factor: float) -> TrialAction:
    """Multiply the request rate of one kind."""

    def action(trial: Trial) -> None:
        trial.callers[number].burst = factor

    return action


def _refuse_requests(trial: Trial) -> None:
    """A third of the leaves refuses 60% of its requests."""
    for leaf in trial.sample_leaves(1 / 3):
        leaf.faults.refusal_rate = 0.6


def _stop_shard_responses(trial: Trial) -> None:
    for leaf in trial.find_running_leaves(trial.shard_names[0]):
        leaf.faults.unresponsive = True


def _lose_answers(trial: Trial) -> None:
    for leaf in trial.sample_leaves(0.5):
        leaf.faults.loss_rate = 0.4


def _multiply_all_rates(factor: float) -> TrialAction:
    def action(trial: Trial) -> None:
        for callers in trial.callers:
            callers.burst = factor

    return action


def _end_faults(trial: Trial) -> None:
    for leaf in trial.leafs.values():
        leaf.faults.unresponsive = False
        leaf.faults.slowdown = 1.0
        leaf.faults.refusal_rate = leaf.faults.loss_rate = 0.0


def _replace_leaves(share: float) -> TrialAction:
    def action(trial: Trial) -> None:
        trial.replace_leaves(share)

    return action


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("pauses"),
        Scenario("three-shards", ((3.0, _degrade_three_shards), (9.0, _end_faults))),
        Scenario("refusing-third", ((3.0, _refuse_requests), (9.0, _end_faults))),
        Scenario("dark-shard", ((3.0, _stop_shard_responses), (9.0, _end_faults))),
        Scenario("lost-answers", ((3.0, _lose_answers), (7.0, _end_faults))),
        Scenario(
            "burst", ((3.0, _multiply_all_rates(3.0)), (6.0, _multiply_all_rates(1.0)))
        ),
        Scenario(
            "slow-burst",
            (
                (2.0, _slow_leaves(0.15, 11.0)),
                (3.0, _multiply_rate_of(0, 2.6)),
                (5.0, _slow_leaves(0.1, 8.0)),
                (8.0, _multiply_rate_of(0, 1.0)),
                (10.0, _end_faults),
            ),
        ),
        Scenario("fleet-started", cold=True, seconds=6.0),
        Scenario(
            "release", tuple((3.0 + 0.5 * n, _replace_leaves(1 / 8)) for n in range(8))
        ),
    )
}


def draw_random_shape(random: Random) -> Shape:
    """Return a deployment of random size and load."""
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
