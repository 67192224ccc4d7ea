"""Rejects the requests that can't end before this instance does.

See Also:
    `walkcart.routing.shutdown`, which holds the deadline and the times of requests.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random

import trio

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.kernel.clock import Clock
from walkcart.kernel.metrics import Metrics
from walkcart.routing.retryafter import draw_retry_after
from walkcart.routing.shutdown import AnswerTimes, ShutdownDeadline
from walkcart.wire.verdicts import NotRun, Reason

#: Seconds after which a rejected caller is to retry where other instances serve: it
#: opens a new connection, which the load balancer gives to another instance.
OTHERS_RETRY_DELAY = 0.01
#: Seconds from the end of this instance's process until a new one serves. Where there
#: is no other instance, callers are to return then.
RESTART_TIME = 1.0
#: Seconds past the deadline after which a request that is still waiting to be sent is
#: answered as well. Requests that were sent end by themselves at the deadline.
WAIT_MARGIN = 0.02


class ShutdownGate:
    """Decides which requests a stopping instance serves.

    Args:
        deadline: until when this instance can answer.
        clock: source of time.
        random: spreads the retry times of rejected callers.
        metrics: registry in which rejected requests are counted.
        has_others: returns whether other instances serve.
    """

    def __init__(
        self,
        deadline: ShutdownDeadline,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        has_others: Callable[[], bool],
    ) -> None:
        self._deadline = deadline
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._has_others = has_others
        self.times = AnswerTimes()

    def check(self, question: RoutedQuestion) -> NotRun | None:
        """Return why a question is rejected, or None if it can end in time.

        Args:
            question: a question for which nothing has been sent yet.
        """
        if question.deadline <= self._deadline.at:
            return None
        now = self._clock.monotonic()
        if now + self._estimate_time(question, now) <= self._deadline.at:
            return None
        return self.reject("the instance stops before it can answer")

    def reject(self, detail: str) -> NotRun:
        """Return the verdict on a question for which nothing was or will be sent."""
        self._metrics.count("stop.refused")
        wait = OTHERS_RETRY_DELAY
        if not self._has_others():
            left = self._deadline.at - self._clock.monotonic()
            wait = max(0.0, left) + RESTART_TIME
        retry = draw_retry_after(wait, self._random)
        return NotRun(Reason.STOPPING, detail, retry)

    def limit_deadline(self, question: RoutedQuestion) -> RoutedQuestion:
        """Return a question that ends by the deadline of this instance."""
        if question.deadline <= self._deadline.at:
            return question
        return replace(question, deadline=self._deadline.at)

    @contextmanager
    def limit_wait(self) -> Iterator[trio.CancelScope]:
        """Return a context manager that is cancelled just after the deadline."""
        with trio.CancelScope() as scope:

            def update() -> None:
                scope.deadline = self._deadline.at + WAIT_MARGIN

            update()
            with self._deadline.notify(update):
                yield scope

    def _estimate_time(self, question: RoutedQuestion, now: float) -> float:
        """Return the seconds that a question will likely take.

        Before enough questions of its kind were answered, the time is assumed that
        operators aim for, or else all the time that the question has.
        """
        times = self.times
        known = times.estimate(question.kind, question.idempotent, now)
        if known is not None:
            return known
        return min(question.objective_at, question.deadline) - now
