"""Verdicts: whether a request ran.

Every failure that reaches a caller is one of these verdicts, and each hop passes it on
unchanged. The rule for `NotRun` is strict: either no byte of the request reached a leaf
or a peer, or the one that received it stated that it did not run it. Any other failure
after the first byte is `MayHaveRun`.

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
        body: body of the reply.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run anywhere and will not.

    Args:
        reason: why it did not run.
        detail: one sentence for people.
        retry_after: time after which a retry makes sense; None if it doesn't.
    """

    reason: Reason
    detail: str = ""
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, or may still run until its deadline.

    Args:
        reason: why it is unknown whether the request ran.
        detail: one sentence for people.
    """

    reason: Reason
    detail: str = ""


Verdict = Answered | NotRun | MayHaveRun
