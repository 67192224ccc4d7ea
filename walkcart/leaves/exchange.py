"""One exchange of an attempt with its leaf, and what a link keeps for it.

See Also:
    `walkcart.leaves.link.LeafLink`, which carries attempts by this.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.spans import Tracer
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome
from walkcart.leaves.endcheck import Adopt, EndCheck
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.protocol import (
    LeafProtocol,
    LeafStatus,
    QuestionProtocol,
)
from walkcart.wire.http import (
    ExchangeFailed,
    FailureKind,
    HttpConnection,
    HttpReply,
)
from walkcart.wire.network import Network
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

IDLE_TIME = timedelta(seconds=30)
#: A reply that comes this long after its deadline is still read to the end, so
#: that the connection can be kept.
DRAIN_TIME = timedelta(milliseconds=500)


@dataclass(slots=True)
class Pending:
    """An attempt with its receiver; without one a cancel, or else a check.

    `crowded_at` is when it began to wait for room at the leaf, if it had to.
    """

    attempt: Attempt | None
    deliver: Deliver | None
    cancel_id: str = ""
    abandoned: bool = False
    scope: trio.CancelScope | None = None
    crowded_at: float | None = None


#: Returns why an attempt may not be sent to a leaf now; None when it may.
Admit = Callable[[Leaf, Attempt], NotRun | None]


def admit_all(leaf: Leaf, attempt: Attempt) -> NotRun | None:
    """Return None: every attempt may be sent."""
    return None


@dataclass(frozen=True, slots=True)
class LinkTools:
    """What every link of an instance uses."""

    network: Network
    clock: Clock
    events: EventLog
    metrics: Metrics
    tracer: Tracer
    on_status: Callable[[Leaf, LeafStatus], None]
    protocol: LeafProtocol = field(default_factory=QuestionProtocol)
    admit: Admit = admit_all


class LeafExchanges:
    """Exchanges attempts with one leaf.

    Args:
        leaf: what is known of it.
        tools: what every link uses.
        adopt: takes a stream that a check opened.
    """

    def __init__(self, leaf: Leaf, tools: LinkTools, adopt: Adopt) -> None:
        self._leaf = leaf
        self._tools = tools
        self._ends = EndCheck(leaf.address, tools.network, adopt)
        #: Seconds that the leaf keeps an idle connection, as it said last.
        self.idle_time = IDLE_TIME.total_seconds()

    async def has_ended(self) -> bool:
        """Return whether the leaf's process has surely ended."""
        return await self._ends.has_ended()

    async def run(
        self,
        connection: HttpConnection,
        pending: Pending,
        attempt: Attempt,
        timed_out: Outcome,
    ) -> tuple[bool, Outcome]:
        """Exchange one attempt.

        Args:
            connection: that carries it.
            pending: holds it; its scope is set, to be cancelled from outside.
            attempt: what to send.
            timed_out: the outcome when its time passes.

        Returns:
            Whether the connection is clean afterwards, and the outcome.
        """
        tools = self._tools
        start = tools.clock.monotonic()
        remaining = attempt.deadline - start
        span = tools.tracer.start(
            "leaf.attempt",
            attempt.traceparent,
            attempt=attempt.id,
            leaf=self._leaf.address,
            shard=attempt.shard,
        )
        with tools.tracer.end_on_exit(span):
            limit = remaining + DRAIN_TIME.total_seconds()
            with trio.move_on_after(limit) as pending.scope:
                tools.metrics.count("leaf.sent")
                try:
                    reply = await self._send_and_read(connection, attempt, remaining)
                except ExchangeFailed as error:
                    return False, await self._judge_failure(error, attempt)
                elapsed = tools.clock.monotonic() - start
                found = dict(reply.headers)
                if not tools.protocol.is_reply_to(attempt, found):
                    tools.events.emit(
                        Events.LEAF_WRONG_ATTEMPT, leaf=self._leaf.address
                    )
                    detail = "the reply isn't this attempt's"
                    return False, Failed(MayHaveRun(Reason.LEAF_FAILED, detail))
                self._note_reply(found)
                outcome = tools.protocol.read_outcome(attempt, reply, found, elapsed)
                return connection.prepare_next(), outcome
        if pending.abandoned:
            return False, Failed(MayHaveRun(Reason.CANCELLED))
        return False, timed_out

    async def _send_and_read(
        self, connection: HttpConnection, attempt: Attempt, remaining: float
    ) -> HttpReply:
        protocol = self._tools.protocol
        request = protocol.encode(attempt, remaining)
        if not protocol.skips_stray_replies:
            return await connection.exchange(request)
        return await connection.exchange(
            request, lambda reply: protocol.is_reply_to(attempt, dict(reply.headers))
        )

    def _note_reply(self, found: Mapping[bytes, bytes]) -> None:
        """Take in what the leaf says on a reply beside the reply itself."""
        protocol = self._tools.protocol
        self._tools.on_status(self._leaf, protocol.read_status(found))
        idle_time = protocol.read_idle_timeout(found)
        if idle_time is not None:
            self.idle_time = min(idle_time, IDLE_TIME.total_seconds())

    async def _judge_failure(self, error: ExchangeFailed, attempt: Attempt) -> Failed:
        """Return what a failed exchange means."""
        if not error.sent:
            return Failed(NotRun(Reason.UNREACHABLE, str(error)))
        closed = error.kind is FailureKind.CLOSED
        if closed and await self.has_ended():
            self._tools.metrics.count("leaf.ended")
            self._tools.events.emit(
                Events.LEAF_ENDED,
                leaf=self._leaf.address,
                leaf_id=self._leaf.id,
                question=attempt.fingerprint.hex(),
            )
            return Failed(MayHaveRun(Reason.LEAF_ENDED, "the leaf ended"))
        self._tools.events.emit(
            Events.LEAF_BAD_REPLY,
            leaf=self._leaf.address,
            leaf_id=self._leaf.id,
            question=attempt.fingerprint.hex(),
            detail=str(error),
        )
        return Failed(MayHaveRun(Reason.LEAF_FAILED, str(error)))
