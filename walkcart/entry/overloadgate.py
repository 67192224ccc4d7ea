"""Holds back or refuses questions while this instance is overloaded.

See Also:
    `walkcart.routing.instancelimiter`, which decides when and which.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import trio

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.routing.instancelimiter import (
    DEFAULT_RETRY,
    InstanceLimiter,
    Overloaded,
    PendingQuestion,
    Started,
)
from walkcart.routing.latency import DecayedLatency
from walkcart.routing.retryafter import draw_retry_after
from walkcart.wire.verdicts import NotRun, Reason

#: Seconds between two samples of the event loop's delay while questions are in
#: progress. Several samples fall into the time for which a delay must persist.
SAMPLE_INTERVAL = 0.05

#: Returns why a question whose turn has come is refused, or None if it isn't.
Check = Callable[[], Awaitable[NotRun | None]]


async def allow_all() -> NotRun | None:
    """Return None: nothing is refused."""
    return None


@dataclass(slots=True, eq=False)
class _Waiter:
    """A question that waits for its turn; `rejection` is set if it is refused."""

    turn: trio.Event = field(default_factory=trio.Event)
    started: bool = False
    rejection: Overloaded | None = None


class OverloadGate:
    """Admits questions within this instance's limit on concurrent questions.

    Args:
        clock: source of time.
        random: spreads the retry times of refused questions.
        events: log for refusals, and for when the limit is set or lifted.
        metrics: registry for the limit, refusals and waits.
        find_weight: returns a team's weight in fair queueing, relative to others.
        is_enabled: returns whether the gate is in use; if not, it admits everything.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        events: EventLog,
        metrics: Metrics,
        find_weight: Callable[[str], float] = lambda team: 1.0,
        is_enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._random = random
        self._events = events
        self._metrics = metrics
        self._find_weight = find_weight
        self._is_enabled = is_enabled
        self.room: InstanceLimiter[_Waiter] = InstanceLimiter()
        self._service_times: dict[str, DecayedLatency] = {}
        self._busy = trio.Event()

    @asynccontextmanager
    async def admit(
        self, question: RoutedQuestion, check: Check = allow_all
    ) -> AsyncIterator[NotRun | None]:
        """Wait until a question may start; yield None, or the reason of its refusal.

        The question counts as in progress until the context ends. One that `check`
        refuses doesn't count as completed: many of them would make it seem that this
        instance serves fast, and others would be told to come back too soon.

        Args:
            question: a question for which nothing has been sent yet.
            check: called when its turn has come; returns the reason of a refusal.
        """
        if not self._is_enabled():
            yield await check()
            return
        refusal = await self._enter(question)
        if refusal is not None:
            yield refusal
            return
        start = self._clock.monotonic()
        try:
            refusal = await check()
        except BaseException:
            self._leave_unserved()
            raise
        if refusal is not None:
            self._leave_unserved()
            yield refusal
            return
        try:
            yield None
        finally:
            now = self._clock.monotonic()
            times = self._service_times.setdefault(question.kind, DecayedLatency())
            times.observe(now, now - start)
            self.room.finish(now, now - start)
            self._start_waiting(now)

    def _leave_unserved(self) -> None:
        """Let the next question start in place of one that wasn't worked on."""
        self.room.cancel_started()
        self._start_waiting(self._clock.monotonic())

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Sample the event loop's delay until cancelled."""
        task_status.started()
        while True:
            if not self.room.in_progress:
                self._busy = trio.Event()
                await self._busy.wait()
            due = self._clock.monotonic() + SAMPLE_INTERVAL
            await trio.sleep(SAMPLE_INTERVAL)
            now = self._clock.monotonic()
            self.record_loop_delay(max(0.0, now - due), now)

    def record_loop_delay(self, delay: float, now: float) -> None:
        """Adapt the limit to one sample of the event loop's delay.

        Args:
            delay: seconds by which the event loop is behind.
            now: current time, in seconds of the monotonic clock.
        """
        before = self.room.limit
        self.room.record_delay(delay, now)
        if self.room.limit != before:
            self._report_limit(before)
        self._start_waiting(now)
        self._reject_late(now)

    def _report_limit(self, before: float) -> None:
        """Report a changed limit in metrics and, if it is set or lifted, in the log."""
        limited = self.room.limit < float("inf")
        self._metrics.gauge("room.limit", int(self.room.limit) if limited else 0)
        if limited != (before < float("inf")):
            self._events.emit(
                Events.ROOM_LIMITED if limited else Events.ROOM_FREE,
                in_progress=self.room.in_progress,
                behind_ms=round(self.room.standing_delay() * 1000),
            )

    async def _enter(self, question: RoutedQuestion) -> NotRun | None:
        now = self._clock.monotonic()
        waiter = _Waiter()
        outcome = self.room.submit(waiter, self._describe(question, now), now)
        self._busy.set()
        match outcome:
            case Started():
                return None
            case Overloaded():
                return self._refuse(question, outcome, 0.0)
        self._start_waiting(now)
        try:
            with trio.move_on_at(question.deadline):
                await waiter.turn.wait()
        except BaseException:
            if waiter.started:
                self._leave_unserved()
            raise
        finally:
            if not waiter.turn.is_set():
                self.room.cancel_waiting(waiter)
        waited = self._clock.monotonic() - now
        self._metrics.time("room.wait", waited * 1000)
        if waiter.started:
            return None
        rejection = waiter.rejection or Overloaded(DEFAULT_RETRY, waited)
        return self._refuse(question, rejection, waited)

    def _describe(self, question: RoutedQuestion, now: float) -> PendingQuestion:
        times = self._service_times.get(question.kind)
        return PendingQuestion(
            question.rank,
            question.objective_at,
            question.deadline,
            times.estimate(now, 0.0) if times else 0.0,
            question.team,
            self._find_weight(question.team),
        )

    def _start_waiting(self, now: float) -> None:
        """Wake the questions whose turn has come."""
        if not self.room.waiting:
            return
        for waiter in self.room.start_waiting(now):
            waiter.started = True
            waiter.turn.set()

    def _reject_late(self, now: float) -> None:
        """Refuse the waiting questions that can no longer be answered in time."""
        for waiter, rejection in self.room.remove_late(now):
            waiter.rejection = rejection
            waiter.turn.set()

    def _refuse(
        self, question: RoutedQuestion, rejection: Overloaded, waited: float
    ) -> NotRun:
        retry = draw_retry_after(rejection.retry_after, self._random)
        self._metrics.count("room.refused")
        self._events.emit(
            Events.ROOM_REFUSED,
            request=question.id,
            route=question.kind,
            rank=question.rank,
            team=question.team,
            waited_ms=round(waited * 1000),
            expected_ms=round(rejection.wait * 1000),
            in_progress=self.room.in_progress,
            waiting=self.room.waiting,
            behind_ms=round(self.room.standing_delay() * 1000),
            retry_ms=round(retry.total_seconds() * 1000),
        )
        detail = "this instance has more to do than it can in time"
        return NotRun(Reason.NO_ROOM, detail, retry)
