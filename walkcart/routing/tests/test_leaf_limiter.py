"""Tests of the limit per leaf: slow leaves, and urgent requests beside long ones."""

from walkcart.routing.leaflimiter import EXPECTED_TIME, LeafLimiter, SlotRequest

LONG = SlotRequest(rank=1, left=0.17, time=0.0165)
URGENT = SlotRequest(rank=0, left=0.088, time=0.0057)


def slow_down(request, factor):
    return SlotRequest(request.rank, request.left, request.time * factor)


def make_limiter():
    room = LeafLimiter(slots=2)
    room.record_urgent(0, 0.088, now=0.0)
    room.record_urgent(1, 0.17, now=0.0)
    return room


def count_sent(room, request, now=0.0, others=0.0):
    """Return how many requests are sent before one has to wait, at most 50."""
    sent = 0
    while sent < 50 and room.allows(request, sent, others, now):
        sent += 1
    return sent


def test_a_leaf_at_its_usual_speed_may_queue_requests_that_come_in_time():
    # The last one waits 9 * 16.5 ms = 148.5 ms and then takes 16.5 ms itself.
    assert count_sent(make_limiter(), LONG) == 20


def test_a_slow_leaf_gets_one_long_request_and_keeps_a_slot_for_urgent_ones():
    room = make_limiter()
    assert count_sent(room, slow_down(LONG, 11)) == 1
    assert room.allows(slow_down(URGENT, 11), sent=1, others=0.0, now=0.0)


def test_the_reserve_ends_without_urgent_requests():
    room = make_limiter()
    later = EXPECTED_TIME + 0.1
    assert count_sent(room, slow_down(LONG, 11), now=later) == 2


def test_the_load_of_other_instances_counts():
    room = make_limiter()
    assert count_sent(room, LONG, others=20.0) == 1
    assert count_sent(room, LONG, others=12.0) == 8


def test_one_request_may_always_go_so_that_its_reply_shows_capacity():
    assert make_limiter().allows(slow_down(LONG, 100), sent=0, others=50.0, now=0.0)


def test_requests_without_an_objective_are_not_limited():
    plain = SlotRequest(rank=0, left=float("inf"), time=1.0)
    assert count_sent(LeafLimiter(slots=2), plain) == 50


def test_a_less_urgent_request_is_never_preferred_to_an_urgent_one():
    room = make_limiter()
    for factor in (1, 2, 5, 8, 11):
        for others in (0.0, 1.0, 4.0, 9.0):
            for sent in range(14):
                urgent = SlotRequest(0, LONG.left, LONG.time * factor)
                allowed = room.allows(slow_down(LONG, factor), sent, others, 0.0)
                assert not allowed or room.allows(urgent, sent, others, 0.0)
