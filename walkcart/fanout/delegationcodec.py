"""Encodes delegated questions and their outcomes as messages between instances.

See Also:
    `walkcart.fanout.delegationclient.DelegationClient`, the side that asks.
    `walkcart.fanout.delegationserver.DelegationServer`, the side that gathers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from returns.result import Success

from walkcart.fanout.delegatedgroup import Outcome
from walkcart.fanout.lentrepeats import LentRepeats, decode_services, encode_services
from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.wire.delegations import (
    NEVER,
    DelegatedAnswer,
    DelegatedFailure,
    DelegatedMissing,
    DelegatedQuestion,
    ServiceBits,
)
from walkcart.wire.http import HttpRequest
from walkcart.wire.messagebase import Message
from walkcart.wire.verdicts import MayHaveRun, Reason


@dataclass(frozen=True, slots=True)
class Delegation:
    """Parameters of a question that is delegated to another instance.

    Args:
        id: id of the delegation between the two instances.
        services: services that the other instance gathers.
        top: maximum number of records of the merged reply.
        round_trip: seconds for a message to the other instance and its reply.
        lent: services for which a repeat is lent.
    """

    id: str
    services: tuple[str, ...]
    top: int
    round_trip: float
    lent: frozenset[str] = frozenset()


def encode_question(
    question: RoutedQuestion, delegation: Delegation, now: float
) -> DelegatedQuestion:
    """Return the message that delegates some services of a question.

    Args:
        question: the question.
        delegation: what is delegated of it.
        now: the current time, in seconds.
    """
    services = delegation.services
    spent = now + delegation.round_trip
    return DelegatedQuestion(
        id=delegation.id,
        request=question.id,
        kind=question.kind,
        method=question.request.method,
        target=question.request.target,
        headers=question.request.headers,
        body=question.request.body,
        services=services,
        top=delegation.top,
        least_coverage=find_group_coverage(question, len(services)),
        most_attempts=question.most_attempts,
        remaining=max(0.0, question.deadline - spent),
        objective=min(NEVER, max(0.0, question.objective_at - spent)),
        settle=min(NEVER, max(0.0, question.settle_at - spent)),
        granted=question.granted,
        traceparent=question.traceparent,
        regions=_encode_regions(question.regions),
        fair_coverage=_find_fair_coverage(question, delegation),
        lent=encode_services(services, delegation.lent),
    )


def _find_fair_coverage(question: RoutedQuestion, delegation: Delegation) -> float:
    """Return the coverage by which the other instance decides which repeats are vital.

    Without a loan it has only its own repeats, which are for parts that the answer
    depends on.
    """
    if not delegation.lent:
        return 0.0
    return max(question.fair_coverage, question.least_coverage)


def _encode_regions(regions: Regions) -> tuple[str, ...] | None:
    return None if regions.names is None else tuple(sorted(regions.names))


def _decode_regions(names: tuple[str, ...] | None) -> Regions:
    return ALL_REGIONS if names is None else Regions(frozenset(names))


def extract_request(message: DelegatedQuestion) -> HttpRequest:
    """Return the request of a message, as leaves get it."""
    return HttpRequest(message.method, message.target, message.headers, message.body)


def decode_question(
    message: DelegatedQuestion, now: float, origins: RequestOrigins
) -> RoutedQuestion:
    """Return the question of a message, with times on this instance's clock.

    Args:
        message: the delegated question.
        now: time at which it was sent, as nearly as is known, in seconds.
        origins: finds the team of the request, by the configuration in force here.
    """
    request = extract_request(message)
    team = origins.find_team(request)
    return RoutedQuestion(
        id=message.request,
        kind=message.kind,
        request=request,
        services=message.services,
        deadline=now + message.remaining,
        objective_at=now + message.objective,
        least_coverage=message.least_coverage,
        most_attempts=message.most_attempts,
        success_only=True,
        await_confirmation=message.most_attempts > 1,
        settle_at=now + message.settle if message.settle < NEVER else float("inf"),
        granted=message.granted,
        traceparent=message.traceparent,
        fingerprint=origins.fingerprint(request),
        regions=_decode_regions(message.regions),
        team=team,
        rank=origins.find_rank(message.kind, team),
        grant=origins.find_grant(message.kind, team),
        fair_coverage=message.fair_coverage,
        lent=LentRepeats(decode_services(message.services, message.lent)),
    )


def encode_outcome(id: str, outcome: Outcome, unspent: ServiceBits = 0) -> Message:
    """Return the message that reports the outcome of a question.

    Args:
        id: id of the delegation.
        outcome: the outcome.
        unspent: lent repeats that are returned, a bit for each service.
    """
    match outcome:
        case Success(answer):
            return encode_answer(id, answer, unspent=unspent)
        case _:
            failure = outcome.failure()
            verdict = failure.verdict
            return DelegatedFailure(
                id,
                isinstance(verdict, MayHaveRun),
                verdict.reason.value,
                verdict.detail,
                failure.sent,
                _encode_missing(failure.missing),
                unspent,
            )


def encode_answer(
    id: str, answer: MergedAnswer, more: bool = False, unspent: ServiceBits = 0
) -> DelegatedAnswer:
    """Return the message that holds merged parts.

    Args:
        id: id of the delegation.
        answer: the merged parts.
        more: whether late parts may follow.
        unspent: lent repeats that are returned, a bit for each service.
    """
    return DelegatedAnswer(
        id,
        answer.body,
        answer.proofs,
        _encode_missing(answer.missing),
        answer.sent,
        answer.repeats,
        more,
        unspent,
    )


def _encode_missing(
    missing: tuple[MissingPart, ...],
) -> tuple[DelegatedMissing, ...]:
    return tuple(
        DelegatedMissing(
            part.service, part.reason.value, part.ran, part.may_repeat, part.lost
        )
        for part in missing
    )


def decode_missing(missing: tuple[DelegatedMissing, ...]) -> tuple[MissingPart, ...]:
    """Return the missing parts that a message lists."""
    return tuple(
        MissingPart(
            part.service,
            parse_reason(part.reason),
            part.ran,
            part.may_repeat,
            part.lost,
        )
        for part in missing
    )


def parse_reason(text: str) -> Reason:
    """Return the reason that a text names.

    `Reason.INTERNAL` stands for an unknown one: a later version may send others.
    """
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL


def find_group_coverage(question: RoutedQuestion, count: int) -> float:
    """Return the share of a group that the answer needs if all other parts arrive.

    Args:
        question: the question that the group belongs to.
        count: number of services of the group.

    Examples:
        >>> from walkcart.wire.http import HttpRequest
        >>> request = HttpRequest("GET", "/")
        >>> names = tuple("abcdefghij")
        >>> question = RoutedQuestion("q", "k", request, names, 1.0, least_coverage=0.8)
        >>> find_group_coverage(question, 4)
        0.5
    """
    total = len(question.services)
    needed = math.ceil(question.least_coverage * total - 1e-9) - (total - count)
    return max(0, needed) / count
