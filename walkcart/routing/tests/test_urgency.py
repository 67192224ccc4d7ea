"""Tests of the order of waiting requests of several ranks."""

from random import Random

from walkcart.routing.urgency import OLDEST_FIRST_INTERVAL, Urgency, UrgencyQueue


def serve(arrivals, time, until):
    """Serve arrivals one at a time; return the waits by rank, in seconds.

    Args:
        arrivals: pairs of an arrival time and a rank, in order of time.
        time: service time of each request, in seconds.
        until: when the simulation ends, in seconds.
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


def test_urgent_requests_overtake_long_ones_that_came_before():
    queue = UrgencyQueue()
    for number in range(6):
        queue.add(f"long-{number}", Urgency(1, 0.17, since=0.001 * number))
    queue.add("urgent", Urgency(0, 0.09, since=0.01))
    assert queue.pop(now=0.011) == "urgent"
    assert queue.pop(now=0.011) == "long-0"


def test_within_a_rank_the_earliest_objective_goes_first_and_missed_ones_last():
    queue = UrgencyQueue()
    queue.add("late", Urgency(0, due=0.9, since=0.0))
    queue.add("far", Urgency(0, due=3.0, since=0.1))
    queue.add("near", Urgency(0, due=1.5, since=0.2))
    assert [queue.pop(1.0) for _ in range(3)] == ["near", "far", "late"]


def test_a_request_that_may_not_go_stays_in_the_queue():
    queue = UrgencyQueue()
    queue.add("a", Urgency(0, 1.0, 0.0))
    queue.add("b", Urgency(1, 1.0, 0.0))
    assert queue.pop(0.0, lambda item: item == "b") == "b"
    assert queue.pop(0.0, lambda item: False) is None
    assert list(queue) == ["a"]


def test_a_flood_of_urgent_requests_starves_nobody():
    # Twice as many urgent requests as can be served, and a few of the lowest urgency.
    flood = [(0.005 * n, 0) for n in range(2000)]
    least_urgent = [(0.1 * n, 2) for n in range(100)]
    waits = serve(sorted(flood + least_urgent), time=0.01, until=10.0)
    served = {rank: len(times) for rank, times in waits.items()}
    share = served[2] / 100
    overall = sum(served.values()) / 2100
    assert share >= overall / 4
    assert served[0] > 900 - 1000 / OLDEST_FIRST_INTERVAL


def test_the_less_urgent_never_wait_less_than_the_more_urgent():
    random = Random(3)
    arrivals, now = [], 0.0
    while now < 20.0:
        now += random.expovariate(110.0)
        arrivals.append((now, random.choice((0, 1, 2))))
    waits = serve(arrivals, time=0.01, until=20.0)
    means = {rank: sum(times) / len(times) for rank, times in waits.items()}
    assert means[0] < means[1] < means[2]
