"""Emulated leaves: slots, a bounded queue, long-tailed work times, pauses, faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

import trio

from walkcart.bench.routed.timeline import Timeline
from walkcart.routing.distance import Location

#: Seconds that a leaf takes to refuse a request.
REFUSAL_DELAY = 0.001


@dataclass(frozen=True, slots=True)
class LeafShape:
    """The properties of one kind of emulated leaf.

    Args:
        slots: maximum number of requests that run at once.
        queue: maximum number of waiting requests; more are refused.
        connections: maximum from all instances together; further ones are reset.
        handshake: seconds that it takes to open a connection.
        pause: length of one pause in seconds; 0 for no pauses.
        pause_interval: mean seconds between the starts of two pauses.
        spread: sigma of the lognormal distribution of work times.
        tail: fraction of requests that take `tail_factor` times as long.
        tail_factor: factor on the work time of the requests in the tail.
        cold_time: seconds after its start during which a leaf is slower.
        cold_factor: factor on the work time during `cold_time`.
    """

    slots: int = 2
    queue: int = 12
    connections: int = 26
    handshake: float = 0.006
    pause: float = 0.25
    pause_interval: float = 6.0
    spread: float = 0.35
    tail: float = 0.01
    tail_factor: float = 5.0
    cold_time: float = 3.0
    cold_factor: float = 1.6


@dataclass(slots=True)
class EmulatedFaults:
    """The faults that a leaf has at present.

    Args:
        slowdown: factor on the work time.
        unresponsive: whether it sends no replies and new connections hang.
        gone: whether nothing listens at its address.
        refusal_rate: fraction of requests that it refuses although it has room.
        loss_rate: fraction of requests that run but whose reply is lost.
    """

    slowdown: float = 1.0
    unresponsive: bool = False
    gone: bool = False
    refusal_rate: float = 0.0
    loss_rate: float = 0.0


class LeafReply(Enum):
    """How a leaf ends a request."""

    RAN = "ran"
    REFUSED = "refused"
    #: The request ran, but the connection breaks without a reply.
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class LeafResponse:
    """A leaf's reply to one request, with its load afterwards.

    Args:
        reply: how the request ended.
        load: number of requests that run or wait at the leaf.
    """

    reply: LeafReply
    load: int


@dataclass(slots=True)
class LeafRequest:
    """A request that has arrived at a leaf.

    Args:
        seconds: its work time.
        deadline: time on trio's clock after which it is refused if still queued.
        arrived_at: time of arrival on trio's clock.
        on_response: called once with the reply, unless it was cancelled.
        ended: whether it has been answered, refused, cancelled or lost.
    """

    seconds: float
    deadline: float
    arrived_at: float
    on_response: Callable[[LeafResponse], None]
    ended: bool = False


class EmulatedLeaf:
    """One emulated leaf.

    Args:
        id: identifies this run of the leaf; a restarted leaf has a new one.
        service: name of the service that it belongs to.
        place: its region and data centre.
        shape: its properties.
        timeline: schedules the end of its work and its pauses.
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
        self.faults = EmulatedFaults()
        self.connections = 0
        self.arrived = self.ran = self.refused = 0
        self.queue_time = 0.0
        self._timeline = timeline
        self._random = random
        self._running = 0
        self._queue: deque[LeafRequest] = deque()
        self._started_at = trio.current_time()
        self._paused_until = float("-inf")
        if shape.pause:
            timeline.call_after(random.uniform(0, shape.pause_interval), self._pause)

    @property
    def load(self) -> int:
        """The number of requests that run or wait at this leaf."""
        return self._running + len(self._queue)

    def draw_work(self, mean: float) -> float:
        """Return a random work time in seconds for a request with a mean of `mean`."""
        spread = self.shape.spread
        seconds = mean * self._random.lognormvariate(-spread * spread / 2, spread)
        if self._random.random() < self.shape.tail:
            seconds *= self.shape.tail_factor
        return seconds

    def submit(self, request: LeafRequest) -> None:
        """Run, queue or refuse a request."""
        if self.faults.unresponsive or self.faults.gone:
            return
        self.arrived += 1
        if self._random.random() < self.faults.refusal_rate:
            self._refuse(request)
        elif self._running < self.shape.slots:
            self._start(request)
        elif len(self._queue) < self.shape.queue:
            self._queue.append(request)
        else:
            self._refuse(request)

    def cancel(self, request: LeafRequest) -> None:
        """Cancel a request that nobody waits for; its slot is free at once."""
        if request.ended:
            return
        request.ended = True
        if request in self._queue:
            self._queue.remove(request)
        else:
            self._free_slot()

    def end(self) -> None:
        """Drop all requests without a reply, as a leaf that crashes does."""
        self.faults.gone = True
        for request in self._queue:
            request.ended = True
        self._queue.clear()

    def _pause(self) -> None:
        self._paused_until = trio.current_time() + self.shape.pause
        gap = self._random.uniform(0.5, 1.5) * self.shape.pause_interval
        self._timeline.call_after(gap, self._pause)

    def _refuse(self, request: LeafRequest) -> None:
        self.refused += 1
        request.ended = True
        self._timeline.call_after(
            REFUSAL_DELAY,
            lambda: request.on_response(LeafResponse(LeafReply.REFUSED, self.load)),
        )

    def _start(self, request: LeafRequest) -> None:
        now = trio.current_time()
        self._running += 1
        self.queue_time += now - request.arrived_at
        seconds = request.seconds * self.faults.slowdown
        if now - self._started_at < self.shape.cold_time:
            seconds *= self.shape.cold_factor
        start = max(now, self._paused_until)
        self._timeline.call_at(start + seconds, lambda: self._finish(request))

    def _finish(self, request: LeafRequest) -> None:
        now = trio.current_time()
        if request.ended or self.faults.gone:
            return
        if now < self._paused_until:
            self._timeline.call_at(self._paused_until, lambda: self._finish(request))
            return
        request.ended = True
        self.ran += 1
        self._free_slot()
        if self.faults.unresponsive:
            return
        lost = self._random.random() < self.faults.loss_rate
        request.on_response(
            LeafResponse(LeafReply.LOST if lost else LeafReply.RAN, self.load)
        )

    def _free_slot(self) -> None:
        self._running -= 1
        now = trio.current_time()
        while self._queue and self._running < self.shape.slots:
            request = self._queue.popleft()
            if request.deadline <= now:
                self._refuse(request)
            else:
                self._start(request)
