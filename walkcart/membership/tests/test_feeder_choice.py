"""Whom an instance asks to feed it, without a network."""

from types import SimpleNamespace

from walkcart.bench.harness import ManualClock
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.watchers import (
    SPARE_WATCHERS,
    SUSPECT,
    WATCHERS,
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
    names = watchers._ranked()[: WATCHERS + SPARE_WATCHERS]
    return [int(name[1:]) for name in names]


def find_subscriber():
    return next(n for n in range(COUNT) if n not in find_candidates())


def make_choice(own):
    clock = ManualClock()
    return FeederChoice(make_watchers(own), clock), clock


def name_of(number):
    return f"w{number:02}"


def test_a_subscriber_that_is_sent_away_asks_each_candidate_once():
    choice, _ = make_choice(find_subscriber())
    choice.turn_to_next()
    asked = [choice.feeder]
    while choice.turn_to_other():
        asked.append(choice.feeder)
    candidates = [name_of(number) for number in find_candidates()]
    assert sorted(asked) == sorted(candidates)
    assert set(asked[:WATCHERS]) == set(candidates[:WATCHERS])
    # It waits with those that watch, not with a spare one.
    assert choice.feeder in candidates[:WATCHERS]


def test_one_that_was_silent_is_asked_again_after_a_while():
    choice, clock = make_choice(find_subscriber())
    choice.turn_to_next()
    while choice.turn_to_other():
        pass
    assert choice.find_other() is None
    clock.time += SUSPECT.total_seconds() + 0.01
    assert choice.is_due()
    assert choice.find_other() is not None


def test_spare_ones_ask_only_those_before_them():
    candidates = find_candidates()
    for place in range(WATCHERS, WATCHERS + SPARE_WATCHERS):
        choice, _ = make_choice(candidates[place])
        choice.turn_to_next()
        asked = {choice.feeder}
        while choice.turn_to_other():
            asked.add(choice.feeder)
        assert asked == {name_of(number) for number in candidates[:place]}


def test_a_watcher_that_is_sent_away_asks_all_others():
    candidates = find_candidates()
    choice, _ = make_choice(candidates[0])
    choice.turn_to_next()
    asked = {choice.feeder}
    while choice.turn_to_other():
        asked.add(choice.feeder)
    assert asked == {name_of(number) for number in candidates[1:]}
