"""One request to one leaf, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from walkcart.intent.teams import Grant
from walkcart.leaves.leaf import UNPINNED, Snapshot
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.wire.http import Headers, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one leaf.

    Args:
        id: unique; the leaf echoes it.
        shard: number of the shard.
        deadline: on the kernel's monotonic clock, in seconds.
        pin: snapshot that the reply must be of; version 0 leaves it open.
        scope: partner scope that the leaf is told and echoes.
        body: of the request.
        once_key: idempotency key of a non-repeatable request, else empty.
        expires: for a non-repeatable request, the time of day, in seconds since
            1970, after which the leaf must not begin it.
        traceparent: of the trace.
        caller_request: the caller's request, which the leaf gets as it came; None for a
            question of the product's own interface.
        leaf_id: life of the leaf that it is meant for; empty where leaves don't
            name theirs.
        idempotent: whether a second run of the routed request does no harm.
        success_only: whether a reply other than a success is of no use, as it is to
            a question over many shards.
        fingerprint: of the question, the same whenever it is asked again.
        check_alive: whether the leaf is first seen to live, so that one which had ended
            before isn't taken for one that ended under it.
        kind: name of the route that a routed request came by.
        regions: that a routed request may be served in.
        grant: by what it was let in; None where that isn't looked at.
        rank: 0 is the most urgent.
        objective_at: when an answer begins to lose value, on the clock of `deadline`;
            infinite when it doesn't.
    """

    id: str
    shard: int
    deadline: float
    pin: Snapshot = UNPINNED
    scope: str = ""
    body: bytes = b""
    once_key: str = ""
    expires: float = 0.0
    traceparent: str | None = None
    caller_request: HttpRequest | None = None
    leaf_id: str = ""
    idempotent: bool = True
    success_only: bool = False
    fingerprint: bytes = b""
    check_alive: bool = False
    kind: str = ""
    regions: Regions = ALL_REGIONS
    grant: Grant | None = None
    rank: int = 0
    objective_at: float = float("inf")

    @property
    def repeatable(self) -> bool:
        """Whether a second run does no harm."""
        return self.idempotent and not self.once_key


@dataclass(frozen=True, slots=True)
class Replied:
    """The leaf ran the request; the reply is whole and ours.

    Args:
        snapshot: that the reply reflects.
        partial: whether the leaf said that it didn't see its whole shard.
        status: HTTP status of the leaf.
        body: of the reply.
        elapsed: seconds from the send to the last byte.
        headers: of the reply; kept for routed requests only.
    """

    snapshot: Snapshot
    partial: bool
    status: int
    body: bytes
    elapsed: float
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The leaf said that it did not run the request.

    Args:
        reason: why.
        retry_after: when it may take it; None when it said nothing.
    """

    reason: Reason
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """There is no usable reply.

    Args:
        verdict: whether the request may have run.
    """

    verdict: NotRun | MayHaveRun


Outcome = Replied | Refused | Failed

#: Told how an attempt ended; exactly once for each attempt; must not wait.
Deliver = Callable[[Attempt, Outcome], None]
