"""Forwarding of leaf requests to the instances that hold the leaf's connections.

Attempts for one holder that are submitted together go in one message, and so do the
outcomes that are ready together.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.spans import Tracer
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import BadSnapshot, Leaf
from walkcart.leaves.outcome_headers import encode_outcome_headers
from walkcart.leaves.protocol import (
    LeafStatus,
    decode_attempt,
    encode_attempt,
    read_outcome,
    read_status,
)
from walkcart.membership.links import PeerLinks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.http import HttpReply
from walkcart.wire.messages import (
    ForwardAsk,
    ForwardCancel,
    ForwardedAttempt,
    ForwardedOutcome,
    ForwardReply,
    MemberRecord,
    Message,
)
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from opentelemetry.trace import Span

#: Seconds after the deadline in which a holder's answer is still accepted.
ANSWER_GRACE = 1.0
#: Largest age in seconds at which a holder still sends a forwarded attempt to the leaf:
#: an older one's question may have been answered, or its caller gone, half a second
#: before.
MAX_ASK_AGE = 0.2


@dataclass(frozen=True, slots=True)
class _Sent:
    """An attempt that was forwarded to a holder and has no outcome yet."""

    holder: str
    attempt: Attempt
    leaf: Leaf
    deliver: Deliver
    span: Span | None


#: Sends an attempt over this instance's own connections to a leaf's address; returns
#: False if this instance holds none.
SubmitHere = Callable[[str, Attempt, Deliver], bool]


class Forwarder:
    """Forwards attempts to holders, and sends those that others forward.

    Args:
        links: links to the peers.
        view: states of the peers.
        clock: source of time.
        on_status: called with what a leaf states about itself.
        tracer: makes a span for each forwarded attempt.
    """

    def __init__(
        self,
        links: PeerLinks,
        view: MembershipView,
        clock: Clock,
        on_status: Callable[[Leaf, LeafStatus], None],
        tracer: Tracer,
    ) -> None:
        self._links = links
        self._clock = clock
        self._on_status = on_status
        self._tracer = tracer
        self._submit_here: SubmitHere | None = None
        self._cancel_here: Callable[[str, str], None] | None = None
        self._find_leaf: Callable[[str], Leaf | None] | None = None
        self._sent: dict[str, _Sent] = {}
        self._count_by_holder: Counter[str] = Counter()
        #: Sender and leaf of the attempts of others that are in progress here, by id.
        self._accepted: dict[str, tuple[str, str]] = {}
        self._asks: dict[str, list[ForwardedAttempt]] = {}
        self._replies: dict[str, list[ForwardedOutcome]] = {}
        self._wakeup = trio.Event()
        links.on_with_age(ForwardAsk, self._on_ask)
        links.on(ForwardReply, self._on_reply)
        links.on(ForwardCancel, self._on_cancel)
        view.on_change(self._on_member_change)

    def set_local_access(
        self,
        submit_here: SubmitHere,
        cancel_here: Callable[[str, str], None],
        find_leaf: Callable[[str], Leaf | None],
    ) -> None:
        """Set how this instance's own connections are used.

        Args:
            submit_here: sends an attempt over them.
            cancel_here: cancels an attempt, given the leaf's address and its id.
            find_leaf: returns the leaf at an address.
        """
        self._submit_here = submit_here
        self._cancel_here = cancel_here
        self._find_leaf = find_leaf

    @property
    def active_count(self) -> int:
        """Number of attempts of other instances that are in progress here."""
        return len(self._accepted)

    def in_progress_at(self, holder: str) -> int:
        """Return the number of this instance's attempts that `holder` has."""
        return self._count_by_holder[holder]

    def submit(
        self, holder: str, leaf: Leaf, attempt: Attempt, deliver: Deliver
    ) -> None:
        """Forward `attempt` to `holder`; `deliver` is called once with its outcome."""
        remaining = attempt.deadline - self._clock.monotonic()
        span = self._tracer.start(
            "peer.forward", attempt.traceparent, attempt=attempt.id, holder=holder
        )
        traceparent = self._tracer.inject(span, attempt.traceparent)
        request = encode_attempt(replace(attempt, traceparent=traceparent), remaining)
        forwarded = ForwardedAttempt(
            attempt.id,
            leaf.address,
            remaining,
            request.target,
            request.headers,
            request.body,
            attempt.repeatable,
        )
        self._sent[attempt.id] = _Sent(holder, attempt, leaf, deliver, span)
        self._count_by_holder[holder] += 1
        self._asks.setdefault(holder, []).append(forwarded)
        self._wakeup.set()

    def cancel(self, attempt_id: str) -> bool:
        """Send a cancel to the attempt's holder; return False if no holder has it."""
        sent = self._sent.get(attempt_id)
        if sent is None:
            return False
        self._links.send(sent.holder, ForwardCancel((attempt_id,)))
        return True

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Send queued messages and expire unanswered attempts, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            task_status.started()
            while True:
                await self._wakeup.wait()
                self._wakeup = trio.Event()
                # Lets all tasks that are ready to run add to the batch.
                await trio.sleep(0)
                self._flush()

    def _flush(self) -> None:
        asks, self._asks = self._asks, {}
        for holder, attempts in asks.items():
            if self._links.send(holder, ForwardAsk(tuple(attempts))):
                continue
            for forwarded in attempts:
                detail = f"no message could be queued for {holder}"
                self._finish(forwarded.id, Failed(NotRun(Reason.UNREACHABLE, detail)))
        replies, self._replies = self._replies, {}
        for asker, outcomes in replies.items():
            self._links.send(asker, ForwardReply(tuple(outcomes)))

    async def _expire(self) -> None:
        while True:
            await trio.sleep(ANSWER_GRACE / 2)
            limit = self._clock.monotonic() - ANSWER_GRACE
            late = [
                id for id, sent in self._sent.items() if sent.attempt.deadline < limit
            ]
            for id in late:
                verdict = MayHaveRun(Reason.DEADLINE, "the holder didn't answer")
                self._finish(id, Failed(verdict))

    def _finish(self, id: str, outcome: Outcome) -> None:
        sent = self._sent.pop(id, None)
        if sent is not None:
            self._count_by_holder[sent.holder] -= 1
            if sent.span is not None:
                sent.span.end()
            sent.deliver(sent.attempt, outcome)

    def _on_member_change(self, old: MemberRecord | None, new: MemberRecord) -> None:
        """End the attempts at a holder that is suspected or was restarted."""
        same_life = old is None or old.incarnation in (0, new.incarnation)
        if same_life and new.state < MemberState.SUSPECT:
            return
        lost = [id for id, sent in self._sent.items() if sent.holder == new.name]
        for id in lost:
            detail = f"the holder {new.name} doesn't answer"
            self._finish(id, Failed(MayHaveRun(Reason.UNREACHABLE, detail)))

    def _on_reply(self, sender: str, message: Message) -> None:
        assert isinstance(message, ForwardReply)
        for outcome in message.outcomes:
            sent = self._sent.get(outcome.id)
            if sent is None or sent.holder != sender:
                continue
            if outcome.headers:
                self._on_status(sent.leaf, read_status(dict(outcome.headers)))
            self._finish(outcome.id, _read_forwarded(sent.attempt, outcome))

    def _on_ask(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, ForwardAsk)
        for forwarded in message.attempts:
            if age > MAX_ASK_AGE:
                verdict = NotRun(Reason.UNREACHABLE, "it was on its way for too long")
                self._answer(sender, forwarded, Failed(verdict))
            else:
                self._submit_for(sender, forwarded)

    def _submit_for(self, sender: str, forwarded: ForwardedAttempt) -> None:
        """Send another instance's attempt over this instance's connections."""

        def answer(attempt: Attempt, outcome: Outcome) -> None:
            self._accepted.pop(attempt.id, None)
            self._answer(sender, forwarded, outcome)

        held = self._accepted.get(forwarded.id)
        if held is not None:
            if held[0] != sender:
                verdict = NotRun(Reason.INTERNAL, "the attempt's id is in use")
                self._answer(sender, forwarded, Failed(verdict))
            # Otherwise it is a duplicate message; the attempt is answered once.
            return
        deadline = self._clock.monotonic() + forwarded.remaining
        try:
            attempt = decode_attempt(forwarded.headers, forwarded.id, deadline)
        except (BadSnapshot, KeyError, ValueError):
            verdict = NotRun(Reason.INTERNAL, "the forwarded attempt can't be read")
            self._answer(sender, forwarded, Failed(verdict))
            return
        attempt = replace(attempt, body=forwarded.body)
        self._accepted[attempt.id] = (sender, forwarded.leaf)
        assert self._submit_here is not None
        if not self._submit_here(forwarded.leaf, attempt, answer):
            verdict = NotRun(Reason.NO_LEAF, "this instance holds no connection")
            answer(attempt, Failed(verdict))

    def _on_cancel(self, sender: str, message: Message) -> None:
        assert isinstance(message, ForwardCancel)
        for id in message.ids:
            owner, address = self._accepted.get(id, ("", ""))
            if owner == sender and self._cancel_here is not None:
                self._cancel_here(address, id)

    def _answer(
        self, asker: str, forwarded: ForwardedAttempt, outcome: Outcome
    ) -> None:
        assert self._find_leaf is not None
        leaf = self._find_leaf(forwarded.leaf)
        packed = _pack_outcome(forwarded.id, outcome, leaf)
        self._replies.setdefault(asker, []).append(packed)
        self._wakeup.set()


def _pack_outcome(id: str, outcome: Outcome, leaf: Leaf | None) -> ForwardedOutcome:
    headers = encode_outcome_headers(outcome, leaf)
    match outcome:
        case Replied(_, _, status, body, elapsed):
            return ForwardedOutcome(id, status, headers, body, True, "", elapsed)
        case Refused(reason, _):
            status = 409 if reason is Reason.VERSION_NOT_HELD else 503
            status = 504 if reason is Reason.DEADLINE else status
            return ForwardedOutcome(id, status, headers, b"", False, reason.value, 0.0)
        case Failed(verdict):
            may_have_run = isinstance(verdict, MayHaveRun)
            reason = verdict.reason.value
            return ForwardedOutcome(id, 0, headers, b"", may_have_run, reason, 0.0)


def _read_forwarded(attempt: Attempt, outcome: ForwardedOutcome) -> Outcome:
    if outcome.status:
        reply = HttpReply(outcome.status, outcome.headers, outcome.body)
        found = dict(outcome.headers)
        return read_outcome(attempt, reply, found, outcome.elapsed)
    try:
        reason = Reason(outcome.reason)
    except ValueError:
        reason = Reason.INTERNAL
    if outcome.may_have_run:
        return Failed(MayHaveRun(reason, "at the holder"))
    return Failed(NotRun(reason, "at the holder"))
