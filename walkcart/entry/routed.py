"""Handling of requests that are forwarded by routing intents.

The callers' protocol is an interface: its implementation parses requests and renders
replies, and this module decides how a request is served.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which sends requests to the leaves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from random import Random

from returns.result import Result, Success

from walkcart.entry.callerports import CallerProtocol, CallerRequest, TeamRateLimiter
from walkcart.entry.overloadgate import OverloadGate
from walkcart.entry.questionmaker import QuestionMaker
from walkcart.entry.requestlog import RequestLog
from walkcart.entry.shutdowngate import ShutdownGate
from walkcart.entry.startup import StartupGate
from walkcart.entry.teamaccess import find_access
from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.routed import RoutedGathering
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import (
    Route,
    RouteTable,
    ToShards,
)
from walkcart.intent.teams import Team
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.spans import Tracer
from walkcart.routing.quarantine import QuarantineLevel
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Retry-after of requests that are refused because no routing document is known yet.
STARTUP_RETRY_DELAY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class RoutedEntryTools:
    """Dependencies of `RoutedHandler`.

    Args:
        keeper: holds the routing document in force.
        protocol: parses requests of callers and renders replies.
        gathering: dependencies that routed questions share.
        events: log for the end of each request.
        metrics: registry in which requests are counted and timed.
        tracer: makes a span for each request.
        random: chooses where weighted splits begin.
        startup_gate: delays requests while the instance starts.
        origins: computes fingerprints of requests.
        find_configuration_age: returns the seconds since the configuration was last
            confirmed to be the newest.
        room: delays or refuses requests while the instance is overloaded.
        shutdown: refuses requests that can't end before a stopping instance does.
        limits: rate limits of the teams; None if they aren't enforced.
    """

    keeper: RouteKeeper
    protocol: CallerProtocol
    gathering: RoutedTools
    events: EventLog
    metrics: Metrics
    tracer: Tracer
    random: Random
    startup_gate: StartupGate
    origins: RequestOrigins
    find_configuration_age: Callable[[], float]
    room: OverloadGate
    shutdown: ShutdownGate
    limits: TeamRateLimiter | None = None


@dataclass(slots=True)
class _Stage:
    """How far a request has come.

    Args:
        may_have_sent: whether it may have been sent to a leaf or to another instance.
    """

    may_have_sent: bool = False


class RoutedHandler:
    """Answers routed requests.

    Args:
        tools: its dependencies.
    """

    def __init__(self, tools: RoutedEntryTools) -> None:
        self._tools = tools
        self._questions = QuestionMaker(
            tools.protocol, tools.origins, tools.random, tools.gathering.send_time
        )
        self._log = RequestLog(tools.events, tools.metrics)

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request; raise nothing but cancellation."""
        tools = self._tools
        start = tools.gathering.clock.monotonic()
        try:
            caller = tools.protocol.read_request(request)
            return await self._answer_before_shutdown(caller, start)
        except Exception as error:  # answer every request, whatever fails
            tools.events.emit(Events.REQUEST_FAILED, detail=repr(error)[:500])
            verdict = MayHaveRun(Reason.INTERNAL, "a fault of walkcart")
            return tools.protocol.render_failure(RoutedFailure(verdict))

    async def _answer_before_shutdown(
        self, caller: CallerRequest, start: float
    ) -> HttpReply:
        """Answer a request, also if it still waits when the instance has to end."""
        shutdown = self._tools.shutdown
        stage = _Stage()
        with shutdown.limit_wait():
            return await self._route(caller, start, stage)
        if stage.may_have_sent:
            verdict = MayHaveRun(Reason.STOPPING, "the instance stopped while it ran")
            return self._tools.protocol.render_failure(RoutedFailure(verdict))
        return self._refuse(caller, shutdown.reject("it waited until the stop ended"))

    async def _route(
        self, caller: CallerRequest, start: float, stage: _Stage
    ) -> HttpReply:
        tools = self._tools
        if not await tools.startup_gate.wait():
            verdict = NotRun(
                Reason.NO_CONFIGURATION, "no routes are known", STARTUP_RETRY_DELAY
            )
            return self._refuse(caller, verdict)
        table = tools.keeper.table
        route = table.find_route(caller.host, caller.forwarded.target)
        if route is None:
            return self._refuse(caller, NotRun(Reason.NO_ROUTE, "no such route"))
        access = find_access(
            table, route, caller.credential, tools.find_configuration_age()
        )
        if isinstance(access, NotRun):
            return self._refuse(caller, access)
        question = self._questions.make(caller, table, route, access, start)
        rejection = tools.shutdown.check(question)
        if rejection is not None:
            return self._refuse(caller, rejection, question.team)
        question = tools.shutdown.limit_deadline(question)
        charge = partial(self._charge_limit, access.team, question.deadline)
        async with tools.room.admit(question, charge) as refusal:
            if refusal is not None:
                return self._refuse(caller, refusal, question.team)
            return await self._serve(
                caller, table, route, question, access.team, start, stage
            )

    async def _serve(
        self,
        caller: CallerRequest,
        table: RouteTable,
        route: Route,
        question: RoutedQuestion,
        team: Team | None,
        start: float,
        stage: _Stage,
    ) -> HttpReply:
        """Serve an admitted question, unless it is quarantined for crashing leaves."""
        tools = self._tools
        admitted = await tools.gathering.quarantines.admit(question.fingerprint)
        if isinstance(admitted, NotRun):
            self._refund_limit(team, start)
            return self._refuse(caller, admitted, question.team)
        question = replace(question, careful=admitted is QuarantineLevel.CAREFUL)
        stage.may_have_sent = True
        return await self._answer(question, table, route, team, start)

    async def _charge_limit(self, team: Team | None, deadline: float) -> NotRun | None:
        """Charge a request to its team's limit; return a refusal if that is used up."""
        limits = self._tools.limits
        if limits is None or team is None or team.limit is None:
            return None
        max_wait = deadline - self._tools.gathering.clock.monotonic()
        return await limits.admit(team, max(0.0, max_wait))

    def _refund_limit(self, team: Team | None, start: float) -> None:
        """Refund to a team's limit the charge for a request that didn't run."""
        limits = self._tools.limits
        if limits is not None and team is not None and team.limit is not None:
            limits.refund(team, start)

    async def _answer(
        self,
        question: RoutedQuestion,
        table: RouteTable,
        route: Route,
        team: Team | None,
        start: float,
    ) -> HttpReply:
        """Send a question to the leaves and render the reply to the caller."""
        tools = self._tools
        top = route.target.top if isinstance(route.target, ToShards) else 0
        result = await self._gather(question, top)
        elapsed = tools.gathering.clock.monotonic() - start
        version, objective = table.document.version, _describe_objective(route)
        self._log.log_end(question, version, objective, elapsed, result)
        if isinstance(result, Success):
            tools.shutdown.times.observe(question.kind, elapsed)
        match result:
            case Success(answer) if question.success_only:
                reply = tools.protocol.render_merged(answer, top)
                if answer.missing:
                    now = tools.gathering.clock.monotonic()
                    late = max(0.0, now - question.objective_at)
                    self._questions.instance_delay.observe(late)
                return reply
            case Success(answer):
                return tools.protocol.render_single(answer)
            case _:
                failure = result.failure()
                if isinstance(failure.verdict, NotRun):
                    self._refund_limit(team, start)
                return tools.protocol.render_failure(failure)

    async def _gather(
        self, question: RoutedQuestion, top: int
    ) -> Result[RoutedAnswer, RoutedFailure]:
        """Send a question to the leaves, and record whether they crashed under it."""
        tools = self._tools.gathering
        known = tools.quarantines.find_strikes(question.fingerprint)
        watch = CrashWatch(len(question.services), question.careful, known)
        try:
            span = self._tools.tracer.start(
                "routed.request",
                question.traceparent,
                request=question.id,
                route=question.kind,
            )
            with self._tools.tracer.end_on_exit(span):
                if tools.delegates is not None:
                    tools.delegates.gatherers.record_question(len(question.services))
                return await RoutedGathering(tools, question, top, watch=watch).run()
        finally:
            tools.quarantines.record(question.fingerprint, watch, question.careful)

    def _refuse(
        self, caller: CallerRequest, verdict: NotRun, team: str = ""
    ) -> HttpReply:
        document = self._tools.keeper.table.document
        fingerprint = self._tools.origins.fingerprint(caller.forwarded)
        age = None if document.teams is None else self._tools.find_configuration_age()
        self._log.log_refusal(caller, verdict, document.version, fingerprint, team, age)
        return self._tools.protocol.render_failure(RoutedFailure(verdict))


def _describe_objective(route: Route) -> int | None:
    """Return the route's objective in ms, for the log; None if it has none."""
    if route.objective is None:
        return None
    return round(route.objective.total_seconds() * 1000)
