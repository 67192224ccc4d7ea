"""One exchange of an attempt with its leaf, and the dependencies of links.

See Also:
    `walkcart.leaves.link.LeafLink`, which sends attempts by this module.
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
from walkcart.wire.bodies import MemoryBudget, MemoryPlan
from walkcart.wire.http import (
    ExchangeFailed,
    FailureKind,
    HttpConnection,
    HttpReply,
)
from walkcart.wire.network import Network
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Time after which an idle connection isn't used again, unless the leaf states a
#: shorter one.
IDLE_TIMEOUT = timedelta(seconds=30)
#: Time after the deadline in which a late reply is still read to the end, so that the
#: connection can be kept.
DRAIN_TIMEOUT = timedelta(milliseconds=500)


@dataclass(slots=True)
class Pending:
    """An entry of a link's queue: an attempt, a cancel or a status check.

    Args:
        attempt: attempt to send; None for a cancel or a check.
        deliver: receiver of the attempt's outcome.
        cancel_id: id of the attempt to cancel; empty for a check.
        abandoned: whether the attempt was cancelled while it ran.
        scope: cancels the running exchange.
        blocked_since: when the attempt began to wait for capacity at the leaf; None
            if it didn't have to.
        finished: whether the outcome was delivered.
    """

    attempt: Attempt | None
    deliver: Deliver | None
    cancel_id: str = ""
    abandoned: bool = False
    scope: trio.CancelScope | None = None
    blocked_since: float | None = None
    finished: bool = False


#: Returns why an attempt may not be sent to a leaf now, or None if it may.
Admit = Callable[[Leaf, Attempt], NotRun | None]


def admit_all(leaf: Leaf, attempt: Attempt) -> NotRun | None:
    """Return None: every attempt may be sent."""
    return None


@dataclass(frozen=True, slots=True)
class LinkTools:
    """Dependencies of every link of an instance.

    Args:
        network: opens connections.
        clock: source of time.
        events: log of leaf events.
        metrics: counters and timers of leaf requests.
        tracer: makes a span for each attempt.
        on_status: called with what a leaf states about itself.
        protocol: protocol of the leaves.
        admit: called just before an attempt is sent.
        budget: limits the memory of all leaves' replies together.
    """

    network: Network
    clock: Clock
    events: EventLog
    metrics: Metrics
    tracer: Tracer
    on_status: Callable[[Leaf, LeafStatus], None]
    protocol: LeafProtocol = field(default_factory=QuestionProtocol)
    admit: Admit = admit_all
    budget: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(MemoryPlan().replies)
    )


class LeafExchanges:
    """Exchanges attempts with one leaf.

    Args:
        leaf: state of the leaf.
        tools: dependencies of every link.
        adopt: takes over a stream that a check opened.
    """

    def __init__(self, leaf: Leaf, tools: LinkTools, adopt: Adopt) -> None:
        self._leaf = leaf
        self._tools = tools
        self._end_check = EndCheck(leaf.address, tools.network, adopt)
        #: Seconds that the leaf keeps an idle connection, by its last statement.
        self.idle_timeout = IDLE_TIMEOUT.total_seconds()

    async def has_ended(self) -> bool:
        """Return whether the leaf's process has certainly ended."""
        return await self._end_check.has_ended()

    async def run(
        self,
        connection: HttpConnection,
        pending: Pending,
        attempt: Attempt,
        timed_out: Outcome,
    ) -> tuple[bool, Outcome]:
        """Exchange one attempt.

        Args:
            connection: connection to send it over.
            pending: entry of the attempt; its scope is set, for cancels from outside.
            attempt: attempt to send.
            timed_out: outcome if no reply comes in time.

        Returns:
            Whether the connection can be used again, and the outcome.
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
            limit = remaining + DRAIN_TIMEOUT.total_seconds()
            with trio.move_on_after(limit) as pending.scope:
                tools.metrics.count("leaf.sent")
                try:
                    reply = await self._send_and_read(connection, attempt, remaining)
                except ExchangeFailed as error:
                    return False, await self._classify_failure(error, attempt)
                elapsed = tools.clock.monotonic() - start
                found = dict(reply.headers)
                if not tools.protocol.is_reply_to(attempt, found):
                    tools.events.emit(
                        Events.LEAF_WRONG_ATTEMPT, leaf=self._leaf.address
                    )
                    detail = "the reply isn't this attempt's"
                    return False, Failed(MayHaveRun(Reason.LEAF_FAILED, detail))
                stays_open = self._record_reply(found)
                outcome = tools.protocol.read_outcome(attempt, reply, found, elapsed)
                return stays_open and connection.prepare_next(), outcome
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

    def _record_reply(self, found: Mapping[bytes, bytes]) -> bool:
        """Record what the leaf states about itself in the headers of a reply.

        Returns:
            Whether the leaf keeps the connection open after this reply.
        """
        protocol = self._tools.protocol
        self._tools.on_status(self._leaf, protocol.read_status(found))
        idle_timeout = protocol.read_idle_timeout(found)
        if idle_timeout == 0:
            # It says nothing about new connections, which must carry a request each.
            return False
        if idle_timeout is not None:
            self.idle_timeout = min(idle_timeout, IDLE_TIMEOUT.total_seconds())
        return True

    async def _classify_failure(
        self, error: ExchangeFailed, attempt: Attempt
    ) -> Failed:
        """Return the outcome of a failed exchange."""
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
        # A lack of memory here is no failure of the leaf.
        is_own = error.kind is FailureKind.NO_MEMORY
        self._tools.events.emit(
            Events.REPLY_MEMORY_FULL if is_own else Events.LEAF_BAD_REPLY,
            leaf=self._leaf.address,
            leaf_id=self._leaf.id,
            question=attempt.fingerprint.hex(),
            detail=str(error),
        )
        reason = Reason.OVERLOADED if is_own else Reason.LEAF_FAILED
        return Failed(MayHaveRun(reason, str(error)))
