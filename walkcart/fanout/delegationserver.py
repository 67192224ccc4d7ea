"""Parts of questions that this instance gathers for others.

Whoever asked may have gone on without it, or ended, before a question arrives or while
it is worked on. So a question that was on its way for long is turned down, one whose
cancellation came first isn't begun, and one that isn't renewed is given up.

See Also:
    `walkcart.fanout.delegationclient.DelegationClient`, the asking side.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio
from returns.result import Failure

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

#: Seconds after which a question that was on its way isn't begun: the asker went on
#: without it long ago (`walkcart.routing.peerchoice.LONGEST_PATIENCE`), and its caller
#: may have left. Leafs must be idle half a second after that.
MAX_AGE = 0.2
#: Seconds on its way that a question's times allow for: to another region and back,
#: since its age is known to within one way.
USUAL_AGE = 0.03
#: Seconds without a renewal after which a question is given up: within the half second
#: that leafs may work on for a caller that left, and three renewals.
RENEWAL_TIMEOUT = 0.4
#: Seconds for which a question's coming, cancellation or end is kept, for the same one
#: that comes after it, or once more. A question isn't begun `MAX_AGE` after it left,
#: but said to be "not run", which its sender may rely on for as long as it waits.
CLOSED_MEMORY = 5.0


@dataclass(slots=True)
class _Carried:
    """A question in progress and the means to end it or hand it over."""

    scope: trio.CancelScope
    handover: Handover
    cancelled: bool = False


#: Names a question here: its sender and the id that this one gave it. Ids of two
#: senders may be alike, and nobody cancels or renews a question of another.
QuestionKey = tuple[str, str]
#: Gathers a question from this instance and merges it to so many records.
Gather = Callable[[RoutedQuestion, int, Handover], Awaitable[Outcome]]


class DelegationServer:
    """Gathers for other instances.

    Args:
        links: to them.
        clock: source of time.
        gather: gathers one question.
        usual_high: returns a long time for a kind of request at leafs that are near.
        events: where questions that aren't worked on are logged.
        quarantines: requests under which leafs ended.
        origins: tells whose a question is.
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
        self._carried: dict[QuestionKey, _Carried] = {}
        #: When questions were cancelled or ended, for messages that may yet come.
        self._closed: dict[QuestionKey, float] = {}
        #: When questions came, by what tells them from all others, whoever sent them.
        self._begun: dict[tuple[str, str], float] = {}
        self._nursery: trio.Nursery | None = None
        self._stopping = False
        links.on_with_age(DelegatedQuestion, self._on_question)
        links.on(DelegatedCancel, self._on_cancel)
        links.on(DelegatedRenewal, self._on_renewal)

    def stop_accepting(self) -> None:
        """Turn new questions down: this instance stops.

        Who asks goes on with another one at once. Where it went on taking them, it
        never ran out, and cut those that it had when its time was up.
        """
        self._stopping = True

    @property
    def active_count(self) -> int:
        """Questions of other instances that are in progress here."""
        return len(self._carried)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Carry questions until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def _on_question(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, DelegatedQuestion)
        key = (sender, message.id)
        copy = (message.id, message.request)
        known = copy in self._begun or key in self._closed or key in self._carried
        if self._nursery is None or known:
            # Cancelled before it came, or come once more: its sender has its answer,
            # or gets it. "Not run", as of a late one, would be untrue: 3 of 300
            # questions ran on more leafs than allowed where one in seven came twice.
            return
        if self._stopping:
            self._turn_down(sender, message, Reason.STOPPING, "the instance stops")
            return
        if age > MAX_AGE:
            self._turn_down_stale(sender, message, age)
            return
        if self._quarantines.is_restricted(message, self._origins):
            detail = "leafs end when they run this request"
            self._turn_down(sender, message, Reason.QUARANTINED, detail)
            return
        high = self._usual_high(message.kind)
        self._links.send(sender, DelegatedTaken(message.id, high))
        scope = trio.CancelScope(deadline=trio.current_time() + RENEWAL_TIMEOUT)
        send = partial(self._links.send, sender)
        handover = Handover(message.id, message.services, send)
        self._carried[key] = carried = _Carried(scope, handover)
        _remember(self._begun, copy, self._clock.monotonic())
        late = max(0.0, age - USUAL_AGE)
        self._nursery.start_soon(self._carry, sender, message, late, carried)

    def _turn_down(
        self, sender: str, message: DelegatedQuestion, reason: Reason, detail: str
    ) -> None:
        """Don't begin a question, and say so."""
        missing = tuple(MissingPart(name, reason, 0) for name in message.services)
        failure = RoutedFailure(NotRun(reason, detail), missing=missing)
        self._links.send(sender, encode_outcome(message.id, Failure(failure)))

    def _turn_down_stale(
        self, sender: str, message: DelegatedQuestion, age: float
    ) -> None:
        """Don't begin a question that is old, or may be, and say so.

        The envelope of this answer tells the sender what this instance's clock shows,
        by which the age of its next question is known.
        """
        detail = "the question was on its way for too long"
        self._turn_down(sender, message, Reason.UNREACHABLE, detail)
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
        carried = self._carried.get(key)
        if carried is not None:
            carried.cancelled = True
            carried.scope.cancel()
        self._remember_closed(key)
        if message.unheard:
            # The connection by which this instance answers may have gone silent.
            self._links.reconnect(sender)

    def _remember_closed(self, key: QuestionKey) -> None:
        _remember(self._closed, key, self._clock.monotonic())

    def _on_renewal(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedRenewal)
        carried = self._carried.get((sender, message.id))
        if carried is not None:
            carried.scope.deadline = trio.current_time() + RENEWAL_TIMEOUT
            carried.handover.confirm()

    async def _carry(
        self,
        sender: str,
        message: DelegatedQuestion,
        late: float,
        carried: _Carried,
    ) -> None:
        """Gather one question of another instance and send what came of it."""
        handover = carried.handover
        key = (sender, message.id)
        try:
            with carried.scope:
                # A cancellation that came with the question is seen here, before
                # anything is sent.
                await trio.lowlevel.checkpoint()
                now = self._clock.monotonic() - late
                question = decode_question(message, now, self._origins)
                outcome = await self._gather(question, message.top, handover)
                if handover.done:
                    handover.end()
                else:
                    unspent = question.lent.release() if question.lent else ()
                    bits = encode_services(message.services, unspent)
                    answer = encode_outcome(message.id, outcome, bits)
                    self._links.send(sender, answer)
        except Exception as error:
            self._note_fault(sender, message, error)
        finally:
            del self._carried[key]
            self._remember_closed(key)
        if carried.scope.cancelled_caught and not carried.cancelled:
            self._give_up(sender, message)

    def _note_fault(
        self, sender: str, message: DelegatedQuestion, error: Exception
    ) -> None:
        """End one question by a fault of this program, and nothing else."""
        log_task_error(self._events, f"question of {sender}", error)
        verdict = MayHaveRun(Reason.INTERNAL, "a fault of walkcart")
        outcome: Outcome = Failure(RoutedFailure(verdict))
        self._links.send(sender, encode_outcome(message.id, outcome))

    def _give_up(self, sender: str, message: DelegatedQuestion) -> None:
        """Say that a question was given up, in case its sender lives after all."""
        self._events.emit(
            Events.QUESTION_ABANDONED, request=message.request, peer=sender
        )
        verdict = MayHaveRun(Reason.CANCELLED, "the question wasn't renewed")
        outcome: Outcome = Failure(RoutedFailure(verdict))
        self._links.send(sender, encode_outcome(message.id, outcome))


def _remember(
    known: dict[tuple[str, str], float], key: tuple[str, str], now: float
) -> None:
    """Note that `key` was seen now, and forget what was seen long ago."""
    known.pop(key, None)
    known[key] = now
    while known:
        first = next(iter(known))
        if known[first] > now - CLOSED_MEMORY:
            break
        del known[first]
