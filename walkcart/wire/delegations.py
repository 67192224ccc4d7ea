"""Messages by which one instance has another gather a question's parts.

Times are seconds that are left when the message is sent.
"""

from __future__ import annotations

import msgspec

from walkcart.wire.messagebase import Message

#: Seconds that stand for a time that doesn't come.
NEVER = 1e6


class DelegatedQuestion(Message, frozen=True):
    """Asks the receiver to gather the parts of a question and merge them.

    Args:
        id: unique; names the question between the two instances.
        request: id of the caller's request, for logs.
        kind: of the request, for its usual time.
        method: of the request.
        target: of the request.
        headers: of the request.
        body: of the request.
        services: to ask; the sender's configuration names them.
        top: records of the merged reply at the most.
        least_coverage: share of the services that the reply must cover.
        most_attempts: leaves that may run it, for each service.
        remaining: until the deadline.
        objective: until an answer begins to lose value.
        settle: until the reply goes without late parts, which the sender sees to,
            unless too many are late; `NEVER` where the receiver sees to them.
        granted: whether the budgets of repeats already hold the first attempts.
        traceparent: of the trace.
        regions: that the question may be served in; None where any will do.
        fair_coverage: share of the services that suffices if other groups' are alike.
        lent: services for which the receiver may send a repeat of the sender's budget,
            once it has its word; a bit for each, the first one the lowest.
    """

    id: str
    request: str
    kind: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    services: tuple[str, ...]
    top: int
    least_coverage: float
    most_attempts: int
    remaining: float
    objective: float
    settle: float = NEVER
    granted: bool = False
    traceparent: str | None = None
    regions: tuple[str, ...] | None = None
    fair_coverage: float = 0.0
    lent: int = 0


class DelegatedTaken(Message, frozen=True):
    """The receiver has a question and is at work on it.

    Args:
        id: of the question.
        usual_high: a long time for such a request at the leaves near the receiver, in
            seconds.
    """

    id: str
    usual_high: float


class DelegatedMissing(msgspec.Struct, frozen=True, array_like=True):
    """A service whose part didn't come.

    Args:
        service: its name.
        reason: a `walkcart.wire.verdicts.Reason` value.
        ran: requests to it that ran, may have run or may run yet.
        may_repeat: whether the sender's budget of repeats holds another request to it.
    """

    service: str
    reason: str
    ran: int
    may_repeat: bool = False


class DelegatedAnswer(Message, frozen=True):
    """The merged reply to a question.

    Args:
        id: of the question.
        body: merged records.
        proofs: of the parts in it, in any order.
        missing: services that aren't in it.
        sent: requests that went to leaves.
        repeats: those that were not the first to their service.
        more: whether late parts may follow; the sender leaves them to the receiver.
        unspent: services for which a lent repeat is returned, as `lent` states them.
    """

    id: str
    body: bytes
    proofs: tuple[bytes, ...]
    missing: tuple[DelegatedMissing, ...]
    sent: int
    repeats: int
    more: bool = False
    unspent: int = 0


class DelegatedPart(Message, frozen=True):
    """A part that came after the reply had gone without it.

    Args:
        id: of the question.
        service: whose part it is; empty when the message only says that it's the last.
        body: its greatest records.
        proofs: of the part.
        last: whether nothing more comes.
    """

    id: str
    service: str = ""
    body: bytes = b""
    proofs: tuple[bytes, ...] = ()
    last: bool = False


class DelegatedFailure(Message, frozen=True):
    """There is no answer.

    Args:
        id: of the question.
        may_have_run: whether any leaf may have run it.
        reason: a `walkcart.wire.verdicts.Reason` value.
        detail: one sentence for a person.
        sent: requests that went to leaves.
        missing: services without a part.
        unspent: services for which a lent repeat is returned.
    """

    id: str
    may_have_run: bool
    reason: str
    detail: str
    sent: int
    missing: tuple[DelegatedMissing, ...] = ()
    unspent: int = 0


class DelegatedCancel(Message, frozen=True):
    """Nobody waits for this question any longer.

    Args:
        id: of the question.
        unheard: whether nothing was heard of the receiver since the question was sent.
    """

    id: str
    unheard: bool = False


class DelegatedRenewal(Message, frozen=True):
    """The sender still waits for a question; without this the receiver gives it up.

    It is sent once the sender knows that the question was taken. With the first one the
    receiver may use all attempts that the question allows, until then one a service.

    Args:
        id: of the question.
    """

    id: str


class Greeting(Message, frozen=True):
    """Opens the links between two instances before a question needs them.

    Args:
        answers: whether it answers one, and so needs no answer.
        unheard: whether nothing was heard of the receiver since a question went there.
    """

    answers: bool = False
    unheard: bool = False
