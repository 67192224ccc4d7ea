"""Other instances that gather questions for this one, and the same for them.

A question is sent to one instance in a region that has the leafs. That one says at
once that it has it. Without that word in time, or when the instance falls silent and
the answer is overdue, the asker goes on without it.

See Also:
    `walkcart.fanout.groups.divide_services`, which decides what is asked of others.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import trio
from returns.result import Failure, Result, Success

from walkcart.fanout.groups import Group
from walkcart.fanout.ids import IdSource
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.routedquestion import RoutedFailure, RoutedQuestion
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import InstanceRecord, Registration
from walkcart.routing.peerchoice import PeerAccounts
from walkcart.routing.shares import rank_rendezvous
from walkcart.wire.delegations import (
    DelegatedAnswer,
    DelegatedCancel,
    DelegatedFailure,
    DelegatedQuestion,
    DelegatedTaken,
)
from walkcart.wire.http import HttpRequest
from walkcart.wire.messagebase import Message
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds past the objective for which the answer of an instance that was heard of
#: since is waited for.
OVERDUE_TIME = 0.05

#: Instances of a data centre among which a group's is chosen: one may be silent.
CANDIDATES = 3

Outcome = Result[MergedAnswer, RoutedFailure]
#: Gathers a question from this instance and merges it to so many records.
AskHere = Callable[[RoutedQuestion, int], Awaitable[Outcome]]


class DelegatedGroup:
    """Services of a question that another instance gathers.

    Args:
        services: their names.
        peer: the other instance.
        at: when it was asked, in seconds.
        on_end: told when it ended.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        peer: str,
        at: float,
        on_end: Callable[[], None],
    ) -> None:
        self.services = services
        self.peer = peer
        self.at = at
        self.taken = False
        self.ended = False
        self.outcome: Outcome | None = None
        self.scope = trio.CancelScope()
        self.changed = trio.Event()
        self._on_end = on_end

    @property
    def may_have_run(self) -> bool:
        """Whether its leafs may have got the request."""
        match self.outcome:
            case None | Success():
                return True
            case _:
                return isinstance(self.outcome.failure().verdict, MayHaveRun)

    def missing(self) -> tuple[tuple[str, Reason], ...]:
        """Return the services whose parts didn't come, with the reasons."""
        match self.outcome:
            case None:
                return tuple((name, Reason.UNREACHABLE) for name in self.services)
            case Success(answer):
                return answer.missing
            case _:
                failure = self.outcome.failure()
                found = dict(failure.missing)
                reason = failure.verdict.reason
                return tuple((name, found.get(name, reason)) for name in self.services)

    def cancel(self) -> None:
        """Nobody waits for it any longer."""
        self.scope.cancel()

    def note(self) -> None:
        """Wake what waits for news of it."""
        self.changed.set()
        self.changed = trio.Event()

    def end(self, outcome: Outcome | None) -> None:
        """Note how it ended; None when it must be done from here."""
        self.outcome = outcome
        self.ended = True
        self._on_end()


@dataclass(frozen=True, slots=True)
class DelegateTools:
    """What the delegates work with.

    Args:
        links: to the other instances.
        registration: knows them.
        accounts: of how they did.
        ids: names questions.
        clock: source of time.
        random: breaks ties.
        events: where lost questions are logged.
    """

    links: PeerLinks
    registration: Registration
    accounts: PeerAccounts
    ids: IdSource
    clock: Clock
    random: Random
    events: EventLog


class Delegates:
    """Sends questions to other instances and gathers theirs."""

    def __init__(self, tools: DelegateTools) -> None:
        self._tools = tools
        self._asked: dict[str, DelegatedGroup] = {}
        self._outcomes: dict[str, Outcome] = {}
        self._carried: dict[str, trio.CancelScope] = {}
        self._ask_here: AskHere | None = None
        self._nursery: trio.Nursery | None = None
        self._greeted: set[str] = set()
        tools.registration.on_change(self.open_links)
        tools.links.on(DelegatedQuestion, self._on_question)
        tools.links.on(DelegatedTaken, self._on_taken)
        tools.links.on(DelegatedAnswer, self._on_answer)
        tools.links.on(DelegatedFailure, self._on_failure)
        tools.links.on(DelegatedCancel, self._on_cancel)

    @property
    def carrying(self) -> int:
        """Questions of other instances that are in progress here."""
        return len(self._carried)

    def open_links(self) -> None:
        """Have links ready to all others: a question waits for none to come up."""
        for record in self._tools.registration.others():
            if record.name not in self._greeted:
                self._tools.links.send(record.name, DelegatedCancel(""))
        self._greeted = {item.name for item in self._tools.registration.others()}

    def connect(self, ask_here: AskHere) -> None:
        """Name how questions of others are gathered."""
        self._ask_here = ask_here

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Carry questions of others until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def submit(
        self,
        question: RoutedQuestion,
        wanted: Group,
        top: int,
        on_end: Callable[[], None],
    ) -> DelegatedGroup | None:
        """Have another instance gather some services; None when none can.

        Args:
            question: what to ask.
            wanted: the services to gather, and where.
            top: records of the merged reply at the most.
            on_end: told when the group ended.
        """
        peer = self._choose(wanted)
        if peer is None or self._nursery is None:
            return None
        now = self._tools.clock.monotonic()
        services = wanted.services
        group = DelegatedGroup(services, peer.name, now, on_end)
        id = self._tools.ids.take()
        message = self._encode(id, question, services, top, peer.name, now)
        if not self._tools.links.send(peer.name, message):
            return None
        self._asked[id] = group
        self._tools.accounts.note_sent(peer.name, now)
        self._nursery.start_soon(self._follow, id, group, question)
        return group

    async def _follow(
        self, id: str, group: DelegatedGroup, question: RoutedQuestion
    ) -> None:
        """See one group to its end."""
        outcome: Outcome | None = None
        try:
            with group.scope:
                outcome = await self._wait(id, group, question)
                if outcome is None:
                    self._note_lost(group, question)
        finally:
            del self._asked[id]
            self._outcomes.pop(id, None)
            self._tools.accounts.note_ended(group.peer)
            if outcome is None:
                self._tools.links.send(group.peer, DelegatedCancel(id))
            group.end(outcome)

    def _choose(self, wanted: Group) -> InstanceRecord | None:
        """Return the instance for a group, among few that get all like it.

        Where instances are many, the same ones are asked for the same services: they
        keep connections to the leafs and know how they are.
        """
        now = self._tools.clock.monotonic()
        place = wanted.place
        peers = {
            record.name: record
            for record in self._tools.registration.others()
            if record.data_centre == place.data_centre and record.peer_address
        }
        key = wanted.services[0]
        ranked = sorted(peers, key=lambda name: rank_rendezvous(key, name))
        names = ranked[:CANDIDATES]
        name = self._tools.accounts.choose(names, now, self._tools.random)
        return peers.get(name) if name else None

    def _encode(
        self,
        id: str,
        question: RoutedQuestion,
        services: tuple[str, ...],
        top: int,
        peer: str,
        now: float,
    ) -> DelegatedQuestion:
        way = self._tools.accounts.round_trip(peer)
        return DelegatedQuestion(
            id=id,
            request=question.id,
            kind=question.kind,
            method=question.request.method,
            target=question.request.target,
            headers=question.request.headers,
            body=question.request.body,
            services=services,
            top=top,
            least_coverage=find_least_part(question, len(services)),
            most_attempts=question.most_attempts,
            remaining=max(0.0, question.deadline - now - way),
            objective=min(1e6, max(0.0, question.objective_at - now - way)),
            traceparent=question.traceparent,
        )

    async def _wait(
        self, id: str, group: DelegatedGroup, question: RoutedQuestion
    ) -> Outcome | None:
        """Wait for the outcome while there is hope of one."""
        accounts = self._tools.accounts
        while id not in self._outcomes:
            now = self._tools.clock.monotonic()
            if not group.taken:
                due = group.at + accounts.patience(group.peer)
            else:
                due = question.deadline
                if accounts.heard_at(group.peer) <= group.at + OVERDUE_TIME:
                    due = min(due, question.objective_at + OVERDUE_TIME)
            if now >= due:
                return None
            changed = group.changed
            with trio.move_on_at(due):
                await changed.wait()
        return self._outcomes[id]

    def _note_lost(self, group: DelegatedGroup, question: RoutedQuestion) -> None:
        now = self._tools.clock.monotonic()
        if now < question.deadline:
            self._tools.accounts.note_silent(group.peer, now)
        self._tools.events.emit(
            Events.DELEGATE_LOST,
            request=question.id,
            peer=group.peer,
            taken=group.taken,
            waited_ms=round((now - group.at) * 1000),
        )

    def _on_taken(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedTaken)
        now = self._tools.clock.monotonic()
        group = self._asked.get(message.id)
        if group is None or group.peer != sender:
            return
        self._tools.accounts.note_taken(sender, now, now - group.at)
        group.taken = True
        group.note()

    def _on_answer(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedAnswer)
        missing = tuple((name, _read_reason(text)) for name, text in message.missing)
        answer = MergedAnswer(
            message.body, message.proofs, missing, message.sent, message.repeats
        )
        self._end(sender, message.id, Success(answer))

    def _on_failure(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedFailure)
        reason = _read_reason(message.reason)
        verdict: NotRun | MayHaveRun = MayHaveRun(reason, message.detail)
        if not message.may_have_run:
            verdict = NotRun(reason, message.detail)
        failure = RoutedFailure(verdict, sent=message.sent)
        self._end(sender, message.id, Failure(failure))

    def _end(self, sender: str, id: str, outcome: Outcome) -> None:
        group = self._asked.get(id)
        if group is None or group.peer != sender:
            return
        now = self._tools.clock.monotonic()
        self._tools.accounts.note_answer(sender, now, now - group.at)
        self._outcomes[id] = outcome
        group.note()

    def _on_question(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedQuestion)
        if self._nursery is None or self._ask_here is None:
            return
        self._tools.links.send(sender, DelegatedTaken(message.id))
        scope = self._carried[message.id] = trio.CancelScope()
        self._nursery.start_soon(self._carry, sender, message, scope)

    def _on_cancel(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedCancel)
        scope = self._carried.get(message.id)
        if scope is not None:
            scope.cancel()

    async def _carry(
        self, sender: str, message: DelegatedQuestion, scope: trio.CancelScope
    ) -> None:
        """Gather one question of another instance and send what came of it."""
        assert self._ask_here is not None
        try:
            with scope:
                question = decode_question(message, self._tools.clock.monotonic())
                outcome = await self._ask_here(question, message.top)
                self._tools.links.send(sender, _encode_outcome(message.id, outcome))
        finally:
            del self._carried[message.id]


def find_least_part(question: RoutedQuestion, count: int) -> float:
    """Return the share of a group that must be in if all other parts are.

    Args:
        question: that the group belongs to.
        count: services of the group.

    Examples:
        >>> request = HttpRequest("GET", "/")
        >>> names = tuple("abcdefghij")
        >>> question = RoutedQuestion("q", "k", request, names, 1.0, least_coverage=0.8)
        >>> find_least_part(question, 4)
        0.5
    """
    total = len(question.services)
    needed = math.ceil(question.least_coverage * total - 1e-9) - (total - count)
    return max(0, needed) / count


def decode_question(message: DelegatedQuestion, now: float) -> RoutedQuestion:
    """Return the question that a message asks for, on this instance's clock."""
    return RoutedQuestion(
        id=message.request,
        kind=message.kind,
        request=HttpRequest(
            message.method, message.target, message.headers, message.body
        ),
        services=message.services,
        deadline=now + message.remaining,
        objective_at=now + message.objective,
        least_coverage=message.least_coverage,
        most_attempts=message.most_attempts,
        whole_parts=True,
        traceparent=message.traceparent,
    )


def _encode_outcome(id: str, outcome: Outcome) -> Message:
    match outcome:
        case Success(answer):
            missing = tuple((name, reason.value) for name, reason in answer.missing)
            return DelegatedAnswer(
                id, answer.body, answer.proofs, missing, answer.sent, answer.repeats
            )
        case _:
            failure = outcome.failure()
            verdict = failure.verdict
            ran = isinstance(verdict, MayHaveRun)
            return DelegatedFailure(
                id, ran, verdict.reason.value, verdict.detail, failure.sent
            )


def _read_reason(text: str) -> Reason:
    """Return the reason that a text names; a later version may know others."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL
