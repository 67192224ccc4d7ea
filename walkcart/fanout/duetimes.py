"""When a routed question has something to do next.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which waits until then.
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
    """The times at which attempts, hedges and the answer are due, in seconds.

    Args:
        question: whose times they are.
        sends: knows its attempts.
        watch: says which of them may be sent.
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
        """Return when the next planned attempt at a service may be sent."""
        if not self._watch.may_send(item.service):
            return _NEVER
        return self._sends.due_at(item)

    def hedge_at(self, item: ServiceProgress) -> float:
        """Return when a second attempt beside one that is late may be sent."""
        return _NEVER if self._watch.holds else self._sends.hedge_at(item)

    def find_next(
        self,
        tries: Iterable[ServiceProgress],
        answerable: bool,
        last_call: float,
        late_due: float,
    ) -> float:
        """Return when anything is due.

        Args:
            tries: how far the question has come, by service.
            answerable: whether what is in would do for an answer.
            last_call: when a repeat must be sent to come within the objective.
            late_due: when late parts are asked for together.
        """
        open_tries = [item for item in tries if not item.covered]
        due = self._question.deadline
        if answerable:
            due = min(due, self._question.objective_at)
        for item in open_tries:
            due = min(due, self.attempt_at(item), self.hedge_at(item))
        now = self._clock.monotonic()
        if now < last_call and any(item.held_back for item in open_tries):
            due = min(due, last_call)
        if now < self._question.settle_at:
            return min(due, self._question.settle_at)
        return min(due, late_due) if late_due > now else due
