"""Attempts (one request to one leaf each) and their outcomes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from walkcart.intent.teams import Grant
from walkcart.leaves.leaf import UNPINNED, Snapshot
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.wire.bodies import MemoryShare
from walkcart.wire.http import Headers, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one leaf.

    Args:
        id: unique id, which the leaf echoes.
        shard: number of the shard.
        deadline: latest time for the reply, on the kernel's monotonic clock, in
            seconds.
        pin: snapshot that the reply must reflect; version 0 accepts any version.
        scope: partner scope that is sent to the leaf and echoed by it.
        body: body of the request.
        once_key: idempotency key of a non-repeatable request, else empty.
        expires: for a non-repeatable request, the time of day, in seconds since
            1970, after which the leaf must not begin it.
        traceparent: W3C trace context.
        caller_request: the caller's request, which is passed to the leaf unchanged;
            None for a question of the product's own interface.
        leaf_id: process of the leaf that the attempt is meant for; empty where
            leaves have no such ids.
        idempotent: whether a second run of the routed request does no harm.
        success_only: whether only a success is of use, as for a question over many
            shards.
        fingerprint: fingerprint of the question, the same whenever it is repeated.
        check_alive: whether the leaf must be seen to be alive before the send, so that
            a leaf that had ended before isn't counted as one that ended under the
            request.
        kind: name of the route that matched a routed request.
        regions: regions that may serve a routed request.
        grant: permission by which the request was admitted; None where that isn't
            checked.
        rank: priority; 0 is the most urgent.
        objective_at: when an answer begins to lose value, on the clock of `deadline`;
            infinite when it doesn't.
        is_wanted: returns whether the caller, or the instance that asked this one,
            still wants the request; None where this isn't checked.
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
    is_wanted: Callable[[], Awaitable[bool]] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a second run does no harm."""
        return self.idempotent and not self.once_key


@dataclass(frozen=True, slots=True)
class Replied:
    """The leaf ran the request; the reply is complete and belongs to the attempt.

    Args:
        snapshot: state of the data that the reply reflects.
        partial: whether the leaf said that it didn't see its whole shard.
        status: HTTP status of the reply.
        body: body of the reply.
        elapsed: seconds from the send to the last byte.
        headers: headers of the reply; kept for routed requests only.
        share: part of a memory budget that the body takes; None if it takes none.
    """

    snapshot: Snapshot
    partial: bool
    status: int
    body: bytes
    elapsed: float
    headers: Headers = ()
    share: MemoryShare | None = field(default=None, repr=False, compare=False)


@dataclass(frozen=True, slots=True)
class Refused:
    """The leaf stated that it did not run the request.

    Args:
        reason: why it refused.
        retry_after: time until it may accept the request; None if it didn't say.
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

#: Called with the outcome of an attempt, exactly once for each; must not block.
Deliver = Callable[[Attempt, Outcome], None]
