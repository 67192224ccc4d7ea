"""Decisions on routed requests, by what callers get in trials with fixed seeds."""

from dataclasses import replace
from random import Random

import pytest

from walkcart.bench.routed import POLICIES, SCENARIOS, Shape, run_trial
from walkcart.bench.routed.callers import CallerKind
from walkcart.bench.routed.scenarios import URGENT_KINDS, draw_shape

#: Small enough for a few seconds a trial.
SMALL = Shape(
    shards=8,
    singles=2,
    instances=4,
    kinds=(
        CallerKind("sweep", 20.0, 0.020, 0.2, 2.0, 0.85, value=2.0),
        CallerKind("single", 5.0, 0.16, 0.6, 6.0, 1.0, late_value=0.3, sharded=False),
    ),
)
SEED = 1


def play(scenario, policy="walkcart", shape=SMALL, seed=SEED):
    return run_trial(SCENARIOS[scenario], POLICIES[policy], seed, shape)


def test_the_same_seed_gives_the_same_run_and_another_one_another():
    first = play("fleet-started")
    assert first == play("fleet-started")
    assert first != play("fleet-started", seed=SEED + 1)


@pytest.mark.parametrize("scenario", ["refusing-third", "lost-answers", "release"])
def test_knowing_the_leafs_earns_more_than_choosing_at_random(scenario):
    known, random = play(scenario), play(scenario, "random")
    assert known.worth > random.worth + 0.02
    assert known.kinds["sweep"].failed <= random.kinds["sweep"].failed


def test_a_shard_without_leafs_costs_its_part_and_not_the_answer():
    result = play("dark-shard")
    assert result.kinds["sweep"].in_time > 0.95
    # Seven of eight parts are in while the shard has no leaf.
    assert 0.85 <= result.kinds["sweep"].coverage < 1


def test_pauses_of_single_leafs_are_hedged_within_little_load():
    result, plain = play("pauses"), play("pauses", "no-repeats")
    assert result.worth >= plain.worth
    assert result.extra_load < 0.1


def test_leafs_that_come_and_go_fail_nobody():
    result = play("release")
    assert result.kinds["sweep"].failed < 0.01
    assert result.kinds["single"].failed == 0


def test_urgent_requests_pass_a_burst_of_long_ones_beside_slow_leafs():
    kinds = tuple(replace(kind, rate=7 * kind.rate) for kind in URGENT_KINDS)
    shape = Shape(shards=4, leafs=3, singles=1, instances=3, kinds=kinds)
    result, plain = (
        play("slow-burst", policy, shape) for policy in ("walkcart", "no-room")
    )
    urgent, long = result.kinds["alert"], result.kinds["sweep"]
    assert urgent.in_time > plain.kinds["alert"].in_time + 0.1
    assert urgent.in_time > long.in_time
    assert long.in_time > plain.kinds["sweep"].in_time - 0.05
    # Who isn't served is told so in time to ask again, and nobody is starved.
    assert max(urgent.failed, long.failed) < 0.01
    assert long.in_time + long.late > (urgent.in_time + urgent.late) / 4


def test_on_a_shape_drawn_at_random_it_is_no_worse_than_chance():
    shape = draw_shape(Random(SEED))
    known = play("fleet-started", shape=shape)
    random = play("fleet-started", "random", shape)
    assert known.worth >= random.worth - 0.02
