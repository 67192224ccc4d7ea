"""The entry service: accepts HTTP requests of callers and operators and routes them."""

from __future__ import annotations

import re

import trio

from walkcart.entry.credentials import check_operator
from walkcart.entry.executions import ExecuteHandler
from walkcart.entry.operators import OperatorInterface
from walkcart.entry.queries import QueryHandler
from walkcart.entry.replies import render_json, render_verdict
from walkcart.entry.requests import BadRequest
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.invariants import InvariantBroken
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.listing import InstanceList
from walkcart.wire.bodies import MEMORY_RETRY_DELAY, MemoryBudget, MemoryPlan
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.server import Fault, HttpServer, ServerLimits
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

_SERVICE_PATH = re.compile(r"/v1/services/([^/?]+)/(query|execute|explain)")

#: Problem details for input that is not a valid HTTP request, by kind of fault.
FAULT_DETAILS = {
    Fault.MALFORMED: "the bytes are no HTTP/1.1 request",
    Fault.TIMEOUT: "the request wasn't whole in time",
    Fault.BODY_TOO_LONG: "the body is too long",
    Fault.HEADERS_TOO_LONG: "the headers are too long",
    Fault.NO_MEMORY: "no memory is left for the body",
}


class EntryService:
    """Serves callers and operators at one address.

    Args:
        listener: accepts their connections.
        queries: handles queries.
        executions: handles non-repeatable requests.
        operators: answers operators.
        keeper: holds the configuration; readiness depends on whether there is one.
        listing: holds the list of leaves; readiness depends on whether it is known.
        operator_token: bearer token that operators must send.
        events: log for bad requests and failures.
        metrics: registry in which refusals are counted.
        limits: limits on sizes and times of a connection; None for the defaults.
    """

    def __init__(
        self,
        listener: trio.abc.Listener[trio.abc.Stream],
        queries: QueryHandler,
        executions: ExecuteHandler,
        operators: OperatorInterface,
        keeper: ConfigurationKeeper,
        listing: InstanceList,
        operator_token: str,
        events: EventLog,
        metrics: Metrics,
        limits: ServerLimits | None = None,
    ) -> None:
        self._listener = listener
        self._queries = queries
        self._executions = executions
        self._operators = operators
        self._keeper = keeper
        self._listing = listing
        self._operator_token = operator_token
        self._events = events
        self._metrics = metrics
        self._accepting = trio.CancelScope()
        self.ready = False
        self.server = HttpServer(
            self._handle,
            limits or ServerLimits(),
            self._answer_fault,
            self._log_disconnect,
            on_error=self._log_error,
            budget=MemoryBudget(MemoryPlan().requests),
        )

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept connections and serve them until cancelled."""
        async with trio.open_nursery() as connections:
            self.ready = True
            self._events.emit(Events.STARTED)
            task_status.started()
            with self._accepting:
                await trio.serve_listeners(
                    self.server.serve, [self._listener], handler_nursery=connections
                )
            await trio.sleep_forever()

    async def stop_accepting(self) -> None:
        """Close the listener; open connections are served further."""
        self._accepting.cancel()
        await trio.aclose_forcefully(self._listener)

    def _log_error(self, error: Exception) -> None:
        log_task_error(self._events, "connection of a caller", error)

    def _log_disconnect(self) -> None:
        self._events.emit(Events.CALLER_GONE)

    def _answer_fault(self, fault: Fault) -> HttpReply:
        self._events.emit(Events.REQUEST_BAD, detail=FAULT_DETAILS[fault])
        verdict = NotRun(Reason.BAD_REQUEST, FAULT_DETAILS[fault])
        if fault is Fault.NO_MEMORY:
            detail = FAULT_DETAILS[fault]
            verdict = NotRun(Reason.OVERLOADED, detail, MEMORY_RETRY_DELAY)
        problem = render_verdict(verdict)
        return HttpReply(fault.value, problem.headers, problem.body)

    async def _handle(self, request: HttpRequest) -> HttpReply:
        try:
            return await self._route(request)
        except BadRequest as error:
            return self._refuse(error.verdict)
        except Exception as error:  # answer every request, whatever fails
            self._events.emit(Events.REQUEST_FAILED, detail=repr(error)[:500])
            if isinstance(error, InvariantBroken):
                raise
            return render_verdict(MayHaveRun(Reason.INTERNAL, "a fault of walkcart"))

    def _refuse(self, verdict: NotRun) -> HttpReply:
        self._metrics.count("query.refused")
        self._events.emit(
            Events.REQUEST_BAD, reason=verdict.reason.value, detail=verdict.detail
        )
        return render_verdict(verdict)

    async def _route(self, request: HttpRequest) -> HttpReply:
        path = request.target.partition("?")[0]
        if path == "/healthz":
            return render_json({"healthy": True})
        if path == "/readyz":
            return self._answer_readiness()
        if path == "/v1/status":
            self._check_method(request, "GET")
            check_operator(request, self._operator_token)
            return render_json(self._operators.describe_status())
        if path == "/v1/revision":
            self._check_method(request, "GET")
            check_operator(request, self._operator_token)
            return render_json({"revision": self._keeper.document.revision})
        found = _SERVICE_PATH.fullmatch(path)
        if found is None:
            raise BadRequest(NotRun(Reason.UNKNOWN_SERVICE, "no such path"))
        return await self._route_service(request, found[1], found[2])

    async def _route_service(
        self, request: HttpRequest, name: str, action: str
    ) -> HttpReply:
        match action:
            case "query":
                self._check_method(request, "POST")
                return await self._queries.handle(request, name)
            case "execute":
                self._check_method(request, "POST")
                return await self._executions.handle(request, name)
            case _:
                self._check_method(request, "GET")
                check_operator(request, self._operator_token)
                return render_json(self._operators.explain_service(name))

    def _check_method(self, request: HttpRequest, method: str) -> None:
        if request.method != method:
            raise BadRequest(NotRun(Reason.BAD_REQUEST, f"expected {method}"))

    def _answer_readiness(self) -> HttpReply:
        reasons = []
        if not self.ready:
            reasons.append("stopping")
        if self._keeper.document.revision == 0:
            reasons.append("no_configuration")
        if not self._listing.known:
            reasons.append("no_instance_list")
        if self._keeper.is_isolated():
            reasons.append("control_cut")
        content = {"ready": not reasons, "reasons": reasons}
        return render_json(content, 503 if reasons else 200)
