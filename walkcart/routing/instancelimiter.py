"""Limits how many questions an instance works on at once.

An instance is overloaded when its event loop is behind schedule without a break. Each
question passes the loop several times, so all questions in progress become late
together. A concurrency limit then applies. Questions above it wait before any work is
spent on them, ordered by urgency and within a rank by the weights of the teams
(start-time fair queueing). A question is refused at once when the measured completion
rate says that its turn would come too late for an answer. Without a standing delay
there is no limit.

Examples:
    >>> limiter = InstanceLimiter()
    >>> limiter.submit("first", PendingQuestion(rank=0, due=1.0, deadline=5.0), now=0.0)
    Started()
    >>> limiter.limit
    inf
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

from walkcart.routing.urgency import Urgency, UrgencyQueue

#: Longest acceptable event loop delay, in seconds. A question passes the loop about
#: four times, so this delay alone uses up an objective of 100 ms.
MAX_LOOP_DELAY = 0.025
#: Seconds for which each sample must show that delay. A single burst of work, such as
#: a large configuration, drains by itself.
STANDING_TIME = 0.25
#: Factor on the questions in progress that gives the limit after a standing delay.
DECREASE_FACTOR = 0.7
#: Factor by which the limit grows in each `STANDING_TIME` without a standing delay.
INCREASE_FACTOR = 1.25
#: Lower bound of the limit: some questions must complete to measure the drain rate.
MIN_LIMIT = 2.0
#: Seconds without a standing delay after which the limit is lifted if nothing waits.
RECOVERY_TIME = 2.0
#: Half-life of a completion in the completion rate, in seconds.
RATE_HALF_LIFE = 2.0
#: Weight of a new observation in the mean time that questions are in progress.
TIME_WEIGHT = 0.2
#: Safety factor on the expected wait of a new question: refusing at once is better
#: than refusing after a wait.
WAIT_SAFETY_FACTOR = 1.25
#: Bounds of the time after which a refused caller may retry, in seconds.
MIN_RETRY = 0.05
MAX_RETRY = 30.0
#: Seconds until a retry while the drain rate is unknown: no recent completion was seen.
DEFAULT_RETRY = 1.0
#: ln 2: turns the exponentially decayed sum of completions into a rate per second.
_LN_2 = 0.693

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PendingQuestion:
    """The properties of a question that asks to start.

    Args:
        rank: urgency; 0 is the most urgent.
        due: when its objective ends, in seconds; infinite without an objective.
        deadline: when its caller stops waiting, in seconds.
        time: seconds that such a question usually takes.
        team: the team that asks; empty without teams.
        weight: share of the team, relative to other teams.
    """

    rank: int
    due: float
    deadline: float
    time: float = 0.0
    team: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Started:
    """The question may be worked on; call `InstanceLimiter.finish` when it ends."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """The question waits for its turn."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The question is refused, since it can't be answered in time.

    Args:
        retry_after: seconds until there is likely capacity.
        wait: seconds that the question would have waited.
    """

    retry_after: float
    wait: float


@dataclass(frozen=True, slots=True)
class _Queued(Generic[T]):
    """A waiting question, with its turn in fair queueing."""

    item: T
    entry: PendingQuestion
    turn: float

    @property
    def order(self) -> tuple[int, float]:
        """The sort key; the smallest goes first."""
        return self.entry.rank, self.turn


class InstanceLimiter(Generic[T]):
    """Limits the questions that one instance works on.

    Each question is identified by an item that the user of this class chooses.
    """

    def __init__(self) -> None:
        self.limit = float("inf")
        self.in_progress = 0
        self._queue: UrgencyQueue[_Queued[T]] = UrgencyQueue()
        self._delays: deque[tuple[float, float]] = deque()
        self._adapted_at = 0.0
        self._overloaded_at = float("-inf")
        self._rate = 0.0
        self._rate_at = 0.0
        #: Moving average of the seconds that a question is in progress.
        self._mean_time = 0.0
        #: Virtual time of fair queueing, and the turn of each team's last question.
        self._virtual_time = 0.0
        self._team_turns: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Number of questions that wait for their turn."""
        return len(self._queue)

    def record_delay(self, delay: float, now: float) -> None:
        """Record one sample of the event loop's delay, in seconds."""
        self._delays.append((now, delay))
        while self._delays[0][0] < now - STANDING_TIME:
            self._delays.popleft()
        if now - self._adapted_at >= STANDING_TIME:
            self._adapt(now)

    def standing_delay(self) -> float:
        """Return the minimum of the recent delays, in seconds."""
        if len(self._delays) < 2:
            return 0.0
        return min(delay for _, delay in self._delays)

    def submit(
        self, item: T, entry: PendingQuestion, now: float
    ) -> Started | Waiting | Overloaded:
        """Start a question, queue it, or refuse it.

        Args:
            item: identifies the question.
            entry: its properties.
            now: current time, in seconds.
        """
        if self.in_progress < self.limit and not len(self._queue):
            self._start(entry.team, self._find_turn(entry))
            return Started()
        turn = self._find_turn(entry)
        held = _Queued(item, entry, turn)
        ahead = sum(1 for other in self._queue if other.order < held.order)
        wait = self._estimate_wait(ahead, now)
        if now + wait * WAIT_SAFETY_FACTOR + entry.time > entry.deadline:
            return Overloaded(self._find_retry(now), wait)
        self._team_turns[entry.team] = turn
        urgency = Urgency(entry.rank, entry.due, now, turn)
        self._queue.add(held, urgency)
        return Waiting()

    def finish(self, now: float, elapsed: float) -> None:
        """Record that a question ended.

        Waiting questions may then start: see `InstanceLimiter.start_waiting` and
        `InstanceLimiter.remove_late`.

        Args:
            now: current time, in seconds.
            elapsed: seconds that the question was in progress.
        """
        self._rate = self._completion_rate(now) + _LN_2 / RATE_HALF_LIFE
        self._rate_at = now
        gain = TIME_WEIGHT if self._mean_time else 1.0
        self._mean_time += gain * (elapsed - self._mean_time)
        self.in_progress -= 1

    def cancel_started(self) -> None:
        """Undo the start of a question that was never worked on."""
        self.in_progress -= 1

    def cancel_waiting(self, item: T) -> None:
        """Remove a waiting question whose caller stopped waiting."""
        for held in self._queue:
            if held.item is item:
                self._queue.remove(held)
                return

    def start_waiting(self, now: float) -> list[T]:
        """Start the waiting questions that fit the limit, and return them."""
        started = []
        while self.in_progress < self.limit:
            held = self._queue.pop(now)
            if held is None:
                break
            self._start(held.entry.team, held.turn)
            started.append(held.item)
        return started

    def remove_late(self, now: float) -> list[tuple[T, Overloaded]]:
        """Remove and return the waiting questions that can't be answered in time.

        A question becomes late when more urgent ones that came later go before it.
        """
        late = []
        ahead = 0
        for held in sorted(self._queue, key=lambda held: held.order):
            wait = self._estimate_wait(ahead, now)
            if now + wait + held.entry.time > held.entry.deadline:
                self._queue.remove(held)
                late.append((held.item, Overloaded(self._find_retry(now), wait)))
            else:
                ahead += 1
        return late

    def _start(self, team: str, turn: float) -> None:
        self.in_progress += 1
        self._virtual_time = max(self._virtual_time, turn)
        self._team_turns[team] = max(turn, self._team_turns.get(team, 0.0))
        if not self.waiting:
            # Without a queue, earlier use must not count against a team.
            self._team_turns.clear()

    def _find_turn(self, entry: PendingQuestion) -> float:
        """Return the virtual finish time of a team's next question."""
        before = max(self._virtual_time, self._team_turns.get(entry.team, 0.0))
        return before + 1.0 / max(entry.weight, 1e-9)

    def _estimate_wait(self, ahead: int, now: float) -> float:
        """Return the seconds that a question waits behind `ahead` others."""
        excess = max(0.0, self.in_progress - self.limit)
        rate = self._find_drain_rate(now)
        return (ahead + excess + 1) / rate if rate > 0 else 0.0

    def _find_retry(self, now: float) -> float:
        """Return the seconds until the current queue has drained, within bounds."""
        rate = self._find_drain_rate(now)
        if rate <= 0:
            return DEFAULT_RETRY
        excess = max(0.0, self.in_progress - self.limit)
        wait = (self.waiting + excess + 1) / rate
        return min(MAX_RETRY, max(MIN_RETRY, wait))

    def _find_drain_rate(self, now: float) -> float:
        """Return the drain rate in questions per second, rather too high than too low.

        It is the higher one of the measured completion rate and of the questions in
        progress over their mean time: a question that could have been served must not
        be refused while few completions were seen.
        """
        if not self._mean_time:
            return 0.0
        return max(self._completion_rate(now), self.in_progress / self._mean_time)

    def _completion_rate(self, now: float) -> float:
        """Return the recent completions per second."""
        return self._rate * 0.5 ** ((now - self._rate_at) / RATE_HALF_LIFE)

    def _adapt(self, now: float) -> None:
        self._adapted_at = now
        if self.standing_delay() > MAX_LOOP_DELAY:
            self._overloaded_at = now
            limit = min(self.limit, float(self.in_progress)) * DECREASE_FACTOR
            self.limit = max(MIN_LIMIT, limit)
        elif self.limit < float("inf"):
            self._relax(now)

    def _relax(self, now: float) -> None:
        """Raise the limit while it is fully used; lift it after a calm time."""
        if self.in_progress >= int(self.limit):
            self.limit *= INCREASE_FACTOR
        if now - self._overloaded_at >= RECOVERY_TIME and not self.waiting:
            self.limit = float("inf")
