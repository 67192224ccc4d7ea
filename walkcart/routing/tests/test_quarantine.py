"""Tests of which requests are quarantined, and which never are."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.routing.quarantine import (
    MAX_ENTRIES,
    MEMORY_TIME,
    REFUSAL_TIME,
    Quarantine,
    QuarantineLevel,
    StrikeRecord,
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
