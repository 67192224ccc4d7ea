"""Loans of repeats from one instance to another, and their end."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.fanout.delegatedgroup import DelegatedGroup
from walkcart.fanout.lentrepeats import decode_services, encode_services
from walkcart.fanout.repeatloans import RepeatLoan
from walkcart.routing.distance import Location
from walkcart.routing.repeats import RepeatBudget, RepeatLimits
from walkcart.wire.codec import decode_envelope, encode_envelope
from walkcart.wire.delegations import DelegatedFailure
from walkcart.wire.messages import Envelope

NAMES = ("a", "b", "c")
#: Limits that give each instance one repeat for each service, as in a large fleet.
LIMITS = RepeatLimits(ratio=0.2, window=10.0, allowance=12.0)
INSTANCES = 9


class FixedClock:
    """A clock that always shows the same time."""

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


def list_available(budget):
    return [name for name in NAMES if budget.try_spend(name, 100.0, INSTANCES)]


def test_returned_repeats_are_available_again_and_the_rest_counts_as_spent():
    budget, loan = make_loan()
    group = make_group(loan, taken=True)
    group.return_unspent(encode_services(NAMES, {"b"}))
    group.end(None)
    assert list_available(budget) == ["b"]
    assert loan.services == frozenset()


def test_a_group_that_was_not_accepted_has_spent_nothing():
    """The other instance uses lent repeats only after the asker's confirmation."""
    budget, loan = make_loan()
    make_group(loan, taken=False).end(None)
    assert list_available(budget) == list(NAMES)


def test_a_group_with_one_attempt_may_have_spent_all_before_its_acceptance():
    budget, loan = make_loan()
    make_group(loan, taken=False, most_attempts=1).end(None)
    assert list_available(budget) == []


def test_a_repeat_that_is_returned_twice_counts_once():
    budget, loan = make_loan()
    loan.return_unspent({"a"})
    loan.return_unspent({"a"})
    loan.end()
    assert list_available(budget) == ["a"]


@given(st.sets(st.integers(0, 23)))
def test_encoded_services_are_decoded_unchanged(places):
    services = tuple(f"shard-{number}" for number in range(24))
    chosen = {services[place] for place in places}
    assert decode_services(services, encode_services(services, chosen)) == chosen


@given(st.integers(1, 300), st.data())
def test_services_of_large_groups_pass_the_codec(count, data):
    """A number of more than 64 bits can't be encoded, and ended the link."""
    services = tuple(f"shard-{number}" for number in range(count))
    chosen = data.draw(st.sets(st.sampled_from(services)))
    bits = encode_services(services, chosen)
    message = DelegatedFailure("id", False, "reason", "", 0, (), bits)
    envelope = Envelope("one", 1, "", 0, (message,))
    (received,) = decode_envelope(encode_envelope(envelope)).messages
    assert decode_services(services, received.unspent) == chosen
