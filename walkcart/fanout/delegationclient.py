"""Delegates parts of questions to other instances, which gather them for this one.

A question is sent to one instance in a region that has the leaves. That instance
accepts it at once by a message. Without the acceptance in time, or when the instance
falls silent and the answer is overdue, the asker goes on without it.

See Also:
    `walkcart.fanout.delegationserver.DelegationServer`, the side that gathers.
    `walkcart.fanout.groups.divide_services`, which decides what is delegated.
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
    parse_reason,
)
from walkcart.fanout.delegationtools import DelegationTools, receive_pending_messages
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
    ServiceBits,
)
from walkcart.wire.messagebase import Message
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds past the objective for which an answer is awaited from an instance that has
#: been silent since it accepted the question. A message that comes within this time
#: after the question counts as the acceptance, not as a later sign of life.
OVERDUE_GRACE = 0.05

#: Seconds between two renewals of a question in progress: three fit into
#: `walkcart.fanout.activequestion.RENEWAL_TIMEOUT`, so that a lost or late one does
#: no harm.
RENEWAL_INTERVAL = 0.12

#: Seconds between two checks that links to other instances are up.
LINK_CHECK_INTERVAL = 1.0
#: Seconds for which a question waits for a link to come up before it goes elsewhere:
#: two round trips between the users' most distant regions.
LINK_TIMEOUT = 0.05


class DelegationClient:
    """Delegates groups of services to other instances.

    Args:
        tools: shared components of delegation.
    """

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
        """Open links to the instances that may be asked."""
        self._selection.open_links()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow the delegated groups and keep links up, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                await trio.sleep(LINK_CHECK_INTERVAL)
                self.open_links()

    def can_ask(self, wanted: Group, without: frozenset[str]) -> bool:
        """Return whether an instance that isn't in `without` may gather a group."""
        return self._selection.choose(wanted, without) is not None

    def submit(
        self,
        question: RoutedQuestion,
        wanted: Group,
        top: int,
        on_update: Callable[[], None],
        without: frozenset[str] = frozenset(),
        loan: Loan | None = None,
    ) -> DelegatedGroup | None:
        """Have another instance gather some services.

        Args:
            question: the question.
            wanted: the services to gather, and where.
            top: maximum number of records of the merged reply.
            on_update: called when the group has updates or has ended.
            without: names of instances that aren't asked.
            loan: repeats of this instance's budget that the other one may send.

        Returns:
            The group in progress; None when no instance can gather it.
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
            on_update,
            loan,
        )
        id = self._tools.ids.next_id()
        round_trip = self._tools.accounts.round_trip(peer.name)
        lent = loan.services if loan else frozenset()
        delegation = Delegation(id, wanted.services, top, round_trip, lent)
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
        """Wait for the outcome of one group, then end it."""
        id = message.id
        outcome: Outcome | None = None
        try:
            with group.scope:
                outcome = await self._wait(message, group, question)
                if outcome is None:
                    self._record_lost(group, question)
        except Exception as error:
            log_task_error(self._tools.events, f"group at {group.peer}", error)
        finally:
            del self._asked[id]
            self._outcomes.pop(id, None)
            self._tools.accounts.record_ended(group.peer)
            if outcome is None:
                self._cancel_question(message, group)
            group.end(outcome)

    def _cancel_question(
        self, message: DelegatedQuestion, group: DelegatedGroup
    ) -> None:
        """Have the other instance stop, and renew the link to it if it seems silent.

        A question that still waits to be sent is withdrawn instead.
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

    def _find_acceptance_deadline(
        self,
        message: DelegatedQuestion,
        group: DelegatedGroup,
        question: RoutedQuestion,
    ) -> float:
        """Return the time until which the acceptance of a question is awaited."""
        if self._tools.links.is_queued(group.peer, message):
            return group.at + LINK_TIMEOUT
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
        """Wait for the outcome; return None when none is expected any longer."""
        id = message.id
        accounts = self._tools.accounts
        renew_at = group.at + RENEWAL_INTERVAL
        while id not in self._outcomes:
            now = self._tools.clock.monotonic()
            if group.taken and now >= renew_at:
                self._tools.links.send(group.peer, DelegatedRenewal(id))
                renew_at = now + RENEWAL_INTERVAL
            if group.handed_over is not None:
                due = question.deadline
            elif not group.taken:
                due = self._find_acceptance_deadline(message, group, question)
            else:
                due = question.deadline
                if accounts.last_heard_at(group.peer) <= group.at + OVERDUE_GRACE:
                    due = min(due, question.objective_at + OVERDUE_GRACE)
            if now >= due:
                return None
            changed = group.changed
            with trio.move_on_at(min(due, renew_at) if group.taken else due):
                await changed.wait()
            if not group.taken:
                await receive_pending_messages()
        return self._outcomes[id]

    def _record_lost(self, group: DelegatedGroup, question: RoutedQuestion) -> None:
        if group.handed_over is not None:
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
            # The first renewal confirms that this instance leaves further attempts to
            # the other one, which may use all of them from now on.
            self._tools.links.send(sender, DelegatedRenewal(message.id))
        group.wake()

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
            self._finish(sender, message.id, Success(answer))

    def _return_unspent(self, sender: str, id: str, bits: ServiceBits) -> None:
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
        group.wake()

    def _on_part(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedPart)
        group = self._asked.get(message.id)
        if group is None or group.peer != sender or group.handed_over is None:
            return
        if message.service in group.services:
            part = MergedAnswer(message.body, message.proofs, (), 0, 0)
            group.add_part(message.service, part)
        if message.last:
            self._outcomes[message.id] = Success(group.handed_over)
            group.wake()

    def _on_failure(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedFailure)
        reason = parse_reason(message.reason)
        if reason is Reason.STOPPING:
            self._tools.accounts.record_timeout(sender, self._tools.clock.monotonic())
        verdict: NotRun | MayHaveRun = MayHaveRun(reason, message.detail)
        if not message.may_have_run:
            verdict = NotRun(reason, message.detail)
        self._return_unspent(sender, message.id, message.unspent)
        missing = decode_missing(message.missing)
        failure = RoutedFailure(verdict, sent=message.sent, missing=missing)
        self._finish(sender, message.id, Failure(failure))

    def _finish(self, sender: str, id: str, outcome: Outcome) -> None:
        group = self._asked.get(id)
        if group is None or group.peer != sender:
            return
        now = self._tools.clock.monotonic()
        self._tools.accounts.record_answer(sender, now, now - group.at)
        self._outcomes[id] = outcome
        group.wake()
