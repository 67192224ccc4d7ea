"""Leaves whose answers another instance lost may be asked again by the asking one.

Otherwise a question over many shards fails with seconds of time left: the asking
instance counts two leaves of a shard as asked and knows neither.
"""

from types import SimpleNamespace

from returns.result import Success

from walkcart.fanout.delegationcodec import decode_missing, encode_outcome
from walkcart.fanout.leafchoice import MAX_SENDS_PER_LEAF, LeafChoice
from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import Reason

MAX_ATTEMPTS = 2


def make_choice():
    """Return the choice among three leaves of a service; the first permitted is it."""
    leaves = [SimpleNamespace(id=f"leaf-{number}") for number in range(3)]

    def choose(service, kind, without, objective, now):
        return next((leaf for leaf in leaves if leaf.id not in without), None)

    pool = SimpleNamespace(leaves_of=lambda service: tuple(leaves), choose=choose)
    request = HttpRequest("GET", "/")
    question = RoutedQuestion("q", "k", request, ("s",), 9.0, most_attempts=2)
    return LeafChoice(SimpleNamespace(pool=pool), question, 1.0)


def report(lost, ran=1):
    """Return a part that another instance didn't get, as its message reports it."""
    part = MissingPart("s", Reason.LEAF_FAILED, ran, lost=lost)
    message = encode_outcome("d", Success(MergedAnswer(b"", (), (part,), ran, 0)))
    return decode_missing(message.missing)[0]


def test_leaf_that_lost_its_answer_elsewhere_is_asked_again():
    choice, item = make_choice(), ServiceProgress("s")
    item.record_missing(report(("leaf-0",)))
    item.record_missing(report(("leaf-2", "leaf-2")))
    assert item.may_run == MAX_ATTEMPTS
    assert choice.choose(item, 0.0).id in ("leaf-0", "leaf-2")
    assert choice.find_repeatable(item) == {"leaf-0", "leaf-2"}


def test_sends_of_all_instances_count_to_the_most_of_one_leaf():
    choice, item = make_choice(), ServiceProgress("s")
    item.record_missing(report(("leaf-0",) * MAX_SENDS_PER_LEAF))
    item.record_missing(report(("leaf-2",)))
    assert choice.find_repeatable(item) == {"leaf-2"}


def test_first_new_leaf_is_one_that_no_instance_asked():
    choice, item = make_choice(), ServiceProgress("s")
    item.record_missing(report(("leaf-0",)))
    assert choice.choose(item, 0.0).id == "leaf-1"


def test_no_way_of_choosing_passes_the_most_attempts():
    """A hedge chose a new leaf although a request for late parts had used the last."""
    choice, item = make_choice(), ServiceProgress("s")
    assert choice.choose_untried(item, 0.0) is not None
    item.record_missing(report((), ran=MAX_ATTEMPTS))
    assert choice.choose_untried(item, 0.0) is None
    assert choice.choose_elsewhere(item, 0.0) is None


def test_unknown_leaves_are_not_asked_again():
    choice, item = make_choice(), ServiceProgress("s")
    item.record_missing(report((), ran=MAX_ATTEMPTS))
    assert choice.find_repeatable(item) == set()
    assert choice.choose(item, 0.0) is None
