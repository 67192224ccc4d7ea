"""Delegates parts of one question to other instances and processes their results.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which asks for the other parts itself.
    `walkcart.fanout.lateparts.LateParts`, which requests late parts in another region.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from returns.pipeline import is_successful

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.delegatedgroup import DelegatedGroup
from walkcart.fanout.groups import MIN_GROUP, Group, divide_services
from walkcart.fanout.lateparts import LateParts
from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.repeatloans import submit_with_loan
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedsends import RoutedSends
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.routing.distance import Location
from walkcart.wire.verdicts import Reason

#: Maximum number of times that groups of one question are sent to another instance
#: because the first one didn't accept them: twice for each of the six groups of the
#: users' largest questions.
MAX_REROUTES = 12


class RemoteParts:
    """Has other instances gather parts of one question, and processes their results.

    Args:
        tools: shared components of routed questions.
        question: the question, with `settle_at` set.
        top: maximum number of records of the merged answer; 0 where nothing is
            delegated.
        sends: sends the attempts of this instance itself.
        progress: the question's state, by service.
        watch: counts the leaves that crash under the question.
        wake: called when there are updates to process.
    """

    def __init__(
        self,
        tools: RoutedTools,
        question: RoutedQuestion,
        top: int,
        sends: RoutedSends,
        progress: Mapping[str, ServiceProgress],
        watch: CrashWatch,
        wake: Callable[[], None],
    ) -> None:
        self._watch = watch
        self._tools = tools
        self._question = question
        self._top = top
        self._sends = sends
        self._progress = progress
        self._wake = wake
        self._groups: list[DelegatedGroup] = []
        self._merged: list[MergedAnswer] = []
        self._reroutes = 0
        #: Names of the instances that didn't accept a group.
        self._unresponsive: set[str] = set()
        self._late: LateParts | None = None
        if top and question.settle_at < float("inf"):
            self._late = LateParts(tools, question, top, sends, wake)

    @property
    def has_updates(self) -> bool:
        """Whether there are updates to process."""
        return any(group.has_updates for group in self._groups)

    def merged(self) -> tuple[MergedAnswer, ...]:
        """Return the merged parts that other instances gathered."""
        parts = [item.part for item in self._progress.values() if item.part]
        return (*self._merged, *parts)

    def start(self) -> set[str]:
        """Delegate services to instances near their leaves; return their names."""
        delegates = self._tools.delegates
        if not self._top or delegates is None:
            return set()
        delegated: set[str] = set()
        places = self._tools.pool.places_of
        for group in divide_services(
            self._question.services,
            places,
            self._tools.place,
            self._tools.random,
            delegates.gatherers.is_own(),
        ):
            asked = submit_with_loan(
                self._tools, self._question, group, self._top, self._wake
            )
            if asked is not None:
                self._add_group(asked)
                delegated.update(asked.services)
        return delegated

    def _add_group(self, group: DelegatedGroup) -> None:
        self._groups.append(group)
        for name in group.services:
            self._progress[name].delegated = True
            self._progress[name].places.add(group.place)

    def late_parts_at(self, busy: bool) -> float:
        """Return when late parts are requested together; infinite when they aren't.

        Args:
            busy: whether attempts of this instance are under way or planned.
        """
        if self._late is None:
            return float("inf")
        pending = any(
            group.handed_over is None and not self._late.is_late(group)
            for group in self._groups
        )
        return self._late.due_at(pending, busy)

    def request_late_parts(self, now: float) -> None:
        """Request late parts together."""
        if self._late is not None:
            self._groups += self._late.request(self._progress.values(), now)

    def cancel(self) -> None:
        """Cancel all groups: the question has ended."""
        for group in self._groups:
            group.cancel()

    def process_updates(self) -> int:
        """Process what other instances sent; return how many services it covered."""
        if not self.has_updates:
            return 0
        before = sum(item.covered for item in self._progress.values())
        for group in [group for group in self._groups if group.has_updates]:
            self._process_group_updates(group)
        return sum(item.covered for item in self._progress.values()) - before

    def _process_group_updates(self, group: DelegatedGroup) -> None:
        if group.handed_over is not None and not group.is_handover_processed:
            group.is_handover_processed = True
            self._process_result(group)
        while group.parts:
            service, part = group.parts.popleft()
            self._process_late_part(self._progress[service], part)
        if not group.ended:
            return
        self._groups.remove(group)
        if group.handed_over is None:
            self._process_result(group)
        for name in group.services:
            self._retry_awaited(self._progress[name])

    def _retry_awaited(self, item: ServiceProgress) -> None:
        """Defer a part for another request if the instance that awaited it ended."""
        was_awaited, item.awaited = item.awaited, False
        if not was_awaited or item.open or item.covered or self._late is None:
            return
        now = self._tools.clock.monotonic()
        if item.regrouped or item.may_run >= self._question.most_attempts:
            # Only a leaf whose answer was lost may be asked now.
            self._sends.plan_retry(item, now)
            return
        item.deferred = self._sends.try_spend_repeat(item, now)

    def _process_late_part(self, item: ServiceProgress, part: MergedAnswer) -> None:
        """Accept a part that arrived after the other instance's hand-over."""
        self._watch.record_answer()
        if item.covered:
            self._tools.metrics.count("leaf.late")
        else:
            item.part = part

    def _process_result(self, group: DelegatedGroup) -> None:
        """Accept what another instance gathered, and reassign what it didn't."""
        now = self._tools.clock.monotonic()
        missing = group.missing()
        if group.handed_over is not None:
            self._merged.append(group.handed_over)
        elif group.outcome is not None and is_successful(group.outcome):
            self._merged.append(group.outcome.unwrap())
        self._record_leaf_outcomes(group, missing)
        for name in group.services:
            item = self._progress[name]
            item.delegated = False
            part = missing.get(name)
            if part is None:
                self._mark_gathered(item)
                continue
            item.record_missing(part)
            item.awaited |= group.handed_over is not None and part.ran > 0
            item.deferred = part.may_repeat and self._late is not None
        self._reassign_missing(group, [self._progress[name] for name in missing], now)

    def _record_leaf_outcomes(
        self, group: DelegatedGroup, missing: Mapping[str, MissingPart]
    ) -> None:
        """Record whether leaves answered or crashed under a group."""
        now = self._tools.clock.monotonic()
        if len(missing) < len(group.services):
            self._watch.record_answer()
        for name, part in missing.items():
            if part.reason is Reason.LEAF_ENDED:
                self._progress[name].ended += part.ran
                self._watch.record_ended(name, part.ran, now=now)
        if group.reason in (Reason.LEAF_ENDED, Reason.QUARANTINED):
            has_crashed = group.reason is Reason.LEAF_ENDED
            self._watch.record_refused(has_crashed, group.peer)

    def _reassign_missing(
        self, group: DelegatedGroup, missing: list[ServiceProgress], now: float
    ) -> None:
        """Request the parts that an instance didn't gather, elsewhere or directly."""
        waiting = [item for item in missing if not (item.deferred or item.awaited)]
        if group.reason is Reason.NO_ROOM:
            # Another instance would ask the same leaves, which have no room.
            for item in waiting:
                item.given_up = True
            return
        held = group.is_begun or self._watch.is_sequential
        if held or not self._may_reroute(waiting, now):
            others = waiting
        else:
            self._unresponsive.add(group.peer)
            others = self._reroute(group, waiting, now)
        for item in others:
            self._sends.plan_retry(item, now)

    def _may_reroute(self, waiting: list[ServiceProgress], now: float) -> bool:
        """Return whether parts that an instance didn't accept may go to another one."""
        few = len(waiting) < MIN_GROUP
        if few or self._reroutes >= MAX_REROUTES or now >= self._question.deadline:
            return False
        return all(item.may_run < self._question.most_attempts for item in waiting)

    def _reroute(
        self, group: DelegatedGroup, waiting: list[ServiceProgress], now: float
    ) -> list[ServiceProgress]:
        """Delegate parts that an instance didn't accept to another one.

        Asking for 24 parts directly keeps a machine of half a core busy for 30 ms, and
        where many groups are lost at once, the acceptances of other groups would be
        processed too late. Requests that may have arrived the first time count as
        repeats against this instance's budget.

        Returns:
            The services that no other instance gathers, by name.
        """
        late = self._late is not None and self._late.is_late(group)
        question = self._question
        if now >= question.settle_at:
            question = replace(question, settle_at=float("inf"))
        question = replace(
            question,
            regions=self._tools.pool.regions,
            least_coverage=0.0 if late else question.least_coverage,
            most_attempts=question.most_attempts - max(i.may_run for i in waiting),
            granted=late or group.may_have_arrived,
        )
        remaining = {item.service: item for item in waiting}
        for other in self._regroup(group, waiting):
            items = [remaining.pop(name) for name in other.services]
            remaining |= self._delegate_group(question, other, items, group, late, now)
        return list(remaining.values())

    def _regroup(
        self, group: DelegatedGroup, waiting: list[ServiceProgress]
    ) -> list[Group]:
        """Return the groups, with places, of parts that an instance didn't accept.

        A group that was never sent goes to the same place. One that may have arrived
        has one attempt less: where its whole place is cut off, another instance there
        would waste the last one.
        """
        services = tuple(item.service for item in waiting)
        if not group.may_have_arrived:
            return [Group(services, group.place)]

        def find_places(service: str) -> frozenset[Location]:
            places = self._tools.pool.places_of(service)
            return (places - {group.place, self._tools.place}) or places

        tools = self._tools
        return divide_services(services, find_places, tools.place, tools.random, False)

    def _delegate_group(
        self,
        question: RoutedQuestion,
        other: Group,
        items: list[ServiceProgress],
        group: DelegatedGroup,
        late: bool,
        now: float,
    ) -> dict[str, ServiceProgress]:
        """Delegate some services of a lost group.

        Returns:
            The services that remain for this instance to ask, by name.
        """
        delegates = self._tools.delegates
        lost = frozenset(self._unresponsive)
        if delegates is None or not delegates.can_ask(other, lost):
            return {item.service: item for item in items}
        if group.may_have_arrived:
            items = [item for item in items if self._sends.try_spend_repeat(item, now)]
        if not items:
            return {}
        wanted = Group(tuple(item.service for item in items), other.place)
        asked = submit_with_loan(
            self._tools, question, wanted, self._top, self._wake, lost
        )
        if asked is None:
            # The links have just closed. The budget already accounts for these repeats.
            for item in items:
                self._sends.send_elsewhere(item, now)
            return {}
        self._reroutes += 1
        if late and self._late is not None:
            self._late.add_group(asked)
        self._add_group(asked)
        return {}

    def _mark_gathered(self, item: ServiceProgress) -> None:
        """Mark a part as gathered by another instance, and drop this instance's own.

        The merged records can't be separated by service any more, so the other
        instance's part has to stay.
        """
        item.reply = item.part = None
        item.gathered = True
        self._sends.cancel(item)
