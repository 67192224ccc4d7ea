"""What cold leafs may get, over plain data."""

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
def test_no_window_holds_more_than_the_share_wherever_it_begins(gaps, most):
    log, now, sent = SendLog(), 0.0, []
    for gap in gaps:
        now += gap
        if log.try_send(now, most):
            sent.append(now)
    for first in sent:
        assert sum(first <= at <= first + WINDOW for at in sent) <= most


@given(st.floats(0.0, 0.9), st.integers(1, 12))
def test_a_wait_that_is_told_is_enough(now, most):
    log = SendLog()
    for _ in range(most):
        assert log.try_send(now, most)
    wait = log.wait(now, most)
    assert wait > 0.0
    assert log.try_send(now + wait + 1e-6, most)


@given(st.floats(0.01, 200.0), st.floats(1.0, 3.0), st.floats(0.0, 20.0))
def test_the_shares_make_up_the_bound_and_never_more(rate, tolerance, slack):
    most = ColdBound(tolerance, slack).max_requests(rate)
    assert most <= rate * tolerance + slack + 1e-6
    assert sum(ColdShare(index, 3).find_limit(most) for index in range(3)) == most


def test_without_a_rate_there_is_no_bound():
    assert ColdBound(1.5, 5.0).max_requests(0.0) is None


def test_a_leaf_that_was_cold_is_turned_to_without_a_jump():
    shares = [find_offered_share(10.0 + 0.1 * n, 10.0, 3.0) for n in range(40)]
    assert shares[0] == 0.0
    assert max(b - a for a, b in pairwise(shares)) < 0.05
    assert shares[-1] == 1.0
