"""Tests of the budget of repeats over any window, for all instances together."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.routing.repeats import RepeatBudget, RepeatLimits

LIMITS = RepeatLimits(ratio=0.2, window=10.0, allowance=54.0)

EVENTS = st.lists(
    st.tuples(
        st.floats(0, 0.5),
        st.integers(0, 2),
        st.sampled_from(["request", "repeat", "repeat", "restart"]),
    ),
    max_size=400,
)


@given(EVENTS)
def test_no_window_gets_more_repeats_than_allowed(events):
    now = 100.0
    budgets = [RepeatBudget(LIMITS, now - 50) for _ in range(3)]
    requests, repeats = [], []
    restarted = set()
    for gap, number, action in events:
        now += gap
        if action == "request":
            budgets[number].record_request("s", now)
            requests.append(now)
        elif action == "restart" and number not in restarted:
            # Once each: the reserve covers what was spent before one restart.
            restarted.add(number)
            budgets[number] = RepeatBudget(LIMITS, now)
        elif budgets[number].try_spend("s", now, 3):
            repeats.append(now)
    for end in repeats:
        start = end - LIMITS.window
        spent = sum(1 for at in repeats if start < at <= end)
        asked = sum(1 for at in requests if start <= at <= end)
        # The budget's window may be up to one part longer than this one.
        before = sum(1 for at in requests if start - 1 <= at < start)
        assert spent <= LIMITS.allowance + LIMITS.ratio * (asked + before) + 1e-9


#: Number of instances with which each has a small part of the allowance.
MANY = 18


def test_a_service_without_requests_gets_its_part_of_the_allowance():
    budget = RepeatBudget(LIMITS, 0.0)
    taken = sum(budget.try_spend("s", 50.0, 6) for _ in range(100))
    assert taken == int(54 / 6 * 0.8)


LOANS = st.lists(
    st.tuples(
        st.floats(0, 0.5),
        st.integers(0, 2),
        st.sampled_from(["request", "repeat", "lend", "lend", "spend", "return"]),
    ),
    max_size=400,
)


@given(LOANS)
def test_loans_keep_every_window_within_the_limits(events):
    """A borrower may send the repeat at any time until the loan is settled."""
    now = 100.0
    budgets = [RepeatBudget(LIMITS, now - 50) for _ in range(3)]
    requests, repeats = [], []
    loans = [[], [], []]
    for gap, number, action in events:
        now += gap
        budget = budgets[number]
        if action == "request":
            budget.record_request("s", now)
            requests.append(now)
        elif action == "repeat" and budget.try_spend("s", now, 3):
            repeats.append(now)
        elif action == "lend" and budget.lend("s", now, 3):
            loans[number].append(now)
        elif action in ("spend", "return") and loans[number]:
            lent_at = loans[number].pop(0)
            budget.settle("s", now, spent=action == "spend")
            if action == "spend":
                # Covers the earliest and the latest time at which it may be sent.
                repeats.append(lent_at if number else now)
    for start in repeats:
        spent = sum(1 for at in repeats if start <= at < start + LIMITS.window)
        asked = sum(1 for at in requests if start - 1 <= at < start + LIMITS.window)
        assert spent <= LIMITS.allowance + LIMITS.ratio * asked + 1e-9


def test_a_loan_counts_until_it_is_settled_and_for_a_window_if_it_was_spent():
    budget = RepeatBudget(LIMITS, 0.0)
    part = int(54 / MANY * 0.8)
    assert sum(budget.lend("s", 50.0, MANY) for _ in range(100)) == part
    assert not budget.try_spend("s", 90.0, MANY)
    budget.settle("s", 90.0, spent=True)
    budget.settle("s", 90.0, spent=False)
    assert budget.try_spend("s", 90.0, MANY)
    assert not budget.try_spend("s", 99.9, MANY)
    # The spent loan and the taken repeat have left the window.
    assert [budget.try_spend("s", 101.0, MANY) for _ in range(3)] == [True, True, False]


def test_instances_of_a_small_fleet_lend_nothing():
    budget = RepeatBudget(LIMITS, 0.0)
    assert not budget.lend("s", 50.0, 6)
    assert sum(budget.try_spend("s", 50.0, 6) for _ in range(100)) == int(54 / 6 * 0.8)
