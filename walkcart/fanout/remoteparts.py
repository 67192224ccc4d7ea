"""The parts of one question that other instances gather.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which asks for the others.
    `walkcart.fanout.lateparts.LateParts`, for those that are late everywhere.
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

#: Times that a group of one question is given to another instance after one didn't take
#: it: twice for each of the six groups that the users' largest questions make.
MOST_DETOURS = 12


class RemoteParts:
    """Has other instances gather parts of one question, and takes what they send.

    Args:
        tools: what routed questions use.
        question: with the time to settle.
        top: records of the merged answer; 0 where nothing is delegated.
        sends: for parts that are asked for from here.
        tries: how far the question has come, by service.
        watch: counts the leafs that ended under it.
        wake: told when there is something to take.
    """

    def __init__(
        self,
        tools: RoutedTools,
        question: RoutedQuestion,
        top: int,
        sends: RoutedSends,
        tries: Mapping[str, ServiceProgress],
        watch: CrashWatch,
        wake: Callable[[], None],
    ) -> None:
        self._watch = watch
        self._tools = tools
        self._question = question
        self._top = top
        self._sends = sends
        self._tries = tries
        self._wake = wake
        self._groups: list[DelegatedGroup] = []
        self._merged: list[MergedAnswer] = []
        self._detours = 0
        #: Names of the instances that didn't take a group.
        self._lost: set[str] = set()
        self._late: LateParts | None = None
        if top and question.settle_at < float("inf"):
            self._late = LateParts(tools, question, top, sends, wake)

    @property
    def has_news(self) -> bool:
        """Whether there is something to take."""
        return any(group.has_news for group in self._groups)

    def merged(self) -> tuple[MergedAnswer, ...]:
        """Return what was gathered."""
        parts = [item.part for item in self._tries.values() if item.part]
        return (*self._merged, *parts)

    def start(self) -> set[str]:
        """Have what is far gathered near it; return those services."""
        delegates = self._tools.delegates
        if not self._top or delegates is None:
            return set()
        far: set[str] = set()
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
                self._note_asked(asked)
                far.update(asked.services)
        return far

    def _note_asked(self, group: DelegatedGroup) -> None:
        self._groups.append(group)
        for name in group.services:
            self._tries[name].delegated = True
            self._tries[name].places.add(group.place)

    def late_due_at(self, busy: bool) -> float:
        """Return when late parts are asked for together; infinite when they aren't.

        Args:
            busy: whether attempts from here are under way.
        """
        if self._late is None:
            return float("inf")
        pending = any(
            group.handed is None and not self._late.is_late(group)
            for group in self._groups
        )
        return self._late.due_at(pending, busy)

    def ask_late(self, now: float) -> None:
        """Ask for late parts together."""
        if self._late is not None:
            self._groups += self._late.ask(self._tries.values(), now)

    def cancel(self) -> None:
        """Nobody waits for any of it any longer."""
        for group in self._groups:
            group.cancel()

    def take_in(self) -> int:
        """Take what other instances sent; return how many services it covered."""
        if not self.has_news:
            return 0
        before = sum(item.covered for item in self._tries.values())
        for group in [group for group in self._groups if group.has_news]:
            self._take_news(group)
        return sum(item.covered for item in self._tries.values()) - before

    def _take_news(self, group: DelegatedGroup) -> None:
        if group.handed is not None and not group.is_handed_taken:
            group.is_handed_taken = True
            self._take_group(group)
        while group.parts:
            service, part = group.parts.popleft()
            self._take_part(self._tries[service], part)
        if not group.ended:
            return
        self._groups.remove(group)
        if group.handed is None:
            self._take_group(group)
        for name in group.services:
            self._end_waiting(self._tries[name])

    def _end_waiting(self, item: ServiceProgress) -> None:
        """Ask once more for a part that another instance waited for in vain."""
        was_awaited, item.awaited = item.awaited, False
        if not was_awaited or item.open or item.covered or self._late is None:
            return
        if item.regrouped or item.may_run >= self._question.most_attempts:
            return
        item.left = self._sends.take_repeat(item, self._tools.clock.monotonic())

    def _take_part(self, item: ServiceProgress, part: MergedAnswer) -> None:
        """Take a part that came after the other instance had handed over."""
        self._watch.note_answer()
        if item.covered:
            self._tools.metrics.count("leaf.late")
        else:
            item.part = part

    def _take_group(self, group: DelegatedGroup) -> None:
        """Take what another instance gathered; ask here for what it didn't."""
        now = self._tools.clock.monotonic()
        missing = group.missing()
        if group.handed is not None:
            self._merged.append(group.handed)
        elif group.outcome is not None and is_successful(group.outcome):
            self._merged.append(group.outcome.unwrap())
        self._watch_group(group, missing)
        for name in group.services:
            item = self._tries[name]
            item.delegated = False
            part = missing.get(name)
            if part is None:
                self._take_gathered(item)
                continue
            item.reason = part.reason
            item.ran += part.ran
            item.arrived += part.ran
            item.awaited |= group.handed is not None and part.ran > 0
            item.left = part.may_repeat and self._late is not None
        self._ask_missing(group, [self._tries[name] for name in missing], now)

    def _watch_group(
        self, group: DelegatedGroup, missing: Mapping[str, MissingPart]
    ) -> None:
        """Note how leafs fared under a group."""
        if len(missing) < len(group.services):
            self._watch.note_answer()
        for name, part in missing.items():
            if part.reason is Reason.LEAF_ENDED:
                self._tries[name].ended += part.ran
                self._watch.note_ended(name, part.ran)
        if group.reason in (Reason.LEAF_ENDED, Reason.QUARANTINED):
            self._watch.note_refused()

    def _ask_missing(
        self, group: DelegatedGroup, missing: list[ServiceProgress], now: float
    ) -> None:
        """Ask for what an instance didn't gather: of another one, or from here."""
        waiting = [item for item in missing if not (item.left or item.awaited)]
        if group.reason is Reason.NO_ROOM:
            # The leafs are those that another instance would ask.
            for item in waiting:
                item.given_up = True
            return
        held = group.is_begun or self._watch.holds
        if held or not self._may_ask_another(waiting, now):
            others = waiting
        else:
            self._lost.add(group.peer)
            others = self._ask_another(group, waiting, now)
        for item in others:
            self._sends.plan(item, now)

    def _may_ask_another(self, waiting: list[ServiceProgress], now: float) -> bool:
        """Return whether what an instance didn't take may go to another one."""
        few = len(waiting) < MIN_GROUP
        if few or self._detours >= MOST_DETOURS or now >= self._question.deadline:
            return False
        return all(item.may_run < self._question.most_attempts for item in waiting)

    def _ask_another(
        self, group: DelegatedGroup, waiting: list[ServiceProgress], now: float
    ) -> list[ServiceProgress]:
        """Have another instance gather what one didn't take; return what none does.

        Asked from here, 24 parts keep a machine of half a core busy for 30 ms, and
        where many groups are lost at once their words come too late for that. What may
        have arrived the first time is a repeat, and is paid for from this budget.
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
        left = {item.service: item for item in waiting}
        for other in self._regroup(group, waiting):
            items = [left.pop(name) for name in other.services]
            left |= self._hand_on(question, other, items, group, late, now)
        return list(left.values())

    def _regroup(
        self, group: DelegatedGroup, waiting: list[ServiceProgress]
    ) -> list[Group]:
        """Return where what an instance didn't take is gathered now.

        What never left goes to the same place. What may have arrived has one attempt
        less: where the whole place is cut off another one there would waste the last.
        """
        services = tuple(item.service for item in waiting)
        if not group.may_have_arrived:
            return [Group(services, group.place)]

        def find_places(service: str) -> frozenset[Location]:
            places = self._tools.pool.places_of(service)
            return (places - {group.place, self._tools.place}) or places

        tools = self._tools
        return divide_services(services, find_places, tools.place, tools.random, False)

    def _hand_on(
        self,
        question: RoutedQuestion,
        other: Group,
        items: list[ServiceProgress],
        group: DelegatedGroup,
        late: bool,
        now: float,
    ) -> dict[str, ServiceProgress]:
        """Have an instance gather a part of a lost group; return what it doesn't."""
        delegates = self._tools.delegates
        lost = frozenset(self._lost)
        if delegates is None or not delegates.can_ask(other, lost):
            return {item.service: item for item in items}
        if group.may_have_arrived:
            items = [item for item in items if self._sends.take_repeat(item, now)]
        if not items:
            return {}
        wanted = Group(tuple(item.service for item in items), other.place)
        asked = submit_with_loan(
            self._tools, question, wanted, self._top, self._wake, lost
        )
        if asked is None:
            # The links have just ended; the budget holds these already.
            for item in items:
                self._sends.send_elsewhere(item, now)
            return {}
        self._detours += 1
        if late and self._late is not None:
            self._late.note_asked(asked)
        self._note_asked(asked)
        return {}

    def _take_gathered(self, item: ServiceProgress) -> None:
        """Take a part that another instance gathered; one of this instance gives way.

        The merged records can't be told apart any more, so that one can't.
        """
        item.reply = item.part = None
        item.gathered = True
        self._sends.cancel(item)
