"""Whom an instance asks to feed it, without a network."""

from types import SimpleNamespace

from walkcart.bench.harness import ManualClock
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.watchers import (
    MAX_FAR_TIME,
    SILENT_TTL,
    SPARE_WATCHERS,
    SUSPECT,
    WATCHERS_PER_DATA_CENTRE,
    FeederChoice,
    Watchers,
)

COUNT = 20


def make_record(number):
    return InstanceRecord(f"w{number:02}", "now", "north-a", "north", "10.0.0.1:7000")


def make_watchers(own):
    registration = SimpleNamespace(
        own=make_record(own),
        others=lambda: [make_record(n) for n in range(COUNT) if n != own],
        on_change=lambda listener: None,
    )
    return Watchers(registration)


def find_candidates():
    """Return the numbers of those that watch and of the spare ones, in their order."""
    watchers = make_watchers(0)
    names = watchers._rank_candidates()[: WATCHERS_PER_DATA_CENTRE + SPARE_WATCHERS]
    return [int(name[1:]) for name in names]


def find_subscriber():
    return next(n for n in range(COUNT) if n not in find_candidates())


def make_choice(own):
    clock = ManualClock()
    return FeederChoice(make_watchers(own), clock, lambda: True), clock


def name_of(number):
    return f"w{number:02}"


def test_a_subscriber_that_is_sent_away_asks_each_candidate_once():
    choice, _ = make_choice(find_subscriber())
    choice.switch_to_next()
    asked = [choice.feeder]
    while choice.switch_to_other():
        asked.append(choice.feeder)
    candidates = [name_of(number) for number in find_candidates()]
    assert sorted(asked) == sorted(candidates)
    assert set(asked[:WATCHERS_PER_DATA_CENTRE]) == set(
        candidates[:WATCHERS_PER_DATA_CENTRE]
    )
    # It waits with those that watch, not with a spare one.
    assert choice.feeder in candidates[:WATCHERS_PER_DATA_CENTRE]


def test_one_that_was_silent_is_asked_again_after_a_while():
    choice, clock = make_choice(find_subscriber())
    choice.switch_to_next()
    while choice.switch_to_other():
        pass
    assert choice.find_responsive() is None
    clock.time += SUSPECT.total_seconds() + 0.01
    assert choice.is_grace_over()
    assert choice.find_responsive() is not None


def test_spare_ones_ask_only_those_before_them():
    candidates = find_candidates()
    for place in range(
        WATCHERS_PER_DATA_CENTRE, WATCHERS_PER_DATA_CENTRE + SPARE_WATCHERS
    ):
        choice, _ = make_choice(candidates[place])
        choice.switch_to_next()
        asked = {choice.feeder}
        while choice.switch_to_other():
            asked.add(choice.feeder)
        assert asked == {name_of(number) for number in candidates[:place]}


def test_a_watcher_that_is_sent_away_asks_all_others():
    candidates = find_candidates()
    choice, _ = make_choice(candidates[0])
    choice.switch_to_next()
    asked = {choice.feeder}
    while choice.switch_to_other():
        asked.add(choice.feeder)
    assert asked == {name_of(number) for number in candidates[1:]}


#: Number of the first instance of each further data centre.
FAR = (COUNT, 2 * COUNT)


def make_far_choice(own, is_served):
    """Return a choice among three data centres of as many instances."""
    near = make_watchers(own)._registration
    others = near.others()
    for number, data_centre in enumerate(("south-a", "south-b")):
        others += [
            InstanceRecord(name_of(FAR[number] + n), "now", data_centre, "south", "a:1")
            for n in range(COUNT)
        ]
    near.others = lambda: others
    clock = ManualClock()
    return FeederChoice(Watchers(near), clock, lambda: is_served), clock


def ask_all(choice):
    """Return who is asked in turn while each one sends the asker away."""
    choice.switch_to_next()
    asked = [choice.feeder]
    while choice.switch_to_other():
        asked.append(choice.feeder)
    return asked


def test_an_instance_that_the_store_turns_away_asks_elsewhere_after_all_near():
    choice, _ = make_far_choice(find_subscriber(), is_served=False)
    asked = ask_all(choice)
    near = {name_of(number) for number in find_candidates()}
    assert set(asked[: len(near)]) == near
    assert len(asked) == len(near) + WATCHERS_PER_DATA_CENTRE * len(FAR)


def test_an_instance_that_the_store_serves_asks_only_near():
    choice, _ = make_far_choice(find_subscriber(), is_served=True)
    near = {name_of(number) for number in find_candidates()}
    assert set(ask_all(choice)) == near


def test_a_far_feeder_is_left_for_a_near_one_after_a_while():
    choice, clock = make_far_choice(find_subscriber(), is_served=False)
    choice.switch_to_next()
    near = {name_of(number) for number in find_candidates()}
    while choice.feeder in near:
        assert choice.switch_to_other()
    assert not choice.is_far_too_long()
    clock.time += max(MAX_FAR_TIME, SILENT_TTL) + 0.01
    assert choice.is_far_too_long()
    choice.switch_to_next()
    assert choice.feeder in near
