"""Other instances that gather parts of questions for this one.

A question is sent to one instance in a region that has the leafs. That one says at
once that it has it. Without that word in time, or when the instance falls silent and
the answer is overdue, the asker goes on without it.

See Also:
    `walkcart.fanout.delegationserver.DelegationServer`, the other side.
    `walkcart.fanout.groups.divide_services`, which decides what is asked of others.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from returns.result import Failure, Success

from walkcart.fanout.delegatedgroup import DelegatedGroup, Loan, Outcome
from walkcart.fanout.delegationcodec import (
    Delegation,
    decode_missing,
    encode_question,
    read_reason,
)
from walkcart.fanout.delegationtools import DelegationTools, take_in_messages
from walkcart.fanout.gatheringinstances import GatheringInstances
from walkcart.fanout.groups import Group
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.peerselection import PeerSelection
from walkcart.fanout.routedquestion import RoutedFailure, RoutedQuestion
from walkcart.kernel.events import Events
from walkcart.kernel.taskerrors import log_task_error
from walkcart.routing.eligibility import may_carry
from walkcart.routing.latetimes import PeerPartTimes
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
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds past the objective for which the answer of an instance that was heard of
#: since is waited for.
OVERDUE_TIME = 0.05

#: Seconds between two renewals of a question that takes long: three go within
#: `walkcart.fanout.delegationserver.RENEWAL_TIMEOUT`, so that a lost or late one does no harm.
RENEWAL_INTERVAL = 0.12

#: Seconds between two looks at whether those links are up.
GREETING_INTERVAL = 1.0
#: Seconds for which a question waits for a link to come up before it goes elsewhere:
#: two round trips between the users' farthest regions.
LINK_PATIENCE = 0.05


class DelegationClient:
    """Sends parts of questions to other instances."""

    def __init__(self, tools: DelegationTools) -> None:
        self._tools = tools
        self._asked: dict[str, DelegatedGroup] = {}
        self._outcomes: dict[str, Outcome] = {}
        self._nursery: trio.Nursery | None = None
        self.times = PeerPartTimes()
        self._selection = PeerSelection(tools)
        tools.links.on(DelegatedTaken, self._on_taken)
        tools.links.on(DelegatedAnswer, self._on_answer)
        tools.links.on(DelegatedPart, self._on_part)
        tools.links.on(DelegatedFailure, self._on_failure)

    @property
    def gatherers(self) -> GatheringInstances:
        """The instances that gather."""
        return self._tools.gatherers

    def open_links(self) -> None:
        """Have links ready to those that may be asked."""
        self._selection.open_links()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow what others were asked and keep links up."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                await trio.sleep(GREETING_INTERVAL)
                self.open_links()

    def can_ask(self, wanted: Group, without: frozenset[str]) -> bool:
        """Return whether any instance but some may gather a group."""
        return self._selection.choose(wanted, without) is not None

    def submit(
        self,
        question: RoutedQuestion,
        wanted: Group,
        top: int,
        on_end: Callable[[], None],
        without: frozenset[str] = frozenset(),
        loan: Loan | None = None,
    ) -> DelegatedGroup | None:
        """Have another instance gather some services; None when none can.

        Args:
            question: what to ask.
            wanted: the services to gather, and where.
            top: records of the merged reply at the most.
            on_end: told when the group ended.
            without: names of instances that aren't asked.
            loan: repeats that it may send of this instance's budget.
        """
        peer = self._selection.choose(wanted, without)
        if peer is None or self._nursery is None:
            return None
        if not may_carry(question.regions, peer.region):
            return None
        now = self._tools.clock.monotonic()
        group = DelegatedGroup(
            wanted.services,
            wanted.place,
            question.kind,
            question.most_attempts,
            peer.name,
            now,
            on_end,
            loan,
        )
        id = self._tools.ids.next_id()
        way = self._tools.accounts.round_trip(peer.name)
        lent = loan.services if loan else frozenset()
        delegation = Delegation(id, wanted.services, top, way, lent)
        message = encode_question(question, delegation, now)
        if not self._tools.links.send(peer.name, message):
            return None
        self._asked[id] = group
        self._tools.accounts.record_sent(peer.name, now)
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
                outcome = await self._wait(message, group, question)
                if outcome is None:
                    self._note_lost(group, question)
        except Exception as error:
            log_task_error(self._tools.events, f"group at {group.peer}", error)
        finally:
            del self._asked[id]
            self._outcomes.pop(id, None)
            self._tools.accounts.record_ended(group.peer)
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
        unheard = self._tools.accounts.last_heard_at(group.peer) < group.at
        lost = unheard and not group.scope.cancel_called
        if not group.unsent:
            links.send(group.peer, DelegatedCancel(id, lost))
        if lost:
            links.reconnect(group.peer)

    def _find_taken_due(
        self,
        message: DelegatedQuestion,
        group: DelegatedGroup,
        question: RoutedQuestion,
    ) -> float:
        """Return until when the word that a question was taken is waited for."""
        if self._tools.links.is_queued(group.peer, message):
            return group.at + LINK_PATIENCE
        until = question.objective_at
        if until <= group.at or until == float("inf"):
            until = question.deadline
        return group.at + self._tools.accounts.acceptance_timeout(
            group.peer, until - group.at
        )

    async def _wait(
        self,
        message: DelegatedQuestion,
        group: DelegatedGroup,
        question: RoutedQuestion,
    ) -> Outcome | None:
        """Wait for the outcome while there is hope of one."""
        id = message.id
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
                due = self._find_taken_due(message, group, question)
            else:
                due = question.deadline
                if accounts.last_heard_at(group.peer) <= group.at + OVERDUE_TIME:
                    due = min(due, question.objective_at + OVERDUE_TIME)
            if now >= due:
                return None
            changed = group.changed
            with trio.move_on_at(min(due, renew_at) if group.taken else due):
                await changed.wait()
            if not group.taken:
                await take_in_messages()
        return self._outcomes[id]

    def _note_lost(self, group: DelegatedGroup, question: RoutedQuestion) -> None:
        if group.handed is not None:
            return
        now = self._tools.clock.monotonic()
        if now < question.deadline:
            self._tools.accounts.record_timeout(group.peer, now)
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
        self._tools.accounts.record_accepted(sender, now, now - group.at)
        self.times.record_near(group.kind, message.usual_high)
        if group.place.region != self._tools.registration.own.region:
            self.times.record_round_trip(now - group.at)
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
        self._return_unspent(sender, message.id, message.unspent)
        if message.more:
            self._hand_over(sender, message.id, answer)
        else:
            self._end(sender, message.id, Success(answer))

    def _return_unspent(self, sender: str, id: str, bits: int) -> None:
        group = self._asked.get(id)
        if group is not None and group.peer == sender:
            group.return_unspent(bits)

    def _hand_over(self, sender: str, id: str, answer: MergedAnswer) -> None:
        group = self._asked.get(id)
        if group is None or group.peer != sender:
            return
        now = self._tools.clock.monotonic()
        self._tools.accounts.record_answer(sender, now, now - group.at)
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
        if reason is Reason.STOPPING:
            self._tools.accounts.record_timeout(sender, self._tools.clock.monotonic())
        verdict: NotRun | MayHaveRun = MayHaveRun(reason, message.detail)
        if not message.may_have_run:
            verdict = NotRun(reason, message.detail)
        self._return_unspent(sender, message.id, message.unspent)
        missing = decode_missing(message.missing)
        failure = RoutedFailure(verdict, sent=message.sent, missing=missing)
        self._end(sender, message.id, Failure(failure))

    def _end(self, sender: str, id: str, outcome: Outcome) -> None:
        group = self._asked.get(id)
        if group is None or group.peer != sender:
            return
        now = self._tools.clock.monotonic()
        self._tools.accounts.record_answer(sender, now, now - group.at)
        self._outcomes[id] = outcome
        group.note()
