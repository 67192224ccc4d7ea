"""Gathers parts of questions for other instances.

The asking instance may have gone on by itself, or ended, before a question arrives or
while it is in progress. So a question that was in transit for too long is rejected, one
whose cancellation arrived first isn't begun, and one that isn't renewed is abandoned.

See Also:
    `walkcart.fanout.delegationclient.DelegationClient`, the asking side.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

import trio
from returns.result import Failure

from walkcart.fanout.activequestion import RENEWAL_TIMEOUT, ActiveQuestion
from walkcart.fanout.delegatedgroup import Outcome
from walkcart.fanout.delegationcodec import (
    decode_question,
    encode_outcome,
)
from walkcart.fanout.handover import Handover
from walkcart.fanout.lentrepeats import encode_services
from walkcart.fanout.mergedanswer import MissingPart
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.quarantines import Quarantines
from walkcart.fanout.routedquestion import RoutedFailure, RoutedQuestion
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.links import PeerLinks
from walkcart.wire.delegations import (
    DelegatedCancel,
    DelegatedQuestion,
    DelegatedRenewal,
    DelegatedTaken,
)
from walkcart.wire.messagebase import Message
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds in transit after which a question isn't begun: the asker has long gone on by
#: itself (`walkcart.routing.peerchoice.BASE_MAX_TIMEOUT`), and its caller may have
#: left. Leaves must be idle half a second after a caller has left.
MAX_AGE = 0.2
#: Seconds in transit that a question's times allow for: a round trip to another region,
#: since the age of a message is known to within the time of one direction.
USUAL_TRANSIT_TIME = 0.03
#: Seconds for which the arrival, cancellation or end of a question is remembered, to
#: recognize a copy that arrives later. Past `MAX_AGE` a copy would be rejected as "not
#: run", which its sender may rely on for as long as it waits.
HISTORY_TTL = 5.0
#: Maximum number of questions that are remembered in this way: those of 5 s at 3,000 a
#: second. Beyond it the oldest are forgotten.
MAX_HISTORY = 1 << 14

#: Key of a question: its sender, and the id that the sender gave it. Two senders may
#: use the same id, and a sender can't cancel or renew a question of another.
QuestionKey = tuple[str, str]
#: Gathers the parts of a question and merges them to at most the given number of
#: records.
Gather = Callable[[RoutedQuestion, int, Handover], Awaitable[Outcome]]


class DelegationServer:
    """Accepts questions of other instances, gathers them and sends the results.

    Args:
        links: links to the other instances.
        clock: source of time.
        gather: gathers one question.
        usual_high: returns a high estimate of the seconds that requests of a kind take
            at nearby leaves.
        events: log of rejected and abandoned questions.
        quarantines: requests under which leaves crashed.
        origins: finds the team of a question.
    """

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        gather: Gather,
        usual_high: Callable[[str], float],
        events: EventLog,
        quarantines: Quarantines,
        origins: RequestOrigins,
    ) -> None:
        self._origins = origins
        self._quarantines = quarantines
        self._links = links
        self._clock = clock
        self._gather = gather
        self._usual_high = usual_high
        self._events = events
        self._active: dict[QuestionKey, ActiveQuestion] = {}
        #: When questions were cancelled or ended, for copies that may arrive later.
        self._closed_at: OrderedDict[QuestionKey, float] = OrderedDict()
        #: When questions arrived, by id and request id, whoever sent them.
        self._begun_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._nursery: trio.Nursery | None = None
        self._stopping = False
        links.on_with_age(DelegatedQuestion, self._on_question)
        links.on(DelegatedCancel, self._on_cancel)
        links.on_with_age(DelegatedRenewal, self._on_renewal)

    def stop_accepting(self) -> None:
        """Reject new questions, because this instance stops.

        The asker turns to another instance at once. An instance that accepted questions
        while stopping would never run out of them, and would have to cut those in
        progress when its time to stop was up.
        """
        self._stopping = True

    @property
    def active_count(self) -> int:
        """Number of questions of other instances in progress here."""
        return len(self._active)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Gather questions until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def _on_question(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, DelegatedQuestion)
        key = (sender, message.id)
        copy_key = (message.id, message.request)
        known = (
            copy_key in self._begun_at or key in self._closed_at or key in self._active
        )
        if self._nursery is None or known:
            # The question was cancelled before it arrived, or this is a copy, and its
            # sender has or gets the answer. "Not run", as for a stale one, would be
            # untrue: 3 of 300 questions ran on more leaves than allowed where one in
            # seven arrived twice.
            return
        if self._stopping:
            self._reject(sender, message, Reason.STOPPING, "the instance stops")
            return
        if age > MAX_AGE:
            self._reject_stale(sender, message, age)
            return
        if self._quarantines.is_restricted(message, self._origins):
            detail = "leafs end when they run this request"
            self._reject(sender, message, Reason.QUARANTINED, detail)
            return
        high = self._usual_high(message.kind)
        self._links.send(sender, DelegatedTaken(message.id, high))
        scope = trio.CancelScope(deadline=trio.current_time() + RENEWAL_TIMEOUT)
        send = partial(self._links.send, sender)
        handover = Handover(message.id, message.services, send)
        until = self._clock.monotonic() - age + RENEWAL_TIMEOUT
        self._active[key] = active = ActiveQuestion(scope, handover, self._clock, until)
        _record_time(self._begun_at, copy_key, self._clock.monotonic())
        late = max(0.0, age - USUAL_TRANSIT_TIME)
        self._nursery.start_soon(self._gather_question, sender, message, late, active)

    def _reject(
        self, sender: str, message: DelegatedQuestion, reason: Reason, detail: str
    ) -> None:
        """Reply that a question wasn't begun."""
        missing = tuple(MissingPart(name, reason, 0) for name in message.services)
        failure = RoutedFailure(NotRun(reason, detail), missing=missing)
        self._links.send(sender, encode_outcome(message.id, Failure(failure)))

    def _reject_stale(
        self, sender: str, message: DelegatedQuestion, age: float
    ) -> None:
        """Reply that a question wasn't begun because it is, or may be, too old.

        The envelope of the reply carries this instance's clock, from which the age of
        the sender's next question can be computed.
        """
        detail = "the question was on its way for too long"
        self._reject(sender, message, Reason.UNREACHABLE, detail)
        waited = None if age == float("inf") else round(age * 1000)
        self._events.emit(
            Events.QUESTION_STALE,
            request=message.request,
            peer=sender,
            waited_ms=waited,
        )

    def _on_cancel(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedCancel)
        key = (sender, message.id)
        active = self._active.get(key)
        if active is not None:
            active.cancelled = True
            active.scope.cancel()
        self._remember_closed(key)
        if message.unheard:
            # The connection on which this instance answers may be dead.
            self._links.reconnect(sender)

    def _remember_closed(self, key: QuestionKey) -> None:
        _record_time(self._closed_at, key, self._clock.monotonic())

    def _on_renewal(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, DelegatedRenewal)
        active = self._active.get((sender, message.id))
        if active is not None:
            active.renew(age)

    async def _gather_question(
        self,
        sender: str,
        message: DelegatedQuestion,
        late: float,
        active: ActiveQuestion,
    ) -> None:
        """Gather one question of another instance and send its outcome."""
        handover = active.handover
        key = (sender, message.id)
        try:
            with active.scope:
                # A cancellation that arrived together with the question takes effect
                # here, before anything is sent.
                await trio.lowlevel.checkpoint()
                now = self._clock.monotonic() - late
                question = decode_question(message, now, self._origins)
                question = replace(question, is_wanted=active.is_wanted)
                outcome = await self._gather(question, message.top, handover)
                if handover.is_settled:
                    handover.end()
                else:
                    unspent = question.lent.release() if question.lent else ()
                    bits = encode_services(message.services, unspent)
                    answer = encode_outcome(message.id, outcome, bits)
                    self._links.send(sender, answer)
        except Exception as error:
            self._report_fault(sender, message, error)
        finally:
            del self._active[key]
            self._remember_closed(key)
        if active.scope.cancelled_caught and not active.cancelled:
            self._report_abandoned(sender, message)

    def _report_fault(
        self, sender: str, message: DelegatedQuestion, error: Exception
    ) -> None:
        """Report a fault of this program to the sender; it ends this question only."""
        log_task_error(self._events, f"question of {sender}", error)
        verdict = MayHaveRun(Reason.INTERNAL, "a fault of walkcart")
        outcome: Outcome = Failure(RoutedFailure(verdict))
        self._links.send(sender, encode_outcome(message.id, outcome))

    def _report_abandoned(self, sender: str, message: DelegatedQuestion) -> None:
        """Report an abandoned question, in case its sender is alive after all."""
        self._events.emit(
            Events.QUESTION_ABANDONED, request=message.request, peer=sender
        )
        verdict = MayHaveRun(Reason.CANCELLED, "the question wasn't renewed")
        outcome: Outcome = Failure(RoutedFailure(verdict))
        self._links.send(sender, encode_outcome(message.id, outcome))


def _record_time(
    known: OrderedDict[tuple[str, str], float], key: tuple[str, str], now: float
) -> None:
    """Record that `key` was seen now, and drop entries older than `HISTORY_TTL`."""
    known[key] = now
    known.move_to_end(key)
    while known:
        first, seen_at = next(iter(known.items()))
        if seen_at > now - HISTORY_TTL and len(known) <= MAX_HISTORY:
            break
        del known[first]
