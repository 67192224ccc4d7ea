"""Messages between instances.

They are `msgspec.Struct` classes, frozen: the codec tells the members of a
union apart by a tag, which it can't do with plain data classes.

Times are durations in seconds or readings of steady clocks, never times of day, since
clocks differ; a message is addressed to one incarnation of its receiver, so that one
which waited in a queue isn't taken by a later process at the same address.
"""

from __future__ import annotations

import msgspec

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


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one instance.

    Args:
        name: its name.
        incarnation: number of its process life; a later life has a higher one.
        counter: raised by the instance itself to refute a suspicion.
        state: a `walkcart.membership.view.MemberState` value.
        peer_address: ``IP:port`` for peers.
        address: ``IP:port`` for callers.
        data_centre: where it stands.
        region: region of that data centre.
        revision: configuration that it has in force.
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
    """A leaf is leaving, as of one incarnation of it."""

    address: str
    incarnation: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What each heartbeat carries besides its number.

    Args:
        revision: configuration that the sender has in force.
        members: records that changed lately, the sender's own first.
        marks: leaves marked as leaving lately.
    """

    revision: int
    members: tuple[MemberRecord, ...]
    marks: tuple[LeafMark, ...]


class Ping(Message, frozen=True):
    """Asks whether the receiver lives."""

    number: int
    digest: Digest


class Ack(Message, frozen=True):
    """Answers a `Ping`; `target` is who lives, for pings by way of another."""

    number: int
    target: str
    digest: Digest


class PingRequest(Message, frozen=True):
    """Asks the receiver to ping `target` for the sender."""

    number: int
    target: str
    digest: Digest


class Gossip(Message, frozen=True):
    """News that shouldn't wait for the next heartbeat; wants no answer."""

    digest: Digest


class ConfigurationPull(Message, frozen=True):
    """Asks for a configuration newer than `revision`."""

    revision: int


class ConfigurationPush(Message, frozen=True):
    """A whole stored configuration."""

    revision: int
    document: bytes


class ForwardedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """One leaf request to be sent by the holder of the leaf's connections.

    Args:
        id: the attempt's id.
        leaf: ``IP:port`` of the leaf.
        remaining: time left until the deadline, in seconds.
        target: path of the request.
        headers: of the request.
        body: of the request.
        repeatable: whether a second run does no harm.
    """

    id: str
    leaf: str
    remaining: float
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    repeatable: bool


class ForwardAsk(Message, frozen=True):
    """Leaf requests for the receiver to send."""

    attempts: tuple[ForwardedAttempt, ...]


class ForwardCancel(Message, frozen=True):
    """Attempts that nobody waits for any longer."""

    ids: tuple[str, ...]


class ForwardedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """How a forwarded attempt ended.

    Args:
        id: the attempt's id.
        status: the leaf's status; 0 when there is no reply.
        headers: the leaf's headers.
        body: the leaf's body.
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
    elapsed: float


class ForwardReply(Message, frozen=True):
    """Outcomes of forwarded attempts."""

    outcomes: tuple[ForwardedOutcome, ...]


class ClaimAsk(Message, frozen=True):
    """Asks the receiver to claim an idempotency key in its bucket.

    Args:
        token: unique; tells this request's claim from all others.
        bucket: number of the bucket.
        key: digest of service, partner and idempotency key, 16 bytes.
        issued: time of day in the key, in seconds since 1970.
        request: digest of the request, 16 bytes.
        remaining: how long the claim is of use, in seconds.
    """

    token: str
    bucket: int
    key: bytes
    issued: float
    request: bytes
    remaining: float


class ClaimAnswer(Message, frozen=True):
    """How a `ClaimAsk` ended.

    Args:
        token: of the ask.
        outcome: a `walkcart.once.records.ClaimOutcome` value.
        status: HTTP status of the kept reply, 0 when there is none.
        body: of the kept reply.
    """

    token: str
    outcome: str
    status: int = 0
    body: bytes = b""


class ClaimSettle(Message, frozen=True):
    """The request of a granted claim ended; keep its reply."""

    token: str
    bucket: int
    key: bytes
    status: int
    body: bytes


class ClaimWithdraw(Message, frozen=True):
    """The asker gave up and sent nothing; the claim is to go."""

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
        incarnation: of the sender.
        address: the sender's ``IP:port`` for peers, to answer one not yet known; empty
            where the receiver was heard of.
        to_incarnation: of the receiver; 0 when the sender doesn't know it.
        messages: in the order of sending.
        life: names the sender's process life; empty where it doesn't say.
        sent_at: what the sender's steady clock showed when this was packed, in seconds.
        to_life: names the receiver's life; empty when the sender doesn't know it.
        least_reading: what that life's steady clock showed then at least, in seconds.

    See Also:
        `walkcart.membership.messageages`, for the last four.
    """

    sender: str
    incarnation: int
    address: str
    to_incarnation: int
    messages: tuple[AnyMessage, ...]
    life: str = ""
    sent_at: float = 0.0
    to_life: str = ""
    least_reading: float = 0.0
