"""Requests the late parts of one question together in another region.

See Also:
    `walkcart.routing.latetimes`, which decides when.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import replace

from walkcart.fanout.delegatedgroup import DelegatedGroup
from walkcart.fanout.delegationcodec import find_group_coverage
from walkcart.fanout.groups import MAX_SERVICES, divide_services
from walkcart.fanout.repeatloans import submit_with_loan
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedsends import RoutedSends
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.kernel.events import Events
from walkcart.routing.distance import Distance, Location
from walkcart.routing.hedging import may_hedge
from walkcart.routing.latetimes import LATE_REPLY_GRACE, find_late_request_time


def plan_late_request(
    tools: RoutedTools, question: RoutedQuestion, top: int
) -> RoutedQuestion:
    """Return the question with the time at which its late parts are requested.

    A question of few services has one or two late parts, which are requested directly.
    """
    few = len(question.services) <= MAX_SERVICES
    if not top or few or tools.delegates is None or question.most_attempts < 2:
        return question
    now = tools.clock.monotonic()
    kind = question.kind
    own = tools.pool.times_of(kind, Distance.SAME_DATA_CENTRE).high(now)
    times = tools.delegates.times
    near, late = times.estimate_near(kind, own), times.estimate_late(kind, own)
    at = find_late_request_time(now, question.objective_at, near, late)
    return replace(question, settle_at=at)


class LateParts:
    """Requests late parts of one question.

    Args:
        tools: shared components of routed questions.
        question: the question, with `settle_at` set.
        top: maximum number of records of the merged answer.
        sends: sends single attempts for parts that no other instance gathers.
        wake: called when a group has updates.
    """

    def __init__(
        self,
        tools: RoutedTools,
        question: RoutedQuestion,
        top: int,
        sends: RoutedSends,
        wake: Callable[[], None],
    ) -> None:
        self._tools = tools
        self._question = question
        self._top = top
        self._sends = sends
        self._wake = wake
        self._groups: list[DelegatedGroup] = []

    def due_at(self, pending: bool, busy: bool) -> float:
        """Return when late parts are requested; minus infinity for at once.

        Args:
            pending: whether other instances still gather parts.
            busy: whether attempts of this instance are under way or planned.
        """
        if pending:
            return self._question.settle_at + LATE_REPLY_GRACE
        return self._question.settle_at if busy else float("-inf")

    def add_group(self, group: DelegatedGroup) -> None:
        """Record that a group of late parts went to another instance instead."""
        self._groups.append(group)

    def is_late(self, group: DelegatedGroup) -> bool:
        """Return whether a group was requested as late parts."""
        return group in self._groups

    def request(
        self, progress: Collection[ServiceProgress], now: float
    ) -> list[DelegatedGroup]:
        """Request the late parts; return the groups that other instances gather."""
        late = self._choose(progress, now)
        if not late:
            return []
        places: dict[str, set[Location]] = {}
        for item in late:
            item.deferred, item.regrouped = False, True
            found = self._tools.pool.places_of(item.service)
            places[item.service] = set(found) - item.places - {self._tools.place}
        groups = self._submit(places, self._find_fair_coverage(progress))
        grouped = {name for group in groups for name in group.services}
        for item in late:
            if item.service in grouped:
                item.delegated = True
            else:
                self._sends.send_elsewhere(item, now)
        self._tools.metrics.count("leaf.regrouped", len(late))
        self._log_request(late, groups)
        self._groups += groups
        return groups

    def _choose(
        self, progress: Collection[ServiceProgress], now: float
    ) -> list[ServiceProgress]:
        """Return the services whose parts are deferred, or late and repeatable now."""
        waiting = [
            item
            for item in progress
            if not (item.covered or item.regrouped or item.delegated)
        ]
        chosen = [item for item in waiting if item.deferred]
        late = [
            item
            for item in waiting
            if not item.deferred
            and now >= self._question.settle_at
            and self._may_repeat(item)
        ]
        direct = sum(1 for item in progress if item.tried)
        if may_hedge(direct, len(late)):
            chosen += [item for item in late if self._sends.try_spend_repeat(item, now)]
        return chosen

    def _may_repeat(self, item: ServiceProgress) -> bool:
        """Return whether one attempt is under way and another is allowed."""
        return len(item.under_way) == 1 and item.may_run < self._question.most_attempts

    def _find_fair_coverage(self, progress: Collection[ServiceProgress]) -> float:
        """Return the share of the missing parts without which there is no answer."""
        open_count = sum(1 for item in progress if not item.covered)
        return find_group_coverage(self._question, open_count)

    def _submit(
        self, places: dict[str, set[Location]], fair_coverage: float
    ) -> list[DelegatedGroup]:
        question = replace(
            self._question,
            regions=self._tools.pool.regions,
            least_coverage=0.0,
            fair_coverage=fair_coverage,
            most_attempts=1,
            settle_at=float("inf"),
            granted=True,
        )
        groups = divide_services(
            tuple(places), places.__getitem__, self._tools.place, self._tools.random
        )
        asked = [
            submit_with_loan(self._tools, question, group, self._top, self._wake)
            for group in groups
        ]
        return [group for group in asked if group is not None]

    def _log_request(
        self, late: list[ServiceProgress], groups: list[DelegatedGroup]
    ) -> None:
        self._tools.events.emit(
            Events.LATE_PARTS,
            request=self._question.id,
            late=len(late),
            groups=[(group.peer, len(group.services)) for group in groups],
            unsent=sum(1 for item in late if not item.arrived),
        )
