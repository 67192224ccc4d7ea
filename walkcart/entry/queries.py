"""Queries: from a caller's request to the answer of all shards."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Success

from walkcart.entry.admissions import Admissions
from walkcart.entry.credentials import Authenticator
from walkcart.entry.replies import (
    BadRows,
    InForce,
    merge_rows,
    render_answer,
    render_verdict,
)
from walkcart.entry.requests import BadRequest, CallerOptions, read_options, read_query
from walkcart.fanout.answers import Answer
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.questions import Question
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.intent.document import Document
from walkcart.intent.model import Partner, Service
from walkcart.intent.policy import Policy
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.spans import Tracer
from walkcart.leaves.table import LeafTable
from walkcart.routing.admission import AdmissionRefused
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason


@dataclass(frozen=True, slots=True)
class CallerTools:
    """What every request of callers uses."""

    keeper: ConfigurationKeeper
    table: LeafTable
    authenticator: Authenticator
    admissions: Admissions
    clock: Clock
    events: EventLog
    metrics: Metrics
    tracer: Tracer


@dataclass(frozen=True, slots=True)
class Caller:
    """A request whose caller, service and time are known.

    Args:
        document: the configuration that it is served under, on all its hops.
        partner: whose request it is.
        service: that it asks.
        policy: of the service.
        options: the caller's headers.
        deadline: on the kernel's monotonic clock, in seconds.
    """

    document: Document
    partner: Partner
    service: Service
    policy: Policy
    options: CallerOptions
    deadline: float


def identify_caller(tools: CallerTools, request: HttpRequest, name: str) -> Caller:
    """Check who asks which service, and until when.

    Raises:
        BadRequest: it can't be served.
    """
    document = tools.keeper.document
    if document.revision == 0:
        detail = "no configuration has reached this instance yet"
        raise BadRequest(NotRun(Reason.NO_CONFIGURATION, detail))
    partner = tools.authenticator.find_partner(request, document)
    service = document.configuration.find_service(name)
    if service is None:
        detail = f"no service is named {name[:80]!r}"
        raise BadRequest(NotRun(Reason.UNKNOWN_SERVICE, detail))
    options = read_options(request)
    policy = tools.table.find_policy(document, service.name)
    time = policy.deadline.total_seconds()
    if options.deadline is not None:
        time = min(time, options.deadline)
    deadline = tools.clock.monotonic() + time
    return Caller(document, partner, service, policy, options, deadline)


def make_question(caller: Caller, body: bytes, traceparent: str | None) -> Question:
    """Return the question that a caller's request stands for."""
    least = caller.options.least_coverage
    if least is None:
        least = caller.policy.least_coverage
    return Question(
        service=caller.service.name,
        group=caller.service.shard_group,
        document=caller.document,
        policy=caller.policy,
        scope=caller.partner.scope,
        body=body,
        deadline=caller.deadline,
        least_coverage=least,
        traceparent=traceparent,
    )


class QueryHandler:
    """Serves queries.

    Args:
        tools: what every request uses.
        gatherer: asks the shards.
    """

    def __init__(self, tools: CallerTools, gatherer: Gatherer) -> None:
        self._tools = tools
        self._gatherer = gatherer

    async def handle(self, request: HttpRequest, name: str) -> HttpReply:
        """Return the reply to one query.

        Raises:
            BadRequest: it can't be served; it did not run.
        """
        tools = self._tools
        start = tools.clock.monotonic()
        caller = identify_caller(tools, request, name)
        body = read_query(request)
        span = tools.tracer.start(
            "entry.query", caller.options.traceparent, service=name
        )
        with tools.tracer.end_on_exit(span):
            traceparent = tools.tracer.inject(span, caller.options.traceparent)
            question = make_question(caller, bytes(body.query), traceparent)
            remaining = caller.deadline - start
            admission = tools.admissions.of(caller.service.name)
            entered = await admission.admit(
                caller.partner.name,
                caller.partner.share,
                caller.policy.queries_in_progress,
                remaining,
            )
            if isinstance(entered, AdmissionRefused):
                return self._refuse(entered)
            typical_time = None
            try:
                result = await self._gatherer.ask(question)
                typical_time = result.map(lambda item: item.median_time).value_or(None)
            finally:
                admission.release(caller.partner.name, typical_time)
            match result:
                case Success(answer):
                    return self._answer(body, answer, caller, start)
                case Failure(verdict):
                    return self._fail(verdict)
        raise AssertionError("a result is a success or a failure")

    def _answer(self, body, answer: Answer, caller: Caller, start: float) -> HttpReply:
        in_force = InForce(caller.document.revision, self._tools.keeper.is_isolated())
        try:
            rows = merge_rows(body, answer)
        except BadRows as error:
            detail = f"a leaf's rows can't be read: {error}"
            return self._fail(MayHaveRun(Reason.LEAF_FAILED, detail))
        elapsed = self._tools.clock.monotonic() - start
        self._tools.metrics.time("query.time", elapsed * 1000)
        self._tools.metrics.count("query.answered")
        if not answer.coverage.complete:
            self._tools.metrics.count("query.partial")
        return render_answer(rows, answer, in_force)

    def _refuse(self, turned_away: AdmissionRefused) -> HttpReply:
        detail = "the service has more requests than it can serve in time"
        verdict = NotRun(Reason.OVERLOADED, detail, turned_away.retry_after)
        return self._fail(verdict)

    def _fail(self, verdict: NotRun | MayHaveRun) -> HttpReply:
        refused = isinstance(verdict, NotRun)
        self._tools.metrics.count("query.refused" if refused else "query.uncertain")
        self._tools.events.emit(
            Events.REQUEST_REFUSED,
            verdict=type(verdict).__name__,
            reason=verdict.reason.value,
            detail=verdict.detail,
        )
        return render_verdict(verdict)
