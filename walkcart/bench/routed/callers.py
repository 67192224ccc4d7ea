"""Emulated callers: kinds of request, rates, timeouts and retries."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import trio

from walkcart.bench.routed.instances import TrialInstance, merge_parts
from walkcart.entry.overloadgate import OverloadGate
from walkcart.entry.routed import CallerRequest, RoutedEntryTools, RoutedHandler
from walkcart.entry.shutdowngate import ShutdownGate
from walkcart.entry.startup import StartupGate
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.server import Fault
from walkcart.wire.verdicts import NotRun

SUCCESS = 200
REFUSED = 503
FAILED = 502
#: Response headers of the emulated protocol: number of parts, and seconds to wait.
PARTS = b"parts"
RETRY_AFTER = b"retry-after"
#: One-way latency between a caller and an instance, in seconds.
CALLER_LATENCY = 0.001
#: Callers obey a retry-after header for at most this fraction of their time left.
MAX_WAIT_FRACTION = 1 / 3


@dataclass(frozen=True, slots=True)
class CallerKind:
    """One kind of request that callers send.

    Args:
        name: the name of the kind and of its route.
        rate: requests per second of all callers together.
        work: mean work time at a leaf, in seconds.
        objective: seconds within which an answer has its full value.
        timeout: seconds that a caller waits, retries included.
        least_coverage: minimum coverage of an answer; 1 for a request to a single leaf.
        value: value of an answer within the objective.
        late_value: value of a later answer.
        retries: maximum number of retries.
        sharded: whether it goes to all shards; otherwise to the service `single`.
        rank: rank of the route; 0 is the most urgent.
    """

    name: str
    rate: float
    work: float
    objective: float
    timeout: float
    least_coverage: float
    value: float = 1.0
    late_value: float = 0.1
    retries: int = 1
    sharded: bool = True
    rank: int = 0


@dataclass(slots=True)
class Tally:
    """Counts of how the requests of one kind ended.

    Args:
        asked: number of requests, without retries.
        in_time: answered within the objective, counted from the first attempt.
        late: answered later.
        refused: refused at the last attempt.
        failed: ended in any other way.
        earned_value: sum of the answers' values, each times its coverage squared.
        parts: sum of the coverage of all answers.
        times: latency of each answer, in seconds.
        refusal_times: latency of each refused attempt, in seconds.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned_value: float = 0.0
    parts: float = 0.0
    times: list[float] = field(default_factory=list)
    refusal_times: list[float] = field(default_factory=list)


class PlainProtocol:
    """The protocol between callers and instances in a trial; bodies are empty."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Read the id and the timeout from the headers."""
        timeout = timedelta(seconds=float(request.header(b"patience") or 0))
        return CallerRequest(request.header(b"id") or "", "host", timeout, request)

    def attach_team(self, request: HttpRequest, team: str) -> HttpRequest:
        """Return the request unchanged: trials have no teams."""
        return request

    def render_merged(self, answer: RoutedAnswer, top: int) -> HttpReply:
        """Return a reply with the number of parts that have arrived."""
        merged = merge_parts(answer)
        return HttpReply(SUCCESS, ((PARTS, b"%d" % len(set(merged.proofs))),))

    def render_single(self, answer: RoutedAnswer) -> HttpReply:
        """Return a reply with one part."""
        return HttpReply(SUCCESS, ((PARTS, b"1"),))

    def render_failure(self, failure: RoutedFailure) -> HttpReply:
        """Return a refusal with a retry-after header if nothing ran, else a failure."""
        if isinstance(failure.verdict, NotRun):
            wait = failure.verdict.retry_after or timedelta()
            seconds = b"%.3f" % wait.total_seconds()
            return HttpReply(REFUSED, ((RETRY_AFTER, seconds),))
        return HttpReply(FAILED)

    def render_fault(self, fault: Fault) -> HttpReply:
        """Return the reply to a malformed request."""
        return HttpReply(fault.value)


class Callers:
    """Sends the requests of one kind and counts how they end.

    Args:
        kind: the kind of request.
        instances: receive the requests; each attempt goes to one drawn at random.
        shards: number of parts in a complete answer.
        random: draws the arrival times and the instances.
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
        #: Factor on the kind's rate; above 1 during a burst.
        self.burst = 1.0
        self._shards = shards
        self._random = random
        self._handlers = [make_handler(item, random) for item in instances]
        self._sent = 0

    async def run(self, until: float) -> None:
        """Send requests until the time `until`, then wait until all have ended."""
        async with trio.open_nursery() as nursery:
            while True:
                gap = self._random.expovariate(self.kind.rate * self.burst)
                await trio.sleep(gap)
                if trio.current_time() >= until:
                    return
                nursery.start_soon(self._run_request)

    async def _run_request(self) -> None:
        kind, tally = self.kind, self.tally
        tally.asked += 1
        start = trio.current_time()
        for _ in range(kind.retries + 1):
            left = kind.timeout - (trio.current_time() - start)
            if left <= 0:
                break
            attempt_start = trio.current_time()
            with trio.move_on_after(left) as waiting:
                reply = await self._send_attempt(left)
            if waiting.cancelled_caught:
                break
            if reply.status == SUCCESS:
                self._record_answer(reply, trio.current_time() - start)
                return
            if reply.status == REFUSED:
                tally.refusal_times.append(trio.current_time() - attempt_start)
            await self._wait_retry_after(reply, kind.timeout - (attempt_start - start))
        else:
            if reply.status == REFUSED:
                tally.refused += 1
                return
        tally.failed += 1

    async def _send_attempt(self, left: float) -> HttpReply:
        self._sent += 1
        headers = (
            (b"id", f"{self.kind.name}-{self._sent}".encode()),
            (b"patience", b"%.4f" % left),
        )
        request = HttpRequest("GET", f"/{self.kind.name}/", headers)
        await trio.sleep(CALLER_LATENCY)
        reply = await self._random.choice(self._handlers).handle(request)
        await trio.sleep(CALLER_LATENCY)
        return reply

    async def _wait_retry_after(self, reply: HttpReply, left: float) -> None:
        told = float(reply.header(RETRY_AFTER) or 0)
        await trio.sleep(max(0.0, min(told, left * MAX_WAIT_FRACTION)))

    def _record_answer(self, reply: HttpReply, elapsed: float) -> None:
        kind, tally = self.kind, self.tally
        share = float(reply.header(PARTS) or 0) / self._shards
        tally.times.append(elapsed)
        tally.parts += share
        if elapsed <= kind.objective:
            tally.in_time += 1
            tally.earned_value += kind.value * share * share
        else:
            tally.late += 1
            tally.earned_value += kind.late_value * share * share


def make_handler(instance: TrialInstance, random: Random) -> RoutedHandler:
    """Return walkcart's handler of routed requests for an instance."""
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
            shutdown=ShutdownGate(
                instance.gathering.shutdown,
                instance.gathering.clock,
                random,
                instance.metrics,
                has_others=lambda: True,
            ),
        )
    )
