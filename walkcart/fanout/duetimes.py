"""Computes when the next action of a routed question is due.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which sleeps until then.
"""

from __future__ import annotations

from collections.abc import Iterable

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedsends import RoutedSends
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.kernel.clock import Clock

_NEVER = float("inf")


class DueTimes:
    """Computes when attempts, hedges and the answer of a question are due.

    All times are on the kernel's monotonic clock, in seconds.

    Args:
        question: the question.
        sends: its attempts.
        watch: decides which of them may be sent after crashes of leaves.
        clock: source of time.
    """

    def __init__(
        self,
        question: RoutedQuestion,
        sends: RoutedSends,
        watch: CrashWatch,
        clock: Clock,
    ) -> None:
        self._question = question
        self._sends = sends
        self._watch = watch
        self._clock = clock

    def attempt_at(self, item: ServiceProgress) -> float:
        """Return when the next planned attempt at a service may be sent.

        Infinite when none may.
        """
        if not self._watch.may_send(item.service):
            return _NEVER
        return self._sends.due_at(item)

    def hedge_at(self, item: ServiceProgress) -> float:
        """Return when a hedge of a late attempt may be sent; infinite when none may."""
        return _NEVER if self._watch.is_sequential else self._sends.hedge_at(item)

    def find_next(
        self,
        progress: Iterable[ServiceProgress],
        answerable: bool,
        last_repeat_at: float,
        late_parts_at: float,
    ) -> float:
        """Return when the next action is due.

        Args:
            progress: the question's state at each service.
            answerable: whether the parts that have arrived are enough for an answer.
            last_repeat_at: latest time to send a repeat that meets the objective.
            late_parts_at: time at which late parts are requested together.
        """
        open_services = [item for item in progress if not item.covered]
        due = self._question.deadline
        if answerable:
            due = min(due, self._question.objective_at)
        for item in open_services:
            due = min(due, self.attempt_at(item), self.hedge_at(item))
        now = self._clock.monotonic()
        if now < last_repeat_at and any(item.held_back for item in open_services):
            due = min(due, last_repeat_at)
        if now < self._question.settle_at:
            return min(due, self._question.settle_at)
        return min(due, late_parts_at) if late_parts_at > now else due
