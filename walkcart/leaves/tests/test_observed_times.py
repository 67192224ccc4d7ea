"""The times that are kept for kinds of requests, which peers name as well."""

import tracemalloc

from walkcart.leaves.observedtimes import (
    INITIAL_TIMES,
    MAX_OBSERVED_KINDS,
    ObservedTimes,
)
from walkcart.routing.distance import Distance

NEAR = Distance.SAME_DATA_CENTRE


def test_kinds_without_end_take_bounded_memory():
    times = ObservedTimes()
    tracemalloc.start()
    for number in range(3 * MAX_OBSERVED_KINDS):
        times.find(f"kind-{number}" + "x" * 10_000, NEAR).observe(0.2)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(times) == MAX_OBSERVED_KINDS
    assert peak < 4_000_000


def test_kind_in_use_keeps_its_times_while_others_come():
    times = ObservedTimes()
    times.find("usual", NEAR).observe(0.7)
    for number in range(3 * MAX_OBSERVED_KINDS):
        times.find(f"kind-{number}", NEAR)
        assert times.find("usual", NEAR).median(number) == 0.7
    assert times.find("kind-0", NEAR).median(0.0) == INITIAL_TIMES[NEAR]
