"""The protocol of the leaves: HTTP/1.1 with these headers.

A leaf that refuses a request sends ``walkcart-ran: no``; any other failure after the
first byte counts as "may have run". On each reply a leaf echoes the attempt id and the
scope, and states its snapshot, the versions it holds, its load, its incarnation and
whether it is leaving.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec

from walkcart.kernel.numbers import read_number
from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import ANY_VERSION, BadSnapshot, Snapshot, parse_snapshot
from walkcart.wire.http import Headers, HttpReply, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, Reason

ATTEMPT = b"walkcart-attempt"
SHARD = b"walkcart-shard"
PIN = b"walkcart-pin"
SCOPE = b"walkcart-scope"
DEADLINE = b"walkcart-deadline-ms"
ONCE_KEY = b"walkcart-once-key"
EXPIRES = b"walkcart-expires"
RAN = b"walkcart-ran"
SNAPSHOT = b"walkcart-snapshot"
HELD = b"walkcart-held"
LOAD = b"walkcart-load"
INCARNATION = b"walkcart-incarnation"
STATE = b"walkcart-state"
PARTIAL = b"walkcart-partial"
RETRY_AFTER_MS = b"walkcart-retry-after-ms"
TRACEPARENT = b"traceparent"

QUERY_TARGET = "/query"
STATUS_TARGET = "/status"
CANCEL_TARGET = "/attempts/"

STATUS_NOT_HELD = 409
STATUS_CANCELLED = 499
STATUS_SHED = 503
STATUS_DEADLINE_PASSED = 504

#: Headers of a reply by name.
HeaderMap = Mapping[bytes, bytes]

#: Checks that a body is a JSON object without decoding its values.
_CHECK_JSON = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode

#: Longest time that a leaf can state; any number of digits may come in a header.
MAX_STATED_TIME = timedelta(days=1)
#: Largest body of a leaf's reply that is accepted, in bytes.
MAX_REPLY_BYTES = 4 << 20


def encode_attempt(attempt: Attempt, remaining: float) -> HttpRequest:
    """Return the request of `attempt`, with `remaining` seconds to its deadline."""
    headers = [
        (ATTEMPT, attempt.id.encode()),
        (SHARD, b"%d" % attempt.shard),
        (PIN, b"%d:%d" % (attempt.pin.layout, attempt.pin.version)),
        (SCOPE, attempt.scope.encode()),
        (DEADLINE, b"%d" % max(1, int(remaining * 1000))),
    ]
    if attempt.once_key:
        headers.append((ONCE_KEY, attempt.once_key.encode()))
        headers.append((EXPIRES, f"{attempt.expires:.3f}".encode()))
    if attempt.traceparent:
        headers.append((TRACEPARENT, attempt.traceparent.encode()))
    return HttpRequest("POST", QUERY_TARGET, tuple(headers), attempt.body)


def decode_attempt(request_headers: Headers, id: str, deadline: float) -> Attempt:
    """Return the attempt that a forwarded request contains, without its body.

    Raises:
        BadSnapshot: the pin is not a valid snapshot.
        KeyError: a header is missing.
        ValueError: a header is not a number.
    """
    found = dict(request_headers)
    return Attempt(
        id=id,
        shard=int(found[SHARD]),
        pin=parse_snapshot(found[PIN].decode()),
        scope=found[SCOPE].decode(),
        deadline=deadline,
        body=b"",
        once_key=found.get(ONCE_KEY, b"").decode(),
        expires=float(found.get(EXPIRES, b"0")),
        traceparent=found[TRACEPARENT].decode() if TRACEPARENT in found else None,
    )


@dataclass(frozen=True, slots=True)
class LeafStatus:
    """What a leaf states about itself on each reply.

    Args:
        held: index versions that it holds; None if not stated.
        load: number of requests that wait or run there; None if not stated.
        incarnation: number of its process; 0 if not stated.
        leaving: whether it is leaving.
        pace: present duration of its work, as a multiple of the usual one; None if
            not stated.
        cold_time: remaining time of its cold phase; None if not stated.
    """

    held: frozenset[int] | None
    load: int | None
    incarnation: int
    leaving: bool
    pace: float | None = None
    cold_time: timedelta | None = None


def read_status(found: HeaderMap) -> LeafStatus:
    """Read what the leaf states about itself; unreadable values count as not stated."""
    held = None
    if HELD in found:
        parts = found[HELD].split(b",")
        numbers = (read_number(part.strip()) for part in parts)
        held = frozenset(number for number in numbers if number is not None)
    return LeafStatus(
        held,
        read_number(found.get(LOAD)),
        read_number(found.get(INCARNATION)) or 0,
        found.get(STATE) == b"leaving",
    )


class LeafProtocol(Protocol):
    """The protocol that a link uses to talk to leaves.

    Attributes:
        skips_stray_replies: whether a reply to an earlier request is skipped; else it
            ends the connection.
    """

    skips_stray_replies: bool

    def encode(self, attempt: Attempt, remaining: float) -> HttpRequest:
        """Return the request of `attempt`, with `remaining` seconds to its deadline."""
        ...

    def is_reply_to(self, attempt: Attempt, found: HeaderMap) -> bool:
        """Return whether a reply with these headers belongs to `attempt`."""
        ...

    def make_request_key(self, attempt: Attempt) -> str:
        """Return a text that attempts share if their replies look alike."""
        ...

    def read_status(self, found: HeaderMap) -> LeafStatus:
        """Return what the leaf states about itself on a reply."""
        ...

    def read_outcome(
        self, attempt: Attempt, reply: HttpReply, found: HeaderMap, elapsed: float
    ) -> Outcome:
        """Return the outcome of `attempt`, given the reply that belongs to it."""
        ...

    def read_idle_timeout(self, found: HeaderMap) -> float | None:
        """Return the seconds that the leaf keeps an idle connection, if stated."""
        ...

    def make_status_request(self) -> HttpRequest | None:
        """Return the first request on a new connection; None if there is none."""
        ...

    def make_cancel_request(self, attempt_id: str) -> HttpRequest | None:
        """Return the request that cancels an attempt; None if closing does it."""
        ...


class QuestionProtocol:
    """The protocol of the product's own leaves, as described at the top."""

    skips_stray_replies = False

    def encode(self, attempt: Attempt, remaining: float) -> HttpRequest:
        """Return the request of `attempt`, with `remaining` seconds to its deadline."""
        return encode_attempt(attempt, remaining)

    def is_reply_to(self, attempt: Attempt, found: HeaderMap) -> bool:
        """Return whether a reply with these headers belongs to `attempt`."""
        return is_reply_to(attempt, found)

    def make_request_key(self, attempt: Attempt) -> str:
        """Return the attempt's id, which its reply echoes."""
        return attempt.id

    def read_status(self, found: HeaderMap) -> LeafStatus:
        """Return what the leaf states about itself on a reply."""
        return read_status(found)

    def read_outcome(
        self, attempt: Attempt, reply: HttpReply, found: HeaderMap, elapsed: float
    ) -> Outcome:
        """Return the outcome of `attempt`, given the reply that belongs to it."""
        return read_outcome(attempt, reply, found, elapsed)

    def read_idle_timeout(self, found: HeaderMap) -> float | None:
        """Return None: these leaves keep idle connections until they leave."""
        return None

    def make_status_request(self) -> HttpRequest | None:
        """Return the request for the leaf's status."""
        return HttpRequest("GET", STATUS_TARGET)

    def make_cancel_request(self, attempt_id: str) -> HttpRequest | None:
        """Return the request that cancels an attempt over another connection."""
        return HttpRequest("DELETE", CANCEL_TARGET + attempt_id)


def is_reply_to(attempt: Attempt, found: HeaderMap) -> bool:
    """Return whether a reply echoes the attempt's id and scope."""
    if found.get(ATTEMPT) != attempt.id.encode():
        return False
    return found.get(SCOPE, b"") == attempt.scope.encode()


def read_outcome(
    attempt: Attempt, reply: HttpReply, found: HeaderMap, elapsed: float
) -> Outcome:
    """Return the outcome of an attempt, given the reply that belongs to it.

    Args:
        attempt: the attempt that was sent.
        reply: the reply.
        found: headers of the reply by name.
        elapsed: seconds from the send to the last byte.
    """
    if found.get(RAN) == b"no":
        return Refused(_find_refusal_reason(reply.status), _read_retry_after(found))
    if reply.status == STATUS_CANCELLED:
        return Failed(MayHaveRun(Reason.CANCELLED))
    if not 200 <= reply.status < 300 and attempt.repeatable:
        detail = f"the leaf answered {reply.status}"
        return Failed(MayHaveRun(Reason.LEAF_FAILED, detail))
    try:
        snapshot = parse_snapshot(found.get(SNAPSHOT, b"").decode("latin-1"))
    except BadSnapshot:
        return Failed(MayHaveRun(Reason.LEAF_FAILED, "the leaf states no snapshot"))
    try:
        _CHECK_JSON(reply.body)
    except (msgspec.MsgspecError, RecursionError):
        return Failed(MayHaveRun(Reason.LEAF_FAILED, "the leaf's body is no JSON"))
    partial = found.get(PARTIAL) == b"yes"
    return Replied(
        snapshot, partial, reply.status, reply.body, elapsed, share=reply.share
    )


def _find_refusal_reason(status: int) -> Reason:
    match status:
        case 409:
            return Reason.VERSION_NOT_HELD
        case 504:
            return Reason.DEADLINE
        case _:
            return Reason.LEAF_REFUSED


def _read_retry_after(found: HeaderMap) -> timedelta | None:
    milliseconds = read_number(found.get(RETRY_AFTER_MS))
    return None if milliseconds is None else limit_duration(milliseconds / 1000)


def limit_duration(seconds: float) -> timedelta:
    """Return a time that a leaf states, but at most `MAX_STATED_TIME`."""
    return timedelta(seconds=min(seconds, MAX_STATED_TIME.total_seconds()))


def matches_pin(pin: Snapshot, snapshot: Snapshot) -> bool:
    """Return whether a reply of `snapshot` satisfies `pin`."""
    if pin.layout != snapshot.layout:
        return False
    return pin.version in (ANY_VERSION, snapshot.version)
