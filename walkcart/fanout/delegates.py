"""Other instances that gather parts of questions for this one.

A question is sent to one instance in a region that has the leafs. That one says at
once that it has it. Without that word in time, or when the instance falls silent and
the answer is overdue, the asker goes on without it.

See Also:
    `walkcart.fanout.carrying.Carrier`, the other side.
    `walkcart.fanout.groups.divide_services`, which decides what is asked of others.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from returns.result import Failure, Success

from walkcart.fanout.delegatedgroup import DelegatedGroup, Outcome
from walkcart.fanout.delegatetools import DelegateTools, take_in_messages
from walkcart.fanout.delegationcodec import (
    Delegation,
    decode_missing,
    encode_question,
    read_reason,
)
from walkcart.fanout.groups import Group
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.routedquestion import RoutedFailure, RoutedQuestion
from walkcart.kernel.events import Events
from walkcart.membership.registration import InstanceRecord
from walkcart.routing.settling import GroupTimes
from walkcart.routing.shares import rank_rendezvous
from walkcart.wire.delegations import (
    DelegatedAnswer,
    DelegatedCancel,
    DelegatedFailure,
    DelegatedPart,
    DelegatedQuestion,
    DelegatedRenewal,
    DelegatedTaken,
)
from walkcart.wire.messagebase import Message
from walkcart.wire.verdicts import MayHaveRun, NotRun

#: Seconds past the objective for which the answer of an instance that was heard of
#: since is waited for.
OVERDUE_TIME = 0.05

#: Seconds between two renewals of a question that takes long: three go within
#: `walkcart.fanout.carrying.HOLD_TIME`, so that a lost or late one does no harm.
RENEWAL_INTERVAL = 0.12

#: Fleets up to this size have links to all others; past it each one opens those that
#: it needs, with its first question there.
MOST_GREETED = 100
#: Instances of a data centre among which a group's is chosen: one may be silent.
CANDIDATES = 3


class Delegates:
    """Sends parts of questions to other instances."""

    def __init__(self, tools: DelegateTools) -> None:
        self._tools = tools
        self._asked: dict[str, DelegatedGroup] = {}
        self._outcomes: dict[str, Outcome] = {}
        self._nursery: trio.Nursery | None = None
        self._greeted: set[str] = set()
        self.times = GroupTimes()
        tools.registration.on_change(self.open_links)
        tools.links.on(DelegatedTaken, self._on_taken)
        tools.links.on(DelegatedAnswer, self._on_answer)
        tools.links.on(DelegatedPart, self._on_part)
        tools.links.on(DelegatedFailure, self._on_failure)

    def open_links(self) -> None:
        """Have links ready to others: a question waits for none to come up."""
        others = self._tools.registration.others()
        if len(others) <= MOST_GREETED:
            for record in others:
                if record.name not in self._greeted:
                    self._tools.links.send(record.name, DelegatedCancel(""))
        self._greeted = {item.name for item in others}

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow what others were asked until cancelled."""
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
        group = DelegatedGroup(
            services,
            wanted.place,
            question.kind,
            question.most_attempts,
            peer.name,
            now,
            on_end,
        )
        id = self._tools.ids.take()
        accounts = self._tools.accounts
        delegation = Delegation(id, services, top, accounts.round_trip(peer.name))
        message = encode_question(question, delegation, now)
        if not self._tools.links.send(peer.name, message):
            return None
        self._asked[id] = group
        self._tools.accounts.note_sent(peer.name, now)
        self._nursery.start_soon(self._follow, message, group, question)
        return group

    async def _follow(
        self,
        message: DelegatedQuestion,
        group: DelegatedGroup,
        question: RoutedQuestion,
    ) -> None:
        """See one group to its end."""
        id = message.id
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
                self._take_back(message, group)
            group.end(outcome)

    def _take_back(self, message: DelegatedQuestion, group: DelegatedGroup) -> None:
        """Have the other instance stop, and make a new link if it seems silent.

        A question that still waits to be sent is not sent at all.
        """
        links = self._tools.links
        id = message.id
        group.unsent = links.withdraw(group.peer, message)
        unheard = self._tools.accounts.heard_at(group.peer) < group.at
        lost = unheard and not group.scope.cancel_called
        if not group.unsent:
            links.send(group.peer, DelegatedCancel(id, lost))
        if lost:
            links.renew(group.peer)

    def _choose(self, wanted: Group) -> InstanceRecord | None:
        """Return the instance for a group, among few that get all like it.

        One that wasn't heard of yet may still be starting, and would turn it down.
        Where instances are many, the same ones are asked for the same services: they
        keep connections to the leafs and know how they are.
        """
        now = self._tools.clock.monotonic()
        place = wanted.place
        peers = {
            record.name: record
            for record in self._tools.registration.others()
            if record.data_centre == place.data_centre
            and self._tools.links.has_heard_of(record.name)
        }
        key = wanted.services[0]
        ranked = sorted(peers, key=lambda name: rank_rendezvous(key, name))
        names = ranked[:CANDIDATES]
        name = self._tools.accounts.choose(names, now, self._tools.random)
        return peers.get(name) if name else None

    async def _wait(
        self, id: str, group: DelegatedGroup, question: RoutedQuestion
    ) -> Outcome | None:
        """Wait for the outcome while there is hope of one."""
        accounts = self._tools.accounts
        renew_at = group.at + RENEWAL_INTERVAL
        while id not in self._outcomes:
            now = self._tools.clock.monotonic()
            if group.taken and now >= renew_at:
                self._tools.links.send(group.peer, DelegatedRenewal(id))
                renew_at = now + RENEWAL_INTERVAL
            if group.handed is not None:
                due = question.deadline
            elif not group.taken:
                due = group.at + accounts.patience(group.peer)
            else:
                due = question.deadline
                if accounts.heard_at(group.peer) <= group.at + OVERDUE_TIME:
                    due = min(due, question.objective_at + OVERDUE_TIME)
            if now >= due:
                return None
            changed = group.changed
            with trio.move_on_at(min(due, renew_at)):
                await changed.wait()
            if not group.taken:
                await take_in_messages()
        return self._outcomes[id]

    def _note_lost(self, group: DelegatedGroup, question: RoutedQuestion) -> None:
        if group.handed is not None:
            return
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
        self.times.note_near(group.kind, message.usual_high)
        if group.place.region != self._tools.registration.own.region:
            self.times.note_way(now - group.at)
        group.taken = True
        if group.most_attempts > 1:
            # From now on it may use all of them: it isn't asked for from here any more.
            self._tools.links.send(sender, DelegatedRenewal(message.id))
        group.note()

    def _on_answer(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedAnswer)
        missing = decode_missing(message.missing)
        answer = MergedAnswer(
            message.body, message.proofs, missing, message.sent, message.repeats
        )
        if message.more:
            self._hand_over(sender, message.id, answer)
        else:
            self._end(sender, message.id, Success(answer))

    def _hand_over(self, sender: str, id: str, answer: MergedAnswer) -> None:
        group = self._asked.get(id)
        if group is None or group.peer != sender:
            return
        now = self._tools.clock.monotonic()
        self._tools.accounts.note_answer(sender, now, now - group.at)
        group.hand_over(answer)
        group.note()

    def _on_part(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedPart)
        group = self._asked.get(message.id)
        if group is None or group.peer != sender or group.handed is None:
            return
        if message.service in group.services:
            part = MergedAnswer(message.body, message.proofs, (), 0, 0)
            group.add_part(message.service, part)
        if message.last:
            self._outcomes[message.id] = Success(group.handed)
            group.note()

    def _on_failure(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedFailure)
        reason = read_reason(message.reason)
        verdict: NotRun | MayHaveRun = MayHaveRun(reason, message.detail)
        if not message.may_have_run:
            verdict = NotRun(reason, message.detail)
        missing = decode_missing(message.missing)
        failure = RoutedFailure(verdict, sent=message.sent, missing=missing)
        self._end(sender, message.id, Failure(failure))

    def _end(self, sender: str, id: str, outcome: Outcome) -> None:
        group = self._asked.get(id)
        if group is None or group.peer != sender:
            return
        now = self._tools.clock.monotonic()
        self._tools.accounts.note_answer(sender, now, now - group.at)
        self._outcomes[id] = outcome
        group.note()
