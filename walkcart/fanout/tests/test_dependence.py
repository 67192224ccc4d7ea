"""Services that an answer depends on, and the hedges that may be sent."""

from walkcart.fanout.dependence import is_vital, may_send_second_attempts
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.serviceprogress import Sent, ServiceProgress
from walkcart.wire.http import HttpRequest

NAMES = tuple("abcde")


def make_question(least):
    request = HttpRequest("GET", "/")
    return RoutedQuestion("q", "k", request, NAMES, 9.0, least_coverage=least)


def make_progress(replied, waiting):
    """Return the state of five services.

    Args:
        replied: number of services that have replied.
        waiting: number of services with an attempt under way.
    """
    progress = [ServiceProgress(name) for name in NAMES]
    for item in progress[:replied]:
        item.gathered = True
    for item in progress[replied : replied + waiting]:
        item.tried.append("leaf")
        item.under_way["attempt"] = Sent(None, 0.0, 1.0)
    return progress


def test_a_part_is_vital_only_if_the_others_cover_too_little():
    progress = make_progress(replied=2, waiting=2)
    assert not is_vital(make_question(0.8), progress, progress[4], early=True)
    assert is_vital(make_question(1.0), progress, progress[4], early=True)


def test_parts_missing_at_a_late_time_are_not_counted_on():
    progress = make_progress(replied=2, waiting=2)
    assert is_vital(make_question(0.8), progress, progress[4], early=False)
    assert not is_vital(make_question(0.4), progress, progress[4], early=False)


def test_delegated_services_do_not_count_as_late():
    progress = make_progress(replied=0, waiting=2)
    for item in progress[2:]:
        item.delegated = True
    assert may_send_second_attempts(progress)


def test_no_hedges_are_sent_where_most_services_are_late():
    assert not may_send_second_attempts(make_progress(replied=0, waiting=5))
