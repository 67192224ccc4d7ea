"""One request to one leaf, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from walkcart.leaves.leaf import Snapshot
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one leaf.

    Args:
        id: unique; the leaf echoes it.
        shard: number of the shard.
        pin: snapshot that the reply must be of; version 0 leaves it open.
        scope: partner scope that the leaf is told and echoes.
        deadline: on the kernel's monotonic clock, in seconds.
        body: of the request.
        once_key: idempotency key of a non-repeatable request, else empty.
        expires: for a non-repeatable request, the time of day, in seconds since
            1970, after which the leaf must not begin it.
        traceparent: of the trace.
    """

    id: str
    shard: int
    pin: Snapshot
    scope: str
    deadline: float
    body: bytes
    once_key: str = ""
    expires: float = 0.0
    traceparent: str | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a second run does no harm."""
        return not self.once_key


@dataclass(frozen=True, slots=True)
class Replied:
    """The leaf ran the request; the reply is whole and ours.

    Args:
        snapshot: that the reply reflects.
        partial: whether the leaf said that it didn't see its whole shard.
        status: HTTP status of the leaf.
        body: of the reply.
        elapsed: seconds from the send to the last byte.
    """

    snapshot: Snapshot
    partial: bool
    status: int
    body: bytes
    elapsed: float


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
