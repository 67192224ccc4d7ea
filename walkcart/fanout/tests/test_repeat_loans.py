"""Repeats that one instance lends another, and how a loan ends."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.fanout.delegatedgroup import DelegatedGroup
from walkcart.fanout.lentrepeats import decode_services, encode_services
from walkcart.fanout.repeatloans import RepeatLoan
from walkcart.routing.distance import Location
from walkcart.routing.repeats import RepeatBudget, RepeatLimits

NAMES = ("a", "b", "c")
#: One repeat a service, as in a large fleet.
LIMITS = RepeatLimits(ratio=0.2, window=10.0, allowance=12.0)
INSTANCES = 9


class FixedClock:
    """Stands still."""

    def monotonic(self):
        return 100.0


def make_loan():
    budget = RepeatBudget(LIMITS, 0.0)
    assert all(budget.lend(name, 100.0, INSTANCES) for name in NAMES)
    return budget, RepeatLoan(budget, FixedClock(), NAMES)


def make_group(loan, taken, most_attempts=2):
    place = Location("south", "south-a")
    group = DelegatedGroup(
        NAMES, place, "k", most_attempts, "peer", 100.0, lambda: None, loan
    )
    group.taken = taken
    return group


def list_left(budget):
    return [name for name in NAMES if budget.take(name, 100.0, INSTANCES)]


def test_what_is_returned_may_be_spent_again_and_the_rest_counts_as_spent():
    budget, loan = make_loan()
    group = make_group(loan, taken=True)
    group.return_unspent(encode_services(NAMES, {"b"}))
    group.end(None)
    assert list_left(budget) == ["b"]
    assert loan.services == frozenset()


def test_a_group_that_was_not_taken_has_spent_nothing():
    """The other instance sends none before it knows that its word has come."""
    budget, loan = make_loan()
    make_group(loan, taken=False).end(None)
    assert list_left(budget) == list(NAMES)


def test_a_group_with_one_attempt_may_have_spent_all_without_a_word():
    budget, loan = make_loan()
    make_group(loan, taken=False, most_attempts=1).end(None)
    assert list_left(budget) == []


def test_what_is_returned_twice_counts_once():
    budget, loan = make_loan()
    loan.return_unspent({"a"})
    loan.return_unspent({"a"})
    loan.end()
    assert list_left(budget) == ["a"]


@given(st.sets(st.integers(0, 23)))
def test_services_come_back_as_they_were_sent(places):
    services = tuple(f"shard-{number}" for number in range(24))
    chosen = {services[place] for place in places}
    assert decode_services(services, encode_services(services, chosen)) == chosen
