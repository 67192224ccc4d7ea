"""Builds the outcome of a routed question: an answer, or a failure with its verdict."""

from __future__ import annotations

from datetime import timedelta

from returns.result import Failure, Result, Success

from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Retry time after nothing could be run, where no leaf stated one.
DEFAULT_RETRY_AFTER = timedelta(seconds=0.5)


def covers(question: RoutedQuestion, count: int) -> bool:
    """Return whether replies of `count` services are enough for an answer."""
    return covers_share(question.least_coverage, len(question.services), count)


def covers_share(min_share: float, services: int, count: int) -> bool:
    """Return whether `count` of `services` services are at least a share of them.

    Args:
        min_share: the share, from 0 to 1; at least one service is needed in any case.
        services: number of services in all.
        count: number of services that replied.
    """
    return count > 0 and count >= min_share * services - 1e-9


def make_result(
    question: RoutedQuestion,
    progress: tuple[ServiceProgress, ...],
    merged: tuple[MergedAnswer, ...],
    now: float,
    sent: int,
    repeats: int,
    ends_leaves: bool = False,
    partial: bool = False,
) -> Result[RoutedAnswer, RoutedFailure]:
    """Return the answer if it covers enough, else the failure.

    Args:
        question: the question.
        progress: its state at each service.
        merged: merged parts that other instances gathered.
        now: the current time, in seconds.
        sent: number of requests that this instance sent to leaves.
        repeats: number of those that were not the first to their service.
        ends_leaves: whether leaves crash when they run it.
        partial: whether an answer may cover less, since another instance asked: that
            one may get the missing parts elsewhere.
    """
    covered = sum(1 for item in progress if item.covered)
    answer = make_answer(progress, merged, sent, repeats)
    is_answer = covers(question, covered)
    if partial and covered and not ends_leaves:
        is_answer = True
    if not is_answer:
        late = now >= question.deadline
        return Failure(make_failure(progress, late, answer.sent, ends_leaves))
    return Success(answer)


def make_answer(
    progress: tuple[ServiceProgress, ...],
    merged: tuple[MergedAnswer, ...],
    sent: int,
    repeats: int,
) -> RoutedAnswer:
    """Return the answer made of the parts that have arrived.

    Args:
        progress: the question's state at each service.
        merged: merged parts that other instances gathered.
        sent: number of requests that this instance sent to leaves.
        repeats: number of those that were not the first to their service.
    """
    replies = tuple(
        (item.service, item.reply) for item in progress if item.reply is not None
    )
    sent += sum(part.sent for part in merged)
    repeats += sum(part.repeats for part in merged)
    return RoutedAnswer(
        replies, merged, len(progress), _list_missing(progress), sent, repeats
    )


def make_failure(
    progress: tuple[ServiceProgress, ...],
    late: bool,
    sent: int = 0,
    ends_leaves: bool = False,
) -> RoutedFailure:
    """Return the failure of a question; "not run" only when nothing may have run.

    Args:
        progress: the question's state at each service.
        late: whether its deadline has passed.
        sent: number of requests that went to leaves.
        ends_leaves: whether leaves crash when they run it.
    """
    missing = _list_missing(progress)
    replied = len(progress) - len(missing)
    reasons = ", ".join(sorted({part.reason.value for part in missing}))
    detail = f"{replied} of {len(progress)} services replied; missing: {reasons}"
    failure = next((item.failure for item in progress if item.failure), None)
    if any(item.may_run or item.gathered or item.delegated for item in progress):
        reason = Reason.DEADLINE if late else Reason.LEAF_FAILED
        reason = Reason.LEAF_ENDED if ends_leaves else reason
        return RoutedFailure(MayHaveRun(reason, detail), failure, sent, missing)
    verdict = NotRun(
        _find_refusal(progress, missing), detail, _find_retry_time(progress)
    )
    return RoutedFailure(verdict, failure, sent, missing)


def _find_refusal(
    progress: tuple[ServiceProgress, ...], missing: tuple[MissingPart, ...]
) -> Reason:
    """Return why nothing was run; a refusal for lack of room outranks later reasons."""
    refusals = (item.refusal.reason for item in progress if item.refusal is not None)
    if Reason.NO_ROOM in refusals:
        return Reason.NO_ROOM
    return missing[0].reason if missing else Reason.COVERAGE


def _list_missing(progress: tuple[ServiceProgress, ...]) -> tuple[MissingPart, ...]:
    return tuple(
        MissingPart(
            item.service,
            item.why_missing,
            item.may_run,
            item.may_repeat,
            item.lost_sends,
        )
        for item in progress
        if not item.covered
    )


def _find_retry_time(progress: tuple[ServiceProgress, ...]) -> timedelta:
    """Return the retry time: the longest that a refusal stated, else the default."""
    asked = [
        item.refusal.retry_after
        for item in progress
        if item.refusal is not None and item.refusal.retry_after is not None
    ]
    return max(asked, default=DEFAULT_RETRY_AFTER)
