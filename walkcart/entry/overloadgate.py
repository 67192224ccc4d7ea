"""Where questions wait for an instance that has fallen behind, or are refused.

See Also:
    `walkcart.routing.instancelimiter`, which decides.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
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
    BLIND_RETRY,
    InstanceLimiter,
    Overloaded,
    PendingQuestion,
    Started,
)
from walkcart.routing.latency import DecayedLatency
from walkcart.routing.retryafter import draw_retry_after
from walkcart.wire.verdicts import NotRun, Reason

#: Seconds between two looks at the event loop while questions are in progress: several
#: fall into the time for which a delay must stand.
LOOK_INTERVAL = 0.05


@dataclass(slots=True, eq=False)
class _Waiter:
    """A question that waits; `crowded` is set when it is refused after all."""

    turn: trio.Event = field(default_factory=trio.Event)
    started: bool = False
    crowded: Overloaded | None = None


class OverloadGate:
    """Lets questions in as the instance has room.

    Args:
        clock: source of time.
        random: spreads the times to come back.
        events: where changes of the limit and refusals are logged.
        metrics: where refusals and waits are counted.
        find_weight: returns a team's claim, relative to others.
        is_wanted: returns whether questions are held or refused at all.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        events: EventLog,
        metrics: Metrics,
        find_weight: Callable[[str], float] = lambda team: 1.0,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._random = random
        self._events = events
        self._metrics = metrics
        self._find_weight = find_weight
        self._is_wanted = is_wanted
        self.room: InstanceLimiter[_Waiter] = InstanceLimiter()
        self._times: dict[str, DecayedLatency] = {}
        self._busy = trio.Event()

    @asynccontextmanager
    async def hold(self, question: RoutedQuestion) -> AsyncIterator[NotRun | None]:
        """Wait until a question may be worked on; yield why it may not be.

        Args:
            question: that came in; nothing was sent for it yet.
        """
        if not self._is_wanted():
            yield None
            return
        refusal = await self._enter(question)
        if refusal is not None:
            yield refusal
            return
        start = self._clock.monotonic()
        try:
            yield None
        finally:
            now = self._clock.monotonic()
            times = self._times.setdefault(question.kind, DecayedLatency())
            times.observe(now, now - start)
            self.room.finish(now, now - start)
            self._let_in(now)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Watch how far the event loop is behind, until cancelled."""
        task_status.started()
        while True:
            if not self.room.in_progress:
                self._busy = trio.Event()
                await self._busy.wait()
            due = self._clock.monotonic() + LOOK_INTERVAL
            await trio.sleep(LOOK_INTERVAL)
            now = self._clock.monotonic()
            self.look(max(0.0, now - due), now)

    def look(self, delay: float, now: float) -> None:
        """Take in by how many seconds the event loop was behind at one look."""
        before = self.room.limit
        self.room.record_delay(delay, now)
        if self.room.limit != before:
            self._tell_limit(before)
        self._let_in(now)
        self._turn_away(now)

    def _tell_limit(self, before: float) -> None:
        """Tell operators of a limit that has changed."""
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
        found = self.room.submit(waiter, self._describe(question, now), now)
        self._busy.set()
        match found:
            case Started():
                return None
            case Overloaded():
                return self._refuse(question, found, 0.0)
        self._let_in(now)
        try:
            with trio.move_on_at(question.deadline):
                await waiter.turn.wait()
        except BaseException:
            if waiter.started:
                self.room.cancel_started()
                self._let_in(self._clock.monotonic())
            raise
        finally:
            if not waiter.turn.is_set():
                self.room.cancel_waiting(waiter)
        waited = self._clock.monotonic() - now
        self._metrics.time("room.wait", waited * 1000)
        if waiter.started:
            return None
        crowded = waiter.crowded or Overloaded(BLIND_RETRY, waited)
        return self._refuse(question, crowded, waited)

    def _describe(self, question: RoutedQuestion, now: float) -> PendingQuestion:
        times = self._times.get(question.kind)
        return PendingQuestion(
            question.rank,
            question.objective_at,
            question.deadline,
            times.estimate(now, 0.0) if times else 0.0,
            question.team,
            self._find_weight(question.team),
        )

    def _let_in(self, now: float) -> None:
        """Tell those whose turn has come."""
        if not self.room.waiting:
            return
        for waiter in self.room.start_waiting(now):
            waiter.started = True
            waiter.turn.set()

    def _turn_away(self, now: float) -> None:
        """Tell those whose turn won't come in time."""
        for waiter, crowded in self.room.remove_late(now):
            waiter.crowded = crowded
            waiter.turn.set()

    def _refuse(
        self, question: RoutedQuestion, crowded: Overloaded, waited: float
    ) -> NotRun:
        retry = draw_retry_after(crowded.retry_after, self._random)
        self._metrics.count("room.refused")
        self._events.emit(
            Events.ROOM_REFUSED,
            request=question.id,
            route=question.kind,
            rank=question.rank,
            team=question.team,
            waited_ms=round(waited * 1000),
            expected_ms=round(crowded.wait * 1000),
            in_progress=self.room.in_progress,
            waiting=self.room.waiting,
            behind_ms=round(self.room.standing_delay() * 1000),
            retry_ms=round(retry.total_seconds() * 1000),
        )
        detail = "this instance has more to do than it can in time"
        return NotRun(Reason.NO_ROOM, detail, retry)
