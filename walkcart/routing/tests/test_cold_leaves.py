"""Tests of the bound on requests to cold leaves, with plain data."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from walkcart.routing.coldleaves import (
    WINDOW,
    ColdBound,
    ColdShare,
    SendLog,
    find_offered_share,
)


@given(st.lists(st.floats(0.0, 0.4), max_size=80), st.integers(0, 12))
def test_no_sliding_window_holds_more_than_the_share(gaps, max_requests):
    log, now, sent = SendLog(), 0.0, []
    for gap in gaps:
        now += gap
        if log.try_send(now, max_requests):
            sent.append(now)
    for first in sent:
        assert sum(first <= at <= first + WINDOW for at in sent) <= max_requests


@given(st.floats(0.0, 0.9), st.integers(1, 12))
def test_the_returned_wait_is_long_enough(now, max_requests):
    log = SendLog()
    for _ in range(max_requests):
        assert log.try_send(now, max_requests)
    wait = log.wait(now, max_requests)
    assert wait > 0.0
    assert log.try_send(now + wait + 1e-6, max_requests)


@given(st.floats(0.01, 200.0), st.floats(1.0, 3.0), st.floats(0.0, 20.0))
def test_the_shares_add_up_to_the_bound(rate, tolerance, slack):
    max_requests = ColdBound(tolerance, slack).max_requests(rate)
    assert max_requests <= rate * tolerance + slack + 1e-6
    assert (
        sum(ColdShare(index, 3).find_limit(max_requests) for index in range(3))
        == max_requests
    )


def test_without_a_rate_there_is_no_bound():
    assert ColdBound(1.5, 5.0).max_requests(0.0) is None


def test_a_leaf_that_was_cold_is_offered_gradually():
    shares = [find_offered_share(10.0 + 0.1 * n, 10.0, 3.0) for n in range(40)]
    assert shares[0] == 0.0
    assert max(b - a for a, b in pairwise(shares)) < 0.05
    assert shares[-1] == 1.0
