"""How many attempts count as having run, or running, at one service."""

from types import SimpleNamespace

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedsends import RoutedSends
from walkcart.fanout.serviceprogress import Sent, ServiceProgress
from walkcart.wire.http import HttpRequest


def make_sends():
    request = HttpRequest("GET", "/")
    question = RoutedQuestion("q", "k", request, ("s",), 9.0, most_attempts=2)
    clock = SimpleNamespace(monotonic=lambda: 0.0)
    return RoutedSends(
        SimpleNamespace(clock=clock), question, None, lambda item: True, CrashWatch(1)
    )


def test_what_another_instance_was_asked_for_counts_beside_an_attempt_from_here():
    item = ServiceProgress("s")
    item.under_way["a"] = Sent(None, 0.0, 1.0)
    assert make_sends().hedge_at(item) == 1.0
    item.delegated = True
    assert item.may_run == 2
    assert make_sends().hedge_at(item) == float("inf")
    item.under_way.clear()
    item.ran = 1
    assert item.may_run == 2


def test_a_leaf_that_gets_a_question_once_more_counts_once():
    item = ServiceProgress("s")
    item.note_ran("leaf-1")
    item.under_way["a"] = Sent(None, 0.0, 1.0, again=True)
    assert item.may_run == 1
    item.under_way.clear()
    item.note_ran("leaf-1")
    assert item.may_run == 1
    item.note_ran("leaf-2")
    assert item.may_run == 2


def test_a_late_part_of_another_instance_covers_its_service():
    item = ServiceProgress("s", awaited=True)
    assert item.open
    item.part = object()
    assert item.covered
    assert not item.open
