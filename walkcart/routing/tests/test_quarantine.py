"""Tests of which requests are quarantined, and which never are."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.routing.quarantine import (
    FIRST_REFUSAL_TIME,
    MAX_ENTRIES,
    MEMORY_TIME,
    ONE_CRASH_TIME,
    REFUSAL_TIME,
    Quarantine,
    QuarantineLevel,
    StrikeRecord,
    make_strike,
)

REQUEST = b"request"


def strike(quarantine, *numbers, now=0.0, request=REQUEST):
    for number in numbers:
        quarantine.record_strike(request, number, now)


def test_strikes_lead_to_one_leaf_first_and_then_to_refusal():
    quarantine = Quarantine()
    levels = []
    for number in range(4):
        levels.append(quarantine.find_level(REQUEST, 0.0))
        strike(quarantine, number)
    assert levels == [
        QuarantineLevel.USUAL,
        QuarantineLevel.USUAL,
        QuarantineLevel.CAREFUL,
        QuarantineLevel.REFUSED,
    ]


def test_an_answer_voids_earlier_strikes_permanently():
    quarantine = Quarantine()
    strike(quarantine, 1, 2, 3)
    assert quarantine.record_answer(REQUEST, 1.0)
    # News of the old strikes may still arrive through other instances.
    assert not quarantine.merge(REQUEST, StrikeRecord(frozenset((1, 2, 3)), 0.0), 2.0)
    assert quarantine.find_level(REQUEST, 2.0) is QuarantineLevel.USUAL
    strike(quarantine, 4, 5, 6, now=3.0)
    assert quarantine.find_level(REQUEST, 3.0) is QuarantineLevel.REFUSED


def test_a_refused_request_goes_to_one_leaf_after_a_while_and_is_later_forgotten():
    quarantine = Quarantine()
    strike(quarantine, 1, 2, 3)
    assert quarantine.find_level(REQUEST, REFUSAL_TIME - 1) is QuarantineLevel.REFUSED
    assert quarantine.find_level(REQUEST, REFUSAL_TIME + 1) is QuarantineLevel.CAREFUL
    strike(quarantine, 4, now=REFUSAL_TIME + 1)
    later = REFUSAL_TIME + 2
    assert quarantine.find_level(REQUEST, later) is QuarantineLevel.REFUSED
    assert quarantine.find_level(REQUEST, later + MEMORY_TIME) is QuarantineLevel.USUAL
    assert quarantine.entries(later + MEMORY_TIME) == ()


def test_a_flood_of_requests_evicts_no_refused_request():
    quarantine = Quarantine()
    strike(quarantine, 1, 2, 3)
    for number in range(10 * MAX_ENTRIES):
        strike(quarantine, number, now=1.0, request=b"%d" % number)
    assert len(quarantine) == MAX_ENTRIES
    assert quarantine.find_level(REQUEST, 2.0) is QuarantineLevel.REFUSED


def test_a_request_with_more_strikes_gets_an_entry_in_a_flood():
    quarantine = Quarantine()
    for number in range(10 * MAX_ENTRIES):
        strike(quarantine, number, now=float(number), request=b"%d" % number)
    strike(quarantine, 1, 2, 3, now=10.0 * MAX_ENTRIES)
    now = 10.0 * MAX_ENTRIES
    assert quarantine.find_level(REQUEST, now) is QuarantineLevel.REFUSED


news = st.lists(
    st.builds(
        StrikeRecord,
        st.frozensets(st.integers(1, 5), max_size=3),
        st.integers(0, 9).map(float),
        st.sampled_from([float("-inf"), 2.5, 5.5]),
    ),
    max_size=8,
)


@given(news, st.randoms(use_true_random=False))
def test_news_may_arrive_in_any_order_and_more_than_once(told, random):
    shuffled = [*told, *told]
    random.shuffle(shuffled)
    one, other = Quarantine(), Quarantine()
    for item in told:
        one.merge(REQUEST, item, 10.0)
    for item in shuffled:
        other.merge(REQUEST, item, 10.0)
    for item in told:
        one.merge(REQUEST, item, 10.0)
    first, second = one.find(REQUEST), other.find(REQUEST)
    if first is None or second is None:
        assert first == second
    else:
        assert first.answered_at == second.answered_at
        assert first.struck_at == second.struck_at


def test_an_instance_that_was_cut_off_merges_strikes_by_union():
    one, other = Quarantine(), Quarantine()
    strike(one, 1, 2)
    strike(other, 3)
    for fingerprint, item in one.entries(1.0):
        other.merge(fingerprint, item, 1.0)
    assert other.find_level(REQUEST, 1.0) is QuarantineLevel.REFUSED


def test_strikes_of_one_moment_are_tried_soon_and_refused_for_long_if_one_follows():
    """Leaves that crashed for one reason of their own are back within seconds."""
    quarantine = Quarantine(trial_delay=2.0)
    for number in range(3):
        quarantine.record_strike(REQUEST, number, number * 0.1, began_at=number * 0.1)
    trial_at = 0.2 + FIRST_REFUSAL_TIME + 2.0
    assert quarantine.find_level(REQUEST, trial_at - 0.1) is QuarantineLevel.REFUSED
    assert quarantine.find_level(REQUEST, trial_at) is QuarantineLevel.CAREFUL
    quarantine.record_strike(REQUEST, 4, trial_at, began_at=trial_at)
    late = trial_at + REFUSAL_TIME - 1
    assert quarantine.find_level(REQUEST, late) is QuarantineLevel.REFUSED


def test_strikes_of_several_moments_are_refused_for_long_at_once():
    quarantine = Quarantine()
    for number in range(3):
        at = number * ONE_CRASH_TIME
        quarantine.record_strike(REQUEST, number, at, began_at=at)
    late = 2 * ONE_CRASH_TIME + REFUSAL_TIME - 1
    assert quarantine.find_level(REQUEST, late) is QuarantineLevel.REFUSED


def test_requests_sent_with_the_same_knowledge_give_one_strike():
    """Equal requests of two instances that crashing leaves had at one moment."""
    first = make_strike(REQUEST, frozenset())
    after = make_strike(REQUEST, frozenset((first,)))
    quarantine = Quarantine()
    strike(quarantine, first, first, first)
    assert quarantine.find_strikes(REQUEST) == {first}
    strike(quarantine, after)
    assert quarantine.find_strikes(REQUEST) == {first, after}
    assert make_strike(REQUEST, frozenset(), "leaf") != first
