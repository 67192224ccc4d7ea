"""What a routed question comes to: an answer, or a failure that tells the truth."""

from __future__ import annotations

from datetime import timedelta

from returns.result import Failure, Result, Success

from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: When to come back after nothing could be run, in the absence of a leaf's word.
COME_BACK = timedelta(seconds=0.5)


def covers(question: RoutedQuestion, count: int) -> bool:
    """Return whether replies of `count` services are enough for an answer."""
    return covers_share(question.least_coverage, len(question.services), count)


def covers_share(least: float, services: int, count: int) -> bool:
    """Return whether replies of `count` among some services make up a share of them."""
    return count > 0 and count >= least * services - 1e-9


def judge(
    question: RoutedQuestion,
    tries: tuple[ServiceProgress, ...],
    merged: tuple[MergedAnswer, ...],
    now: float,
    sent: int,
    repeats: int,
    ends_leafs: bool = False,
) -> Result[RoutedAnswer, RoutedFailure]:
    """Return the answer if it covers enough, else why there is none.

    Args:
        question: what was asked.
        tries: how it went at each service.
        merged: what other instances gathered.
        now: the present, in seconds.
        sent: requests that went to leafs from here.
        repeats: those that were not the first to their service.
        ends_leafs: whether leafs end when they run it.
    """
    covered = sum(1 for item in tries if item.covered)
    answer = make_answer(tries, merged, sent, repeats)
    if not covers(question, covered):
        late = now >= question.deadline
        return Failure(make_failure(tries, late, answer.sent, ends_leafs))
    return Success(answer)


def make_answer(
    tries: tuple[ServiceProgress, ...],
    merged: tuple[MergedAnswer, ...],
    sent: int,
    repeats: int,
) -> RoutedAnswer:
    """Return the answer that is in.

    Args:
        tries: how it went at each service.
        merged: what other instances gathered.
        sent: requests that went to leafs from here.
        repeats: those that were not the first to their service.
    """
    replies = tuple(
        (item.service, item.reply) for item in tries if item.reply is not None
    )
    sent += sum(part.sent for part in merged)
    repeats += sum(part.repeats for part in merged)
    return RoutedAnswer(replies, merged, len(tries), _missing(tries), sent, repeats)


def make_failure(
    tries: tuple[ServiceProgress, ...],
    late: bool,
    sent: int = 0,
    ends_leafs: bool = False,
) -> RoutedFailure:
    """Return the failure of a question; "not run" only when nothing may have run.

    Args:
        tries: how it went at each service.
        late: whether its deadline has passed.
        sent: requests that went to leafs.
        ends_leafs: whether leafs end when they run it.
    """
    missing = _missing(tries)
    replied = len(tries) - len(missing)
    reasons = ", ".join(sorted({part.reason.value for part in missing}))
    detail = f"{replied} of {len(tries)} services replied; missing: {reasons}"
    failure = next((item.failure for item in tries if item.failure), None)
    if any(item.may_run or item.gathered or item.delegated for item in tries):
        reason = Reason.DEADLINE if late else Reason.LEAF_FAILED
        reason = Reason.LEAF_ENDED if ends_leafs else reason
        return RoutedFailure(MayHaveRun(reason, detail), failure, sent, missing)
    verdict = NotRun(_find_refusal(tries, missing), detail, _find_retry_time(tries))
    return RoutedFailure(verdict, failure, sent, missing)


def _find_refusal(
    tries: tuple[ServiceProgress, ...], missing: tuple[MissingPart, ...]
) -> Reason:
    """Return why nothing was run: what was refused weighs more than what followed."""
    refusals = (item.refusal.reason for item in tries if item.refusal is not None)
    if Reason.NO_ROOM in refusals:
        return Reason.NO_ROOM
    return missing[0].reason if missing else Reason.COVERAGE


def _missing(tries: tuple[ServiceProgress, ...]) -> tuple[MissingPart, ...]:
    return tuple(
        MissingPart(item.service, item.why_missing, item.may_run, item.may_repeat)
        for item in tries
        if not item.covered
    )


def _find_retry_time(tries: tuple[ServiceProgress, ...]) -> timedelta:
    """Return when to come back: the longest time that a leaf asked for."""
    asked = [
        item.refusal.retry_after
        for item in tries
        if item.refusal is not None and item.refusal.retry_after is not None
    ]
    return max(asked, default=COME_BACK)
