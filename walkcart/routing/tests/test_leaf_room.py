"""What a leaf is sent at once: slow leafs, and urgent requests beside long ones."""

from walkcart.routing.leaflimiter import EXPECTED_TIME, LeafLimiter, SlotRequest

LONG = SlotRequest(rank=1, left=0.17, time=0.0165)
URGENT = SlotRequest(rank=0, left=0.088, time=0.0057)


def slow(demand, factor):
    return SlotRequest(demand.rank, demand.left, demand.time * factor)


def make_room():
    room = LeafLimiter(slots=2)
    room.record_urgent(0, 0.088, now=0.0)
    room.record_urgent(1, 0.17, now=0.0)
    return room


def count_sent(room, demand, now=0.0, others=0.0):
    """Return how many requests are sent before one has to wait."""
    sent = 0
    while sent < 50 and room.allows(demand, sent, others, now):
        sent += 1
    return sent


def test_a_leaf_at_its_usual_pace_may_queue_what_comes_in_time():
    # The last one waits 9 * 16.5 ms = 148.5 ms and takes as long as the others.
    assert count_sent(make_room(), LONG) == 20


def test_a_slow_leaf_gets_one_long_request_and_keeps_a_slot_for_urgent_ones():
    room = make_room()
    assert count_sent(room, slow(LONG, 11)) == 1
    assert room.allows(slow(URGENT, 11), sent=1, others=0.0, now=0.0)


def test_the_reserve_ends_when_no_urgent_kind_comes():
    room = make_room()
    later = EXPECTED_TIME + 0.1
    assert count_sent(room, slow(LONG, 11), now=later) == 2


def test_the_load_of_other_instances_counts():
    room = make_room()
    assert count_sent(room, LONG, others=20.0) == 1
    assert count_sent(room, LONG, others=12.0) == 8


def test_one_request_may_always_go_so_that_its_reply_tells_of_room():
    assert make_room().allows(slow(LONG, 100), sent=0, others=50.0, now=0.0)


def test_requests_without_an_objective_are_held_by_no_limit():
    plain = SlotRequest(rank=0, left=float("inf"), time=1.0)
    assert count_sent(LeafLimiter(slots=2), plain) == 50


def test_a_less_urgent_request_never_has_more_room_than_an_urgent_one():
    room = make_room()
    for factor in (1, 2, 5, 8, 11):
        for others in (0.0, 1.0, 4.0, 9.0):
            for sent in range(14):
                alike = SlotRequest(0, LONG.left, LONG.time * factor)
                less = room.allows(slow(LONG, factor), sent, others, 0.0)
                assert not less or room.allows(alike, sent, others, 0.0)
