"""Emulated leafs: slots, a bounded queue, work with a tail, pauses, and trouble."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

import trio

from walkcart.bench.routed.timeline import Timeline
from walkcart.routing.distance import Location

#: Seconds in which a leaf turns a request away.
REFUSAL_TIME = 0.001


@dataclass(frozen=True, slots=True)
class LeafShape:
    """What leafs of one kind are like.

    Args:
        slots: requests that run at once.
        queue: requests that wait at the most; more are refused.
        connections: that it takes from all instances together; more are reset.
        handshake: seconds that a new connection takes.
        pause: seconds of one pause; 0 for none.
        pause_every: seconds between two pauses, on average.
        spread: of the work times, as the sigma of a lognormal distribution.
        tail: share of requests that take `tail_factor` times as long.
        tail_factor: see there.
        cold_time: seconds after a start for which it is slow.
        cold_factor: times as long that work takes then.
    """

    slots: int = 2
    queue: int = 12
    connections: int = 26
    handshake: float = 0.006
    pause: float = 0.25
    pause_every: float = 6.0
    spread: float = 0.35
    tail: float = 0.01
    tail_factor: float = 5.0
    cold_time: float = 3.0
    cold_factor: float = 1.6


@dataclass(slots=True)
class LeafTrouble:
    """What is wrong with a leaf at present.

    Args:
        slow: times as long that work takes.
        dark: it says nothing, and new connections hang.
        gone: nobody listens at its address.
        refuse: share of requests that it turns away though it has room.
        lose: share of requests that it runs and whose answer is lost.
    """

    slow: float = 1.0
    dark: bool = False
    gone: bool = False
    refuse: float = 0.0
    lose: float = 0.0


class LeafReply(Enum):
    """What a leaf says of a request."""

    RAN = "ran"
    REFUSED = "refused"
    #: The connection breaks without an answer, though it ran.
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Told:
    """A leaf's word on one request, with its load after it.

    Args:
        reply: the word.
        load: requests that run or wait there.
    """

    reply: LeafReply
    load: int


@dataclass(slots=True)
class Work:
    """A request at a leaf.

    Args:
        seconds: of work.
        deadline: on trio's clock.
        arrived_at: when it came.
        tell: told once how it ended, unless it was cancelled.
        ended: whether nothing more is to be done for it.
    """

    seconds: float
    deadline: float
    arrived_at: float
    tell: Callable[[Told], None]
    ended: bool = False


class EmulatedLeaf:
    """One leaf.

    Args:
        id: of its life.
        service: that it belongs to.
        place: where it stands.
        shape: what it is like.
        timeline: where its work ends.
        random: draws work times, pauses and refusals.
    """

    def __init__(
        self,
        id: str,
        service: str,
        place: Location,
        shape: LeafShape,
        timeline: Timeline,
        random: Random,
    ) -> None:
        self.id = id
        self.service = service
        self.place = place
        self.shape = shape
        self.trouble = LeafTrouble()
        self.connections = 0
        self.arrived = self.ran = self.refused = 0
        self.waited = 0.0
        self._timeline = timeline
        self._random = random
        self._running = 0
        self._queue: deque[Work] = deque()
        self._started_at = trio.current_time()
        self._paused_until = float("-inf")
        if shape.pause:
            timeline.call_after(random.uniform(0, shape.pause_every), self._pause)

    @property
    def load(self) -> int:
        """Requests that run or wait here."""
        return self._running + len(self._queue)

    def draw_work(self, mean: float) -> float:
        """Return the seconds of work of a request that takes `mean` on average."""
        spread = self.shape.spread
        seconds = mean * self._random.lognormvariate(-spread * spread / 2, spread)
        if self._random.random() < self.shape.tail:
            seconds *= self.shape.tail_factor
        return seconds

    def take(self, work: Work) -> None:
        """Take a request, or turn it away."""
        if self.trouble.dark or self.trouble.gone:
            return
        self.arrived += 1
        if self._random.random() < self.trouble.refuse:
            self._refuse(work)
        elif self._running < self.shape.slots:
            self._begin(work)
        elif len(self._queue) < self.shape.queue:
            self._queue.append(work)
        else:
            self._refuse(work)

    def cancel(self, work: Work) -> None:
        """Stop work that nobody waits for; its slot is free at once."""
        if work.ended:
            return
        work.ended = True
        if work in self._queue:
            self._queue.remove(work)
        else:
            self._free_slot()

    def end(self) -> None:
        """Lose all work, as a leaf that crashed."""
        self.trouble.gone = True
        for work in self._queue:
            work.ended = True
        self._queue.clear()

    def _pause(self) -> None:
        self._paused_until = trio.current_time() + self.shape.pause
        gap = self._random.uniform(0.5, 1.5) * self.shape.pause_every
        self._timeline.call_after(gap, self._pause)

    def _refuse(self, work: Work) -> None:
        self.refused += 1
        work.ended = True
        self._timeline.call_after(
            REFUSAL_TIME, lambda: work.tell(Told(LeafReply.REFUSED, self.load))
        )

    def _begin(self, work: Work) -> None:
        now = trio.current_time()
        self._running += 1
        self.waited += now - work.arrived_at
        seconds = work.seconds * self.trouble.slow
        if now - self._started_at < self.shape.cold_time:
            seconds *= self.shape.cold_factor
        start = max(now, self._paused_until)
        self._timeline.call_at(start + seconds, lambda: self._finish(work))

    def _finish(self, work: Work) -> None:
        now = trio.current_time()
        if work.ended or self.trouble.gone:
            return
        if now < self._paused_until:
            self._timeline.call_at(self._paused_until, lambda: self._finish(work))
            return
        work.ended = True
        self.ran += 1
        self._free_slot()
        if self.trouble.dark:
            return
        lost = self._random.random() < self.trouble.lose
        work.tell(Told(LeafReply.LOST if lost else LeafReply.RAN, self.load))

    def _free_slot(self) -> None:
        self._running -= 1
        now = trio.current_time()
        while self._queue and self._running < self.shape.slots:
            work = self._queue.popleft()
            if work.deadline <= now:
                self._refuse(work)
            else:
                self._begin(work)
