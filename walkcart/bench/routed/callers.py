"""Emulated callers: kinds of request, rates, patience and retries."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import trio

from walkcart.bench.routed.instances import TrialInstance, merge_parts
from walkcart.entry.overloadgate import OverloadGate
from walkcart.entry.routed import CallerRequest, RoutedEntryTools, RoutedHandler
from walkcart.entry.startup import StartupGate
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.server import Fault
from walkcart.wire.verdicts import NotRun

SUCCESS = 200
REFUSED = 503
FAILED = 502
#: Headers by which the emulated protocol tells callers about an answer.
PARTS = b"parts"
RETRY_AFTER = b"retry-after"
#: One way between a caller and the instances of its data centre, in seconds.
CALLER_WAY = 0.001
#: Callers wait as told at most this share of the time that they have left.
MOST_WAIT = 1 / 3


@dataclass(frozen=True, slots=True)
class CallerKind:
    """One kind of request.

    Args:
        name: of the kind, and of its route.
        rate: requests a second of all callers together.
        work: mean seconds at a leaf.
        objective: seconds within which an answer is of full value.
        patience: seconds that a caller waits.
        least_coverage: of an answer; 1 for a request to a single leaf.
        value: of an answer in time.
        late_value: of a later one.
        retries: times that a caller asks again.
        sharded: whether all shards are asked; else a service of its own.
        rank: of the route; 0 is the most urgent.
    """

    name: str
    rate: float
    work: float
    objective: float
    patience: float
    least_coverage: float
    value: float = 1.0
    late_value: float = 0.1
    retries: int = 1
    sharded: bool = True
    rank: int = 0


@dataclass(slots=True)
class Tally:
    """What the callers of one kind got.

    Args:
        asked: requests, retries not counted.
        in_time: answered within the objective, counted from the first try.
        late: answered later.
        refused: ended with a refusal.
        failed: ended otherwise.
        worth: value of the answers, by the square of the share of parts.
        parts: sum of the shares of parts of all answers.
        times: seconds until each answer.
        refusal_times: seconds until each refusal of a try.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    parts: float = 0.0
    times: list[float] = field(default_factory=list)
    refusal_times: list[float] = field(default_factory=list)


class PlainProtocol:
    """The callers' protocol of a trial, without a wire."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Return what a request means."""
        patience = timedelta(seconds=float(request.header(b"patience") or 0))
        return CallerRequest(request.header(b"id") or "", "host", patience, request)

    def attach_team(self, request: HttpRequest, team: str) -> HttpRequest:
        """Return the request: no trial has teams."""
        return request

    def render_merged(self, answer: RoutedAnswer, top: int) -> HttpReply:
        """Return how many parts are in."""
        merged = merge_parts(answer)
        return HttpReply(SUCCESS, ((PARTS, b"%d" % len(set(merged.proofs))),))

    def render_single(self, answer: RoutedAnswer) -> HttpReply:
        """Return the one part."""
        return HttpReply(SUCCESS, ((PARTS, b"1"),))

    def render_failure(self, failure: RoutedFailure) -> HttpReply:
        """Return why there is no answer."""
        if isinstance(failure.verdict, NotRun):
            wait = failure.verdict.retry_after or timedelta()
            seconds = b"%.3f" % wait.total_seconds()
            return HttpReply(REFUSED, ((RETRY_AFTER, seconds),))
        return HttpReply(FAILED)

    def render_fault(self, fault: Fault) -> HttpReply:
        """Return the answer to what is no request."""
        return HttpReply(fault.value)


class Callers:
    """Sends requests of one kind and counts what comes back.

    Args:
        kind: of the requests.
        instances: that take them; one of them is drawn for each try.
        shards: that a whole answer covers.
        random: draws arrivals and instances.
    """

    def __init__(
        self,
        kind: CallerKind,
        instances: list[TrialInstance],
        shards: int,
        random: Random,
    ) -> None:
        self.kind = kind
        self.tally = Tally()
        #: Times as many requests as usual, while many callers come at once.
        self.burst = 1.0
        self._shards = shards
        self._random = random
        self._handlers = [make_handler(item, random) for item in instances]
        self._sent = 0

    async def run(self, until: float) -> None:
        """Send requests until a time, and wait for the last."""
        async with trio.open_nursery() as nursery:
            while True:
                gap = self._random.expovariate(self.kind.rate * self.burst)
                await trio.sleep(gap)
                if trio.current_time() >= until:
                    return
                nursery.start_soon(self._ask)

    async def _ask(self) -> None:
        kind, tally = self.kind, self.tally
        tally.asked += 1
        start = trio.current_time()
        for _ in range(kind.retries + 1):
            left = kind.patience - (trio.current_time() - start)
            if left <= 0:
                break
            began = trio.current_time()
            with trio.move_on_after(left) as waiting:
                reply = await self._try(left)
            if waiting.cancelled_caught:
                break
            if reply.status == SUCCESS:
                self._note_answer(reply, trio.current_time() - start)
                return
            if reply.status == REFUSED:
                tally.refusal_times.append(trio.current_time() - began)
            await self._wait_as_told(reply, kind.patience - (began - start))
        else:
            if reply.status == REFUSED:
                tally.refused += 1
                return
        tally.failed += 1

    async def _try(self, left: float) -> HttpReply:
        self._sent += 1
        headers = (
            (b"id", f"{self.kind.name}-{self._sent}".encode()),
            (b"patience", b"%.4f" % left),
        )
        request = HttpRequest("GET", f"/{self.kind.name}/", headers)
        await trio.sleep(CALLER_WAY)
        reply = await self._random.choice(self._handlers).handle(request)
        await trio.sleep(CALLER_WAY)
        return reply

    async def _wait_as_told(self, reply: HttpReply, left: float) -> None:
        told = float(reply.header(RETRY_AFTER) or 0)
        await trio.sleep(max(0.0, min(told, left * MOST_WAIT)))

    def _note_answer(self, reply: HttpReply, elapsed: float) -> None:
        kind, tally = self.kind, self.tally
        share = float(reply.header(PARTS) or 0) / self._shards
        tally.times.append(elapsed)
        tally.parts += share
        if elapsed <= kind.objective:
            tally.in_time += 1
            tally.worth += kind.value * share * share
        else:
            tally.late += 1
            tally.worth += kind.late_value * share * share


def make_handler(instance: TrialInstance, random: Random) -> RoutedHandler:
    """Return the product's handler of routed requests at an instance."""
    return RoutedHandler(
        RoutedEntryTools(
            instance.keeper,
            PlainProtocol(),
            instance.gathering,
            instance.events,
            instance.metrics,
            instance.tracer,
            random,
            StartupGate(lambda: True),
            instance.origins,
            find_configuration_age=lambda: 0.0,
            room=OverloadGate(
                instance.gathering.clock, random, instance.events, instance.metrics
            ),
        )
    )
