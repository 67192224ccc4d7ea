"""Verdicts: whether a request may have run.

Every failure that reaches a caller is one of these, and each hop passes it on
unchanged. The rule for `NotRun` is strict: no byte of the request reached a
leaf or a peer, or the one that got it said that it did not run it. Whatever
fails after the first byte is `MayHaveRun`.

Examples:
    >>> NotRun(Reason.OVERLOADED, retry_after=timedelta(seconds=2)).reason.value
    'overloaded'

See Also:
    ``docs/design/verdicts.md``.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Reason(Enum):
    """Why a request, or one shard of it, has no answer."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    NO_ROOM = "no_room"
    STOPPING = "stopping"
    NO_LEAF = "no_leaf"
    LEAF_REFUSED = "leaf_refused"
    LEAF_REPLACED = "leaf_replaced"
    LEAF_FAILED = "leaf_failed"
    LEAF_ENDED = "leaf_ended"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"
    VERSION_NOT_HELD = "version_not_held"
    OTHER_VERSION = "other_version"
    COVERAGE = "coverage_too_low"
    CANCELLED = "cancelled"
    KEY_BAD = "idempotency_key_bad"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_PROGRESS = "idempotency_key_in_progress"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    REPEAT_BUDGET = "repeat_budget"
    RATE_LIMITED = "rate_limited"
    LIMIT_UNKNOWN = "limit_unknown"
    CONFIGURATION_OLD = "configuration_old"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran once and this is its reply.

    Args:
        status: HTTP status of the reply.
        body: the reply's body.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run anywhere and will not.

    Args:
        reason: why.
        detail: one sentence for a person.
        retry_after: when asking again makes sense; None when it doesn't.
    """

    reason: Reason
    detail: str = ""
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, or may still run until its deadline.

    Args:
        reason: why nothing better is known.
        detail: one sentence for a person.
    """

    reason: Reason
    detail: str = ""


Verdict = Answered | NotRun | MayHaveRun
