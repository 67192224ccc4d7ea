"""On which services an answer depends."""

from walkcart.fanout.dependence import is_vital, may_send_second_attempts
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.serviceprogress import Sent, ServiceProgress
from walkcart.wire.http import HttpRequest

NAMES = tuple("abcde")


def make_question(least):
    request = HttpRequest("GET", "/")
    return RoutedQuestion("q", "k", request, NAMES, 9.0, least_coverage=least)


def make_tries(replied, waiting):
    """Return tries of which so many have replied and so many are under way."""
    tries = [ServiceProgress(name) for name in NAMES]
    for item in tries[:replied]:
        item.gathered = True
    for item in tries[replied : replied + waiting]:
        item.tried.append("leaf")
        item.under_way["attempt"] = Sent(None, 0.0, 1.0)
    return tries


def test_a_part_that_an_answer_can_do_without_is_not_vital():
    tries = make_tries(replied=2, waiting=2)
    assert not is_vital(make_question(0.8), tries, tries[4], early=True)
    assert is_vital(make_question(1.0), tries, tries[4], early=True)


def test_what_has_not_replied_late_is_not_counted_on():
    tries = make_tries(replied=2, waiting=2)
    assert is_vital(make_question(0.8), tries, tries[4], early=False)
    assert not is_vital(make_question(0.4), tries, tries[4], early=False)


def test_services_that_others_gather_do_not_count_as_late():
    tries = make_tries(replied=0, waiting=2)
    for item in tries[2:]:
        item.delegated = True
    assert may_send_second_attempts(tries)


def test_no_second_attempts_where_most_are_late():
    assert not may_send_second_attempts(make_tries(replied=0, waiting=5))
