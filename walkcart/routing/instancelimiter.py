"""How many questions an instance works on at once, and which of the others wait.

The load it answers: more questions than an instance's processor can carry, seen as an
event loop that is behind without a break. Every question passes the loop several
times, so while it is behind all of them become late together. Then a limit holds:
what is over it waits before any work is spent on it, by urgency, and within a rank by
the claims of the teams (start-time fair queueing), and is refused at once when the
measured drain says that its turn comes too late for an answer. Without a standing
delay there is no limit.

Examples:
    >>> room = InstanceLimiter()
    >>> room.submit("first", PendingQuestion(rank=0, due=1.0, deadline=5.0), now=0.0)
    Started()
    >>> room.limit
    inf
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

from walkcart.routing.urgency import Urgency, UrgencyQueue

#: Seconds by which the event loop may be behind: a question passes it four times or
#: so, and at this delay that alone takes up an objective of 100 ms.
MOST_DELAY = 0.025
#: Seconds for which it must be behind at each look: what comes in one piece, such as a
#: large configuration, drains by itself.
STANDING_TIME = 0.25
#: The limit after a standing delay, as a share of the questions in progress.
DECREASE = 0.7
#: Growth of the limit in each `STANDING_TIME` without delay.
INCREASE = 1.25
#: Questions that are worked on at once whatever the delay: their ends tell the drain.
LEAST_LIMIT = 2.0
#: Seconds without a delay and without anybody who waits after which no limit holds.
CALM_TIME = 2.0
#: Seconds after which a completion counts half in the rate of completions.
RATE_TIME = 2.0
#: Weight of a new time in the mean of those for which questions are in progress.
TIME_GAIN = 0.2
#: Factor on the expected wait of a question that comes in: one that can't be answered
#: in time is better refused at once than after a wait.
CAUTION = 1.25
#: Shortest and longest time to come back, in seconds.
LEAST_RETRY = 0.05
LONGEST_RETRY = 30.0
#: Seconds to come back while no completion was seen of late.
BLIND_RETRY = 1.0
#: By it the decayed sum of completions is their rate a second.
_LN_2 = 0.693

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PendingQuestion:
    """A question that wants to be worked on.

    Args:
        rank: 0 is the most urgent.
        due: when its objective ends, in seconds; infinite where it has none.
        deadline: when its caller leaves.
        time: seconds that such a question usually takes.
        team: that asks; empty where there are no teams.
        weight: claim of the team, relative to others.
    """

    rank: int
    due: float
    deadline: float
    time: float = 0.0
    team: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Started:
    """The question may be worked on; tell `InstanceLimiter.finish` when it ends."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """The question waits for its turn."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The question can't be answered in time.

    Args:
        retry_after: seconds until there is likely room.
        wait: seconds for which it would have waited.
    """

    retry_after: float
    wait: float


@dataclass(frozen=True, slots=True)
class _Held(Generic[T]):
    item: T
    entry: PendingQuestion
    turn: float

    @property
    def order(self) -> tuple[int, float]:
        """What goes first is less."""
        return self.entry.rank, self.turn


class InstanceLimiter(Generic[T]):
    """What one instance works on; each question is told by an item of the caller's."""

    def __init__(self) -> None:
        self.limit = float("inf")
        self.in_progress = 0
        self._queue: UrgencyQueue[_Held[T]] = UrgencyQueue()
        self._delays: deque[tuple[float, float]] = deque()
        self._changed_at = 0.0
        self._behind_at = float("-inf")
        self._rate = 0.0
        self._rate_at = 0.0
        #: Seconds for which a question was in progress, of late.
        self._time = 0.0
        #: Virtual time of fair queueing, and where each team's next turn begins.
        self._virtual = 0.0
        self._turns: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Questions that wait for their turn."""
        return len(self._queue)

    def record_delay(self, delay: float, now: float) -> None:
        """Take in by how many seconds the event loop was behind at one look."""
        self._delays.append((now, delay))
        while self._delays[0][0] < now - STANDING_TIME:
            self._delays.popleft()
        if now - self._changed_at >= STANDING_TIME:
            self._adapt(now)

    def standing_delay(self) -> float:
        """Return the least delay of late, in seconds."""
        if len(self._delays) < 2:
            return 0.0
        return min(delay for _, delay in self._delays)

    def submit(
        self, item: T, entry: PendingQuestion, now: float
    ) -> Started | Waiting | Overloaded:
        """Start a question, have it wait, or refuse it.

        Args:
            item: names the question.
            entry: what is known of it.
            now: the present, in seconds.
        """
        if self.in_progress < self.limit and not len(self._queue):
            self._start(entry.team, self._find_turn(entry))
            return Started()
        turn = self._find_turn(entry)
        held = _Held(item, entry, turn)
        ahead = sum(1 for other in self._queue if other.order < held.order)
        wait = self._expect_wait(ahead, now)
        if now + wait * CAUTION + entry.time > entry.deadline:
            return Overloaded(self._find_retry(now), wait)
        self._turns[entry.team] = turn
        urgency = Urgency(entry.rank, entry.due, now, turn)
        self._queue.add(held, urgency)
        return Waiting()

    def finish(self, now: float, elapsed: float) -> None:
        """Note that a question ended; see `take_started` and `take_hopeless`.

        Args:
            now: the present, in seconds.
            elapsed: seconds for which it was in progress.
        """
        self._rate = self._completions(now) + _LN_2 / RATE_TIME
        self._rate_at = now
        gain = TIME_GAIN if self._time else 1.0
        self._time += gain * (elapsed - self._time)
        self.in_progress -= 1

    def cancel_started(self) -> None:
        """Take back a question that was started and never worked on."""
        self.in_progress -= 1

    def cancel_waiting(self, item: T) -> None:
        """Forget a question that waits, since its caller left."""
        for held in self._queue:
            if held.item is item:
                self._queue.remove(held)
                return

    def start_waiting(self, now: float) -> list[T]:
        """Return the questions whose turn has come."""
        started = []
        while self.in_progress < self.limit:
            held = self._queue.pop(now)
            if held is None:
                break
            self._start(held.entry.team, held.turn)
            started.append(held.item)
        return started

    def remove_late(self, now: float) -> list[tuple[T, Overloaded]]:
        """Take out and return what waits and won't be answered in time any more.

        More urgent questions that came later may have taken its turn.
        """
        hopeless = []
        ahead = 0
        for held in sorted(self._queue, key=lambda held: held.order):
            wait = self._expect_wait(ahead, now)
            if now + wait + held.entry.time > held.entry.deadline:
                self._queue.remove(held)
                hopeless.append((held.item, Overloaded(self._find_retry(now), wait)))
            else:
                ahead += 1
        return hopeless

    def _start(self, team: str, turn: float) -> None:
        self.in_progress += 1
        self._virtual = max(self._virtual, turn)
        self._turns[team] = max(turn, self._turns.get(team, 0.0))
        if not self.waiting:
            # Nobody waits: claims on the past bind nobody.
            self._turns.clear()

    def _find_turn(self, entry: PendingQuestion) -> float:
        """Return the virtual time at which a team's next question is due."""
        before = max(self._virtual, self._turns.get(entry.team, 0.0))
        return before + 1.0 / max(entry.weight, 1e-9)

    def _expect_wait(self, ahead: int, now: float) -> float:
        """Return the seconds for which a question waits behind others."""
        over = max(0.0, self.in_progress - self.limit)
        rate = self._find_drain(now)
        return (ahead + over + 1) / rate if rate > 0 else 0.0

    def _find_retry(self, now: float) -> float:
        """Return when what waits now will have drained, in seconds from now."""
        rate = self._find_drain(now)
        if rate <= 0:
            return BLIND_RETRY
        over = max(0.0, self.in_progress - self.limit)
        wait = (self.waiting + over + 1) / rate
        return min(LONGEST_RETRY, max(LEAST_RETRY, wait))

    def _find_drain(self, now: float) -> float:
        """Return how many questions a second end, rather too many than too few.

        By the completions, or while few were seen by what is in progress and for how
        long: who could have been served must not be refused.
        """
        if not self._time:
            return 0.0
        return max(self._completions(now), self.in_progress / self._time)

    def _completions(self, now: float) -> float:
        """Return completions a second of late."""
        return self._rate * 0.5 ** ((now - self._rate_at) / RATE_TIME)

    def _adapt(self, now: float) -> None:
        self._changed_at = now
        if self.standing_delay() > MOST_DELAY:
            self._behind_at = now
            limit = min(self.limit, float(self.in_progress)) * DECREASE
            self.limit = max(LEAST_LIMIT, limit)
        elif self.limit < float("inf"):
            self._relax(now)

    def _relax(self, now: float) -> None:
        """Let the limit grow while it is used up, and fall away after a while."""
        if self.in_progress >= int(self.limit):
            self.limit *= INCREASE
        if now - self._behind_at >= CALM_TIME and not self.waiting:
            self.limit = float("inf")
