"""The order of what waits, as callers of several ranks see it."""

from random import Random

from walkcart.routing.urgency import AGE_TURN, Urgency, UrgencyQueue


def serve(arrivals, time, until):
    """Serve arrivals one at a time; return the waits by rank.

    Args:
        arrivals: pairs of a time and a rank, in order.
        time: seconds that each takes.
        until: when serving ends.
    """
    queue, waits, now = UrgencyQueue(), {}, 0.0
    arrivals = list(arrivals)
    while now < until:
        while arrivals and arrivals[0][0] <= now:
            at, rank = arrivals.pop(0)
            queue.add((at, rank), Urgency(rank, due=at + 0.1, since=at))
        taken = queue.pop(now)
        if taken is not None:
            waits.setdefault(taken[1], []).append(now - taken[0])
        now += time
    return waits


def test_urgent_requests_pass_long_ones_that_came_before():
    queue = UrgencyQueue()
    for number in range(6):
        queue.add(f"long-{number}", Urgency(1, 0.17, since=0.001 * number))
    queue.add("urgent", Urgency(0, 0.09, since=0.01))
    assert queue.pop(now=0.011) == "urgent"
    assert queue.pop(now=0.011) == "long-0"


def test_within_a_rank_the_least_time_left_goes_first_and_what_is_late_last():
    queue = UrgencyQueue()
    queue.add("late", Urgency(0, due=0.9, since=0.0))
    queue.add("far", Urgency(0, due=3.0, since=0.1))
    queue.add("near", Urgency(0, due=1.5, since=0.2))
    assert [queue.pop(1.0) for _ in range(3)] == ["near", "far", "late"]


def test_what_may_not_go_is_left_where_it_is():
    queue = UrgencyQueue()
    queue.add("a", Urgency(0, 1.0, 0.0))
    queue.add("b", Urgency(1, 1.0, 0.0))
    assert queue.pop(0.0, lambda item: item == "b") == "b"
    assert queue.pop(0.0, lambda item: False) is None
    assert list(queue) == ["a"]


def test_a_flood_of_urgent_requests_starves_nobody():
    # Twice as many urgent ones as can be served, and a few of the lowest rank.
    flood = [(0.005 * n, 0) for n in range(2000)]
    few = [(0.1 * n, 2) for n in range(100)]
    waits = serve(sorted(flood + few), time=0.01, until=10.0)
    served = {rank: len(found) for rank, found in waits.items()}
    share = served[2] / 100
    overall = sum(served.values()) / 2100
    assert share >= overall / 4
    assert served[0] > 900 - 1000 / AGE_TURN


def test_the_less_urgent_never_wait_less_than_the_more_urgent():
    random = Random(3)
    arrivals, now = [], 0.0
    while now < 20.0:
        now += random.expovariate(110.0)
        arrivals.append((now, random.choice((0, 1, 2))))
    waits = serve(arrivals, time=0.01, until=20.0)
    means = {rank: sum(found) / len(found) for rank, found in waits.items()}
    assert means[0] < means[1] < means[2]
