"""Sends non-repeatable requests: one attempt at a time, without hedges.

A request goes to another leaf only after a verdict that it surely did not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import trio
from returns.result import Failure, Result, Success

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.gathering import GatherTools
from walkcart.fanout.questions import Question
from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import ANY_VERSION, Leaf, Snapshot
from walkcart.routing.quarantine import QuarantineLevel
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds past the deadline for which a reply is awaited.
REPLY_GRACE = 0.05


@dataclass(frozen=True, slots=True)
class OnceRequest:
    """A request that must run at most once.

    Args:
        question: the service, scope, body and deadline.
        routing_key: key that determines the shard.
        once_key: key under which the leaf records that the request ran.
        expires: time of day, in seconds since 1970, after which the leaf must not begin
            the request.
    """

    question: Question
    routing_key: str
    once_key: str
    expires: float


class SingleSender:
    """Sends non-repeatable requests.

    Args:
        tools: shared components of the instance's gatherings.
        gatherer: determines the layout in use.
    """

    def __init__(self, tools: GatherTools, gatherer: Gatherer) -> None:
        self._tools = tools
        self._gatherer = gatherer

    async def send(self, request: OnceRequest) -> Result[Replied, NotRun | MayHaveRun]:
        """Send `request` to the leaves of its shard in turn, while that is safe.

        Returns:
            The reply, or a verdict on whether the request may have run.
        """
        fingerprint = request.question.fingerprint
        admitted = await self._tools.quarantines.admit(fingerprint)
        if isinstance(admitted, NotRun):
            return Failure(admitted)
        careful = admitted is QuarantineLevel.CAREFUL
        known = self._tools.quarantines.find_strikes(fingerprint)
        watch = CrashWatch(1, careful, known)
        try:
            return await self._send(request, watch)
        finally:
            self._tools.quarantines.record(fingerprint, watch, careful)

    async def _send(
        self, request: OnceRequest, watch: CrashWatch
    ) -> Result[Replied, NotRun | MayHaveRun]:
        pin, layout = self._gatherer.choose(request.question)
        shard = choose_shard(request.routing_key, len(layout.shards))
        leaves = [
            leaf for leaf in layout.shards[shard] if self._tools.gateway.may_use(leaf)
        ]
        verdict = NotRun(Reason.NO_LEAF, "no leaf of the shard may get work")
        while leaves:
            now = self._tools.clock.monotonic()
            if now >= request.question.deadline:
                return Failure(NotRun(Reason.DEADLINE, "no time is left"))
            selector = self._tools.selector
            leaf = selector.select(request.question, shard, leaves, now)
            if leaf is None:
                break
            leaves.remove(leaf)
            match await self._send_attempt(
                request, shard, Snapshot(pin.layout, 0), leaf, watch.checks_liveness
            ):
                case Replied() as reply:
                    watch.record_answer()
                    return Success(reply)
                case Failed(verdict=MayHaveRun() as uncertain):
                    if uncertain.reason is Reason.LEAF_ENDED:
                        now = self._tools.clock.monotonic()
                        name = leaf.id or leaf.address
                        watch.record_ended("", now=now, leaf=name)
                    return Failure(uncertain)
                case Failed(verdict=NotRun() as failed):
                    verdict = failed
                case Refused(reason, retry_after):
                    verdict = NotRun(reason, "the leaf refused", retry_after)
        return Failure(verdict)

    async def _send_attempt(
        self,
        request: OnceRequest,
        shard: int,
        pin: Snapshot,
        leaf: Leaf,
        check_alive: bool,
    ) -> Outcome:
        """Send one attempt and wait for its outcome."""
        assert pin.version == ANY_VERSION
        question = request.question
        attempt = Attempt(
            id=self._tools.ids.next_id(),
            shard=shard,
            pin=pin,
            scope=question.scope,
            deadline=question.deadline,
            body=question.body,
            once_key=request.once_key,
            expires=request.expires,
            traceparent=question.traceparent,
            fingerprint=question.fingerprint,
            check_alive=check_alive,
        )
        slot = _OutcomeSlot()
        self._tools.gateway.submit(leaf, attempt, question.group, slot.deliver)
        start = self._tools.clock.monotonic()
        with trio.move_on_at(question.deadline + REPLY_GRACE):
            return await slot.wait()
        # An attempt that still waits in this instance is withdrawn, and surely did not
        # run: its outcome is then known at once.
        waited = self._tools.clock.monotonic() - start
        self._tools.gateway.cancel(leaf, attempt.id, waited)
        if slot.outcome is not None:
            return slot.outcome
        return Failed(MayHaveRun(Reason.DEADLINE, "no reply before the deadline"))


class _OutcomeSlot:
    """Holds the outcome of one attempt."""

    def __init__(self) -> None:
        self._ended = trio.Event()
        self.outcome: Outcome | None = None

    def deliver(self, attempt: Attempt, outcome: Outcome) -> None:
        """Set the outcome."""
        self.outcome = outcome
        self._ended.set()

    async def wait(self) -> Outcome:
        """Wait for the outcome."""
        await self._ended.wait()
        assert self.outcome is not None
        return self.outcome


def choose_shard(routing_key: str, shards: int) -> int:
    """Return the shard of a routing key; it is the same at every instance.

    Args:
        routing_key: the key.
        shards: number of shards.
    """
    digest = blake2b(routing_key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards
