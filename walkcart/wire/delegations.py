"""Messages by which one instance delegates the gathering of a question's parts.

Times are remaining seconds when the message is sent.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from walkcart.wire.figures import Figure, Name
from walkcart.wire.messagebase import Message

#: Seconds that stand for "never".
NEVER = 1e6


#: Largest number of bytes of a set of services: of 10,000.
MAX_SET_BYTES = 1250
#: A set of services of a group: one bit for each service, the first one the lowest. As
#: bytes, of which the first is the lowest, where a number would be too large.
ServiceBits = (
    Annotated[int, Meta(ge=0)] | Annotated[bytes, Meta(max_length=MAX_SET_BYTES)]
)


class DelegatedQuestion(Message, frozen=True):
    """Asks the receiver to gather the parts of a question and merge them.

    Args:
        id: unique id of the question between the two instances.
        request: id of the caller's request, for logs.
        kind: kind of the request, which determines its usual time.
        method: method of the request.
        target: target of the request.
        headers: headers of the request.
        body: body of the request.
        services: services to ask, as named in the sender's configuration.
        top: largest number of records in the merged reply.
        least_coverage: smallest share of the services that the reply must cover.
        most_attempts: largest number of leaves that may run it, for each service.
        remaining: seconds until the deadline.
        objective: seconds until an answer begins to lose value.
        settle: seconds until the reply is sent without the late parts, unless too many
            are late; the sender then handles them. `NEVER` where the receiver does.
        granted: whether the repeat budgets have already counted the first attempts.
        traceparent: W3C trace context.
        regions: regions that may serve the question; None for any.
        fair_coverage: share of the services that suffices if the other groups reach a
            similar one.
        lent: services for which the receiver may send a repeat from the sender's
            budget, after the first `DelegatedRenewal`.
    """

    id: Name
    request: str
    kind: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    services: tuple[str, ...]
    top: int
    least_coverage: Figure
    most_attempts: int
    remaining: Figure
    objective: Figure
    settle: Figure = NEVER
    granted: bool = False
    traceparent: str | None = None
    regions: tuple[str, ...] | None = None
    fair_coverage: Figure = 0.0
    lent: ServiceBits = 0


class DelegatedTaken(Message, frozen=True):
    """Acknowledges a question: the receiver is working on it.

    Args:
        id: id of the question.
        usual_high: high quantile of the times of such requests at the leaves near the
            receiver, in seconds.
    """

    id: Name
    usual_high: Figure


class DelegatedMissing(msgspec.Struct, frozen=True, array_like=True):
    """A service whose part is missing.

    Args:
        service: name of the service.
        reason: a `walkcart.wire.verdicts.Reason` value.
        ran: number of requests to it that ran, may have run or may still run.
        may_repeat: whether the sender's repeat budget allows another request to it.
        lost: ids of the leaves among those whose answers were lost, one for each
            request.
    """

    service: str
    reason: str
    ran: int
    may_repeat: bool = False
    lost: tuple[str, ...] = ()


class DelegatedAnswer(Message, frozen=True):
    """The merged reply to a question.

    Args:
        id: id of the question.
        body: merged records.
        proofs: proofs of the parts in the reply, in any order.
        missing: services that aren't in the reply.
        sent: number of requests that were sent to leaves.
        repeats: number of those that weren't the first to their service.
        more: whether late parts may follow, which the receiver of the question still
            gathers.
        unspent: services for which a lent repeat is returned.
    """

    id: Name
    body: bytes
    proofs: tuple[bytes, ...]
    missing: tuple[DelegatedMissing, ...]
    sent: int
    repeats: int
    more: bool = False
    unspent: ServiceBits = 0


class DelegatedPart(Message, frozen=True):
    """A part that came after the reply was sent without it.

    Args:
        id: id of the question.
        service: service of the part; empty if the message only says that it is the
            last.
        body: the greatest records of the part.
        proofs: proofs of the part.
        last: whether no more parts follow.
    """

    id: Name
    service: str = ""
    body: bytes = b""
    proofs: tuple[bytes, ...] = ()
    last: bool = False


class DelegatedFailure(Message, frozen=True):
    """Says that a question has no answer.

    Args:
        id: id of the question.
        may_have_run: whether any leaf may have run it.
        reason: a `walkcart.wire.verdicts.Reason` value.
        detail: one sentence for people.
        sent: number of requests that were sent to leaves.
        missing: services without a part.
        unspent: services for which a lent repeat is returned.
    """

    id: Name
    may_have_run: bool
    reason: str
    detail: str
    sent: int
    missing: tuple[DelegatedMissing, ...] = ()
    unspent: ServiceBits = 0


class DelegatedCancel(Message, frozen=True):
    """Cancels a question whose answer isn't needed any longer.

    Args:
        id: id of the question.
        unheard: whether the receiver has sent nothing since the question was sent.
    """

    id: Name
    unheard: bool = False


class DelegatedRenewal(Message, frozen=True):
    """Says that the sender still waits for a question.

    It is sent from when the sender knows that the question was taken; without renewals
    the receiver gives the question up. Until the first one the receiver may use one
    attempt for each service, then all that the question allows.

    Args:
        id: id of the question.
    """

    id: Name


class Greeting(Message, frozen=True):
    """Opens the links between two instances before a question needs them.

    Args:
        answers: whether it answers another greeting and so needs no answer itself.
        unheard: whether the receiver has sent nothing since a question was sent to it.
    """

    answers: bool = False
    unheard: bool = False
