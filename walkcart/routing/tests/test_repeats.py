"""The budget of repeats over any window, all instances together."""

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
def test_no_window_gets_more_than_is_allowed(events):
    now = 100.0
    budgets = [RepeatBudget(LIMITS, now - 50) for _ in range(3)]
    requests, repeats = [], []
    restarted = set()
    for gap, number, what in events:
        now += gap
        if what == "request":
            budgets[number].note_request("s", now)
            requests.append(now)
        elif what == "restart" and number not in restarted:
            # Once each: what a former life spent is covered by the reserve.
            restarted.add(number)
            budgets[number] = RepeatBudget(LIMITS, now)
        elif budgets[number].take("s", now, 3):
            repeats.append(now)
    for end in repeats:
        start = end - LIMITS.window
        spent = sum(1 for at in repeats if start < at <= end)
        asked = sum(1 for at in requests if start <= at <= end)
        # A window here is up to one part longer than the one that is counted.
        before = sum(1 for at in requests if start - 1 <= at < start)
        assert spent <= LIMITS.allowance + LIMITS.ratio * (asked + before) + 1e-9


#: Instances of which each has little of the allowance.
MANY = 18


def test_a_service_without_requests_keeps_to_its_part_of_the_allowance():
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
def test_loans_keep_every_window_within_what_is_allowed(events):
    """Who borrows may send a repeat at any time until the lender knows the end."""
    now = 100.0
    budgets = [RepeatBudget(LIMITS, now - 50) for _ in range(3)]
    requests, repeats = [], []
    loans = [[], [], []]
    for gap, number, what in events:
        now += gap
        budget = budgets[number]
        if what == "request":
            budget.note_request("s", now)
            requests.append(now)
        elif what == "repeat" and budget.take("s", now, 3):
            repeats.append(now)
        elif what == "lend" and budget.lend("s", now, 3):
            loans[number].append(now)
        elif what in ("spend", "return") and loans[number]:
            lent_at = loans[number].pop(0)
            budget.settle("s", now, spent=what == "spend")
            if what == "spend":
                # The earliest and the latest that it can have been sent.
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
    # What was spent and what was taken have left the window.
    assert [budget.try_spend("s", 101.0, MANY) for _ in range(3)] == [True, True, False]


def test_where_instances_are_few_each_keeps_its_own_part():
    budget = RepeatBudget(LIMITS, 0.0)
    assert not budget.lend("s", 50.0, 6)
    assert sum(budget.try_spend("s", 50.0, 6) for _ in range(100)) == int(54 / 6 * 0.8)
