"""Routing decisions, tested by the results of callers in trials with fixed seeds."""

from dataclasses import replace
from random import Random

import pytest

from walkcart.bench.routed import POLICIES, SCENARIOS, Shape, run_trial
from walkcart.bench.routed.callers import CallerKind
from walkcart.bench.routed.scenarios import URGENT_KINDS, draw_random_shape

#: A deployment so small that a trial takes a few seconds.
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


def run_scenario(scenario, policy="walkcart", shape=SMALL, seed=SEED):
    return run_trial(SCENARIOS[scenario], POLICIES[policy], seed, shape)


def test_runs_differ_only_by_seed():
    first = run_scenario("fleet-started")
    assert first == run_scenario("fleet-started")
    assert first != run_scenario("fleet-started", seed=SEED + 1)


@pytest.mark.parametrize("scenario", ["refusing-third", "lost-answers", "release"])
def test_policy_earns_more_than_random_choice(scenario):
    known, random = run_scenario(scenario), run_scenario(scenario, "random")
    assert known.worth > random.worth + 0.02
    assert known.kinds["sweep"].failed <= random.kinds["sweep"].failed


def test_unresponsive_shard_costs_only_its_part():
    result = run_scenario("dark-shard")
    assert result.kinds["sweep"].in_time > 0.95
    # Seven of eight parts arrive while no leaf of the shard replies.
    assert 0.85 <= result.kinds["sweep"].coverage < 1


def test_hedging_of_pauses_adds_little_load():
    result, plain = run_scenario("pauses"), run_scenario("pauses", "no-repeats")
    assert result.worth >= plain.worth
    assert result.extra_load < 0.1


def test_replacing_leaves_fails_no_requests():
    result = run_scenario("release")
    assert result.kinds["sweep"].failed < 0.01
    assert result.kinds["single"].failed == 0


def test_urgent_requests_overtake_burst_of_long_ones():
    kinds = tuple(replace(kind, rate=7 * kind.rate) for kind in URGENT_KINDS)
    shape = Shape(shards=4, leafs=3, singles=1, instances=3, kinds=kinds)
    result, plain = (
        run_scenario("slow-burst", policy, shape) for policy in ("walkcart", "no-room")
    )
    urgent, long = result.kinds["alert"], result.kinds["sweep"]
    assert urgent.in_time > plain.kinds["alert"].in_time + 0.1
    assert urgent.in_time > long.in_time
    assert long.in_time > plain.kinds["sweep"].in_time - 0.05
    # Requests that aren't served are refused in time for a retry; none starve.
    assert max(urgent.failed, long.failed) < 0.01
    assert long.in_time + long.late > (urgent.in_time + urgent.late) / 4


def test_policy_is_no_worse_than_random_choice_on_random_shape():
    shape = draw_random_shape(Random(SEED))
    known = run_scenario("fleet-started", shape=shape)
    random = run_scenario("fleet-started", "random", shape)
    assert known.worth >= random.worth - 0.02
