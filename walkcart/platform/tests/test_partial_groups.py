"""Parts that an instance gathered for another one are kept when some are missing.

The instance used to report a failure when its group covered too little, and what had
come was dropped. The asking instance counted all attempts of the whole group as made,
so that the question failed at once with seconds of time left.
"""

import trio

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedverdict import make_result
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.platform.tests.test_delegation import count_arrived, with_two_regions
from walkcart.routing.repeats import RepeatBudget
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import MayHaveRun, Reason

NAMES = tuple("abcd")


def test_one_part_lost_at_another_instance_is_asked_for_alone(monkeypatch):
    """The other instance has no repeat left; the asking one has."""
    denied = []
    try_spend = RepeatBudget.try_spend

    def deny_first(self, service, now, instances, vital=True):
        if not denied or denied[0] is self:
            denied.append(self)
            return False
        return try_spend(self, service, now, instances, vital)

    async def scenario(world):
        monkeypatch.setattr(RepeatBudget, "try_spend", deny_first)
        leaves = [world.leafs[name] for name in ("i-00", "i-01")]
        for leaf in leaves:
            leaf.faults.drop = True
        replies = []

        async def ask():
            replies.append(await world.ask("/all/x", "asker"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            while not any(leaf.finished for leaf in leaves):
                await trio.sleep(0.001)
            for leaf in leaves:
                leaf.faults.drop = False
        return replies[0].status, count_arrived(world)

    status, arrived = with_two_regions(scenario, minCoverage=1.0)
    assert denied
    assert status == 200
    assert arrived == [2, 1, 1, 1]


def make_state(replied):
    """Return a question over four services and its state, with some parts gathered."""
    request = HttpRequest("GET", "/")
    question = RoutedQuestion("q", "k", request, NAMES, 9.0, most_attempts=2)
    progress = tuple(ServiceProgress(name) for name in NAMES)
    for item in progress[:replied]:
        item.gathered = True
    for item in progress[replied:]:
        item.reason = Reason.LEAF_FAILED
        item.record_run(f"leaf-{item.service}")
        item.tried.append(f"leaf-{item.service}")
        item.lost_leaf_ids.add(f"leaf-{item.service}")
    return question, progress


def make_partial_result(replied, ends_leaves=False):
    question, progress = make_state(replied)
    return make_result(question, progress, (), 0.0, 4, 0, ends_leaves, partial=True)


def test_partial_result_names_the_missing_parts_and_their_leaves():
    answer = make_partial_result(replied=3).unwrap()
    assert [part.service for part in answer.missing] == ["d"]
    assert answer.missing[0].lost == ("leaf-d",)


def test_nothing_gathered_is_a_failure():
    assert isinstance(make_partial_result(replied=0).failure().verdict, MayHaveRun)


def test_question_that_crashes_leaves_stays_a_failure():
    failure = make_partial_result(replied=3, ends_leaves=True).failure()
    assert failure.verdict.reason is Reason.LEAF_ENDED


def test_caller_gets_no_answer_that_covers_too_little():
    question, progress = make_state(replied=3)
    assert make_result(question, progress, (), 0.0, 4, 0).failure().verdict
