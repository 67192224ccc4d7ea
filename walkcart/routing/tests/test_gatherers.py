"""Which instances gather, and how many."""

from random import Random

from walkcart.routing.gatherers import (
    AVERAGING_TIME,
    LEAST_GATHERERS,
    PartRate,
    choose_gatherers,
    find_needed_capacity,
    rank_by_capacity,
)
from walkcart.routing.peerchoice import (
    LONGEST_PATIENCE,
    MOST_PATIENCE,
    PeerStats,
)


def make_fleet(count):
    return {f"instance-{n}": 2.15 if n < 2 else 0.516 for n in range(count)}


def test_a_small_data_centre_gathers_with_all():
    fleet = make_fleet(3)
    ranked = rank_by_capacity("north", fleet)
    assert sorted(choose_gatherers(ranked, fleet, 0.0)) == sorted(fleet)


def test_the_largest_machines_gather_first():
    fleet = make_fleet(30)
    assert set(rank_by_capacity("north", fleet)[:2]) == {"instance-0", "instance-1"}


def test_the_number_follows_the_load_and_not_the_fleet():
    counts = []
    for instances in (60, 195, 620):
        fleet = make_fleet(instances // 6)
        ranked = rank_by_capacity("north", fleet)
        # 2,400 parts a second of the whole fleet.
        needed = find_needed_capacity(2400 / instances, instances, 2)
        counts.append(len(choose_gatherers(ranked, fleet, needed)))
    assert counts[0] == counts[1] == counts[2] < 10


def test_instances_with_a_few_questions_each_choose_nearly_the_same():
    """Each of 195 has 0.12 questions a second over 87 parts, at random."""
    fleet = make_fleet(32)
    ranked = rank_by_capacity("north", fleet)
    random = Random(3)
    sizes = []
    for _ in range(40):
        rate, now = PartRate(), 0.0
        while (now := now + random.expovariate(0.12)) < 4 * AVERAGING_TIME:
            rate.record(now, 87)
        needed = find_needed_capacity(rate.estimate(now), 195, 2)
        sizes.append(len(choose_gatherers(ranked, fleet, needed)))
    assert min(sizes) >= LEAST_GATHERERS
    assert max(sizes) <= 4 * LEAST_GATHERERS


def test_a_rate_that_wavers_moves_nobody():
    rate = PartRate()
    seen = set()
    for second in range(600):
        rate.record(float(second), 60 if second % 20 < 10 else 30)
        if second > 100:
            seen.add(rate.estimate(float(second)))
    assert len(seen) <= 2
    assert rate.estimate(600.0 + 10 * AVERAGING_TIME) < min(seen)


def test_an_instance_that_greets_is_asked_again_at_once():
    accounts = PeerStats()
    for second in range(6):
        accounts.record_timeout("a", float(second))
    assert accounts.choose(["a"], 6.0, {"a": 0.0}) is None
    accounts.record_greeting("a")
    assert accounts.choose(["a"], 6.0, {"a": 0.0}) == "a"


def test_patience_follows_the_peer_and_the_time_that_a_question_has():
    accounts = PeerStats()
    unknown = accounts.acceptance_timeout("a", 2.0)
    accounts.record_accepted("a", 1.0, 0.01)
    near = accounts.acceptance_timeout("a", 2.0)
    for second in range(10):
        accounts.record_timeout("a", float(second))
    assert near < unknown <= MOST_PATIENCE
    assert near < accounts.acceptance_timeout("a", 2.0) <= MOST_PATIENCE
    assert accounts.acceptance_timeout("a", 0.1) == LONGEST_PATIENCE
