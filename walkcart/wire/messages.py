"""Messages between instances.

Messages are frozen `msgspec.Struct` classes: the codec distinguishes the members of a
union by a tag, which plain data classes don't have.

Times are durations in seconds or readings of monotonic clocks, never times of day,
since clocks differ. A message is addressed to one incarnation of its receiver, so that
a later process at the same address doesn't accept one that waited in a queue.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from walkcart.wire.delegations import (
    DelegatedAnswer,
    DelegatedCancel,
    DelegatedFailure,
    DelegatedPart,
    DelegatedQuestion,
    DelegatedRenewal,
    DelegatedTaken,
    Greeting,
)
from walkcart.wire.figures import Figure, Name
from walkcart.wire.messagebase import Message
from walkcart.wire.quarantines import QuarantineNews
from walkcart.wire.quotas import (
    QuotaAsk,
    QuotaElsewhere,
    QuotaGrant,
    QuotaHolder,
    QuotaTakeover,
)
from walkcart.wire.relays import (
    RelayChanges,
    RelayCopy,
    RelayCurrent,
    RelaySubscribe,
    RelayUnserved,
)

#: Maximum number of messages in an envelope; instances send fewer.
MAX_MESSAGES = 256


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one instance.

    Args:
        name: name of the instance.
        incarnation: number of its process; a later process has a higher one.
        counter: raised by the instance itself to refute a suspicion.
        state: a `walkcart.membership.view.MemberState` value.
        peer_address: ``IP:port`` for peers.
        address: ``IP:port`` for callers.
        data_centre: its data centre.
        region: region of that data centre.
        revision: revision of the configuration that it has in force.
    """

    name: str
    incarnation: int
    counter: int
    state: int
    peer_address: str
    address: str
    data_centre: str
    region: str
    revision: int


class LeafMark(msgspec.Struct, frozen=True, array_like=True):
    """Marks one incarnation of a leaf as leaving."""

    address: str
    incarnation: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Membership data in each heartbeat.

    Args:
        revision: revision of the configuration that the sender has in force.
        members: records that changed recently, the sender's own first.
        marks: leaves that were recently marked as leaving.
    """

    revision: int
    members: tuple[MemberRecord, ...]
    marks: tuple[LeafMark, ...]


class Ping(Message, frozen=True):
    """Asks whether the receiver is alive."""

    number: int
    digest: Digest


class Ack(Message, frozen=True):
    """Answers a `Ping`; `target` is the living instance, also of indirect pings."""

    number: int
    target: str
    digest: Digest


class PingRequest(Message, frozen=True):
    """Asks the receiver to ping `target` on behalf of the sender."""

    number: int
    target: str
    digest: Digest


class Gossip(Message, frozen=True):
    """Changes that shouldn't wait for the next heartbeat; has no answer."""

    digest: Digest


class ConfigurationPull(Message, frozen=True):
    """Asks for a configuration newer than `revision`."""

    revision: int


class ConfigurationPush(Message, frozen=True):
    """A whole stored configuration."""

    revision: int
    document: bytes


class ForwardedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """A leaf request that the holder of the leaf's connections is to send.

    Args:
        id: id of the attempt.
        leaf: ``IP:port`` of the leaf.
        remaining: time until the deadline, in seconds.
        target: path of the request.
        headers: headers of the request.
        body: body of the request.
        repeatable: whether a second run does no harm.
    """

    id: str
    leaf: str
    remaining: Figure
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    repeatable: bool


class ForwardAsk(Message, frozen=True):
    """Leaf requests for the receiver to send."""

    attempts: tuple[ForwardedAttempt, ...]


class ForwardCancel(Message, frozen=True):
    """Cancels attempts whose results aren't needed any longer."""

    ids: tuple[str, ...]


class ForwardedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """How a forwarded attempt ended.

    Args:
        id: id of the attempt.
        status: HTTP status of the leaf's reply; 0 if there is no reply.
        headers: headers of the reply, and others that describe the outcome.
        body: body of the reply.
        may_have_run: without a reply, whether the request may have run.
        reason: without a reply, a `walkcart.wire.verdicts.Reason` value.
        elapsed: seconds from the send to the end.
    """

    id: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    may_have_run: bool
    reason: str
    elapsed: Figure


class ForwardReply(Message, frozen=True):
    """Outcomes of forwarded attempts."""

    outcomes: tuple[ForwardedOutcome, ...]


class ClaimAsk(Message, frozen=True):
    """Asks the receiver to claim an idempotency key in its bucket.

    Args:
        token: unique id of this request's claim.
        bucket: number of the bucket.
        key: digest of service, partner and idempotency key, 16 bytes.
        issued: time of day in the key, in seconds since 1970.
        request: digest of the request, 16 bytes.
        remaining: time for which the claim is of use, in seconds.
    """

    token: str
    bucket: int
    key: bytes
    issued: Figure
    request: bytes
    remaining: Figure


class ClaimAnswer(Message, frozen=True):
    """How a `ClaimAsk` ended.

    Args:
        token: token of the `ClaimAsk`.
        outcome: a `walkcart.once.records.ClaimOutcome` value.
        status: HTTP status of the stored reply; 0 if there is none.
        body: body of the stored reply.
    """

    token: str
    outcome: str
    status: int = 0
    body: bytes = b""


class ClaimSettle(Message, frozen=True):
    """Says that the request of a granted claim ended; its reply is to be stored."""

    token: str
    bucket: int
    key: bytes
    status: int
    body: bytes


class ClaimWithdraw(Message, frozen=True):
    """Asks to remove a claim whose sender gave up and sent no request."""

    token: str
    bucket: int
    key: bytes


AnyMessage = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | ConfigurationPull
    | ConfigurationPush
    | ForwardAsk
    | ForwardCancel
    | ForwardReply
    | ClaimAsk
    | ClaimAnswer
    | ClaimSettle
    | ClaimWithdraw
    | DelegatedQuestion
    | DelegatedTaken
    | Greeting
    | DelegatedAnswer
    | DelegatedPart
    | DelegatedFailure
    | DelegatedCancel
    | DelegatedRenewal
    | RelaySubscribe
    | RelayChanges
    | RelayCopy
    | RelayCurrent
    | RelayUnserved
    | QuarantineNews
    | QuotaAsk
    | QuotaGrant
    | QuotaElsewhere
    | QuotaHolder
    | QuotaTakeover
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Messages from one instance to another, sent together.

    Args:
        sender: name of the sender.
        incarnation: incarnation of the sender.
        address: the sender's ``IP:port`` for peers, so that a receiver that doesn't
            know the sender can answer; empty after the receiver was heard of.
        to_incarnation: incarnation of the receiver; 0 if the sender doesn't know it.
        messages: messages in the order of sending.
        life: id of the sender's process; empty if it states none.
        sent_at: monotonic time of the sender when the envelope was packed, in seconds.
        to_life: id of the receiver's process; empty if the sender doesn't know it.
        least_reading: lower bound of that process's monotonic time when the envelope
            was packed, in seconds.

    See Also:
        `walkcart.membership.messageages`, which uses the last four fields.
    """

    sender: Name
    incarnation: int
    address: Name
    to_incarnation: int
    messages: Annotated[tuple[AnyMessage, ...], Meta(max_length=MAX_MESSAGES)]
    life: Name = ""
    sent_at: Figure = 0.0
    to_life: Name = ""
    least_reading: Figure = 0.0
