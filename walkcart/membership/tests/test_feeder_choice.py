"""The choice of an instance's feeder, without a network."""

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


def find_candidate_numbers():
    """Return the numbers of the watchers and the spare candidates, by rank."""
    watchers = make_watchers(0)
    names = watchers._rank_candidates()[: WATCHERS_PER_DATA_CENTRE + SPARE_WATCHERS]
    return [int(name[1:]) for name in names]


def find_subscriber_number():
    return next(n for n in range(COUNT) if n not in find_candidate_numbers())


def make_choice(own):
    clock = ManualClock()
    return FeederChoice(make_watchers(own), clock, lambda: True), clock


def make_name(number):
    return f"w{number:02}"


def test_rejected_subscriber_asks_each_candidate_once():
    choice, _ = make_choice(find_subscriber_number())
    choice.switch_to_next()
    asked = [choice.feeder]
    while choice.switch_to_other():
        asked.append(choice.feeder)
    candidates = [make_name(number) for number in find_candidate_numbers()]
    assert sorted(asked) == sorted(candidates)
    assert set(asked[:WATCHERS_PER_DATA_CENTRE]) == set(
        candidates[:WATCHERS_PER_DATA_CENTRE]
    )
    # In the end it waits for a watcher, not for a spare candidate.
    assert choice.feeder in candidates[:WATCHERS_PER_DATA_CENTRE]


def test_silent_candidate_is_asked_again_later():
    choice, clock = make_choice(find_subscriber_number())
    choice.switch_to_next()
    while choice.switch_to_other():
        pass
    assert choice.find_responsive() is None
    clock.time += SUSPECT.total_seconds() + 0.01
    assert choice.is_grace_over()
    assert choice.find_responsive() is not None


def test_spare_candidates_ask_only_those_ranked_before_them():
    candidates = find_candidate_numbers()
    for place in range(
        WATCHERS_PER_DATA_CENTRE, WATCHERS_PER_DATA_CENTRE + SPARE_WATCHERS
    ):
        choice, _ = make_choice(candidates[place])
        choice.switch_to_next()
        asked = {choice.feeder}
        while choice.switch_to_other():
            asked.add(choice.feeder)
        assert asked == {make_name(number) for number in candidates[:place]}


def test_rejected_watcher_asks_all_other_candidates():
    candidates = find_candidate_numbers()
    choice, _ = make_choice(candidates[0])
    choice.switch_to_next()
    asked = {choice.feeder}
    while choice.switch_to_other():
        asked.add(choice.feeder)
    assert asked == {make_name(number) for number in candidates[1:]}


#: Number of the first instance of each further data centre.
FIRST_FAR_NUMBERS = (COUNT, 2 * COUNT)


def make_far_choice(own, is_served):
    """Return a choice in a fleet of three data centres of `COUNT` instances each."""
    near = make_watchers(own)._registration
    others = near.others()
    for number, data_centre in enumerate(("south-a", "south-b")):
        others += [
            InstanceRecord(
                make_name(FIRST_FAR_NUMBERS[number] + n),
                "now",
                data_centre,
                "south",
                "a:1",
            )
            for n in range(COUNT)
        ]
    near.others = lambda: others
    clock = ManualClock()
    return FeederChoice(Watchers(near), clock, lambda: is_served), clock


def list_asked(choice):
    """Return the feeders that are asked in turn while each one rejects the request."""
    choice.switch_to_next()
    asked = [choice.feeder]
    while choice.switch_to_other():
        asked.append(choice.feeder)
    return asked


def test_instance_without_store_asks_far_watchers_after_all_near_ones():
    choice, _ = make_far_choice(find_subscriber_number(), is_served=False)
    asked = list_asked(choice)
    near = {make_name(number) for number in find_candidate_numbers()}
    assert set(asked[: len(near)]) == near
    assert len(asked) == len(near) + WATCHERS_PER_DATA_CENTRE * len(FIRST_FAR_NUMBERS)


def test_instance_with_store_asks_only_near_candidates():
    choice, _ = make_far_choice(find_subscriber_number(), is_served=True)
    near = {make_name(number) for number in find_candidate_numbers()}
    assert set(list_asked(choice)) == near


def test_far_feeder_is_replaced_by_a_near_one_later():
    choice, clock = make_far_choice(find_subscriber_number(), is_served=False)
    choice.switch_to_next()
    near = {make_name(number) for number in find_candidate_numbers()}
    while choice.feeder in near:
        assert choice.switch_to_other()
    assert not choice.is_far_too_long()
    clock.time += max(MAX_FAR_TIME, SILENT_TTL) + 0.01
    assert choice.is_far_too_long()
    choice.switch_to_next()
    assert choice.feeder in near
