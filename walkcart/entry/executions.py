"""Non-repeatable requests: claim the key, send once, keep the reply.

The order is what makes it safe: nothing is sent before the claim is written,
and the verdict of each way out says whether anything was sent.
"""

from __future__ import annotations

from datetime import timedelta

import trio
from returns.result import Failure, Result, Success

from walkcart.entry.queries import Caller, CallerTools, identify_caller, make_question
from walkcart.entry.replies import render_executed, render_verdict
from walkcart.entry.requests import BadRequest, ExecuteBody, read_execute
from walkcart.fanout.singlesender import OnceRequest, SingleSender
from walkcart.leaves.attempts import Replied
from walkcart.once.claimant import Claimant, Grant
from walkcart.once.keys import (
    BadKey,
    IdempotencyKey,
    digest_key,
    digest_request,
    parse_key,
)
from walkcart.once.records import ClaimOutcome
from walkcart.routing.admission import AdmissionRefused
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: When to come back after a claim that the store couldn't take.
CLAIM_RETRY = timedelta(seconds=2)


class ExecuteHandler:
    """Serves non-repeatable requests.

    Args:
        tools: what every request uses.
        claimant: asks for claims.
        sender: sends to one leaf.
    """

    def __init__(
        self, tools: CallerTools, claimant: Claimant, sender: SingleSender
    ) -> None:
        self._tools = tools
        self._claimant = claimant
        self._sender = sender

    async def handle(self, request: HttpRequest, name: str) -> HttpReply:
        """Return the reply to one non-repeatable request.

        Raises:
            BadRequest: it can't be served; it did not run.
        """
        caller = identify_caller(self._tools, request, name)
        if not caller.service.writes:
            detail = f"service {name} takes no non-repeatable requests"
            raise BadRequest(NotRun(Reason.BAD_REQUEST, detail))
        body = read_execute(request)
        key = self._read_key(caller)
        tracer = self._tools.tracer
        span = tracer.start("entry.execute", caller.options.traceparent, service=name)
        with tracer.end_on_exit(span):
            traceparent = tracer.inject(span, caller.options.traceparent)
            return await self._admit(caller, body, key, traceparent, request.body)

    def _read_key(self, caller: Caller) -> IdempotencyKey:
        try:
            return parse_key(caller.options.idempotency_key, self._tools.clock.now())
        except BadKey as error:
            detail = f"idempotency-key: expected {error}"
            raise BadRequest(NotRun(Reason.KEY_BAD, detail)) from None

    async def _admit(
        self,
        caller: Caller,
        body: ExecuteBody,
        key: IdempotencyKey,
        traceparent: str | None,
        content: bytes,
    ) -> HttpReply:
        admission = self._tools.admissions.of(caller.service.name)
        remaining = caller.deadline - self._tools.clock.monotonic()
        entered = await admission.admit(
            caller.partner.name,
            caller.partner.share,
            caller.policy.queries_in_progress,
            remaining,
        )
        if isinstance(entered, AdmissionRefused):
            detail = "the service has more requests than it can serve in time"
            verdict = NotRun(Reason.OVERLOADED, detail, entered.retry_after)
            return self._fail(verdict)
        try:
            return await self._claim_and_send(caller, body, key, traceparent, content)
        finally:
            admission.release(caller.partner.name, None)

    async def _claim_and_send(
        self,
        caller: Caller,
        body: ExecuteBody,
        key: IdempotencyKey,
        traceparent: str | None,
        content: bytes,
    ) -> HttpReply:
        digest = digest_key(caller.service.name, caller.partner.name, key.value)
        remaining = caller.deadline - self._tools.clock.monotonic()
        grant = await self._claimant.claim(
            digest, key, digest_request(content), timedelta(seconds=remaining)
        )
        if grant.outcome is not ClaimOutcome.GRANTED:
            return self._explain(grant)
        result = await self._send(caller, body, grant, traceparent)
        match result:
            case Success(reply):
                self._claimant.settle(grant, reply.status, reply.body)
                self._tools.metrics.count("query.answered")
                return render_executed(reply.status, reply.body, repeated=False)
            case Failure(NotRun() as verdict):
                self._claimant.withdraw(grant)
                return self._fail(verdict)
            case Failure(verdict):
                return self._fail(verdict)
        raise AssertionError("a result is a success or a failure")

    async def _send(
        self, caller: Caller, body: ExecuteBody, grant: Grant, traceparent: str | None
    ) -> Result[Replied, NotRun | MayHaveRun]:
        remaining = caller.deadline - self._tools.clock.monotonic()
        expires = self._tools.clock.now() + timedelta(seconds=remaining)
        once = OnceRequest(
            question=make_question(caller, bytes(body.command), traceparent),
            routing_key=body.routing_key,
            once_key=grant.key.hex(),
            expires=expires.timestamp(),
        )
        # A caller that goes away must not leave a sent request unsettled.
        with trio.CancelScope(shield=True, deadline=caller.deadline + 1):
            return await self._sender.send(once)
        return Failure(MayHaveRun(Reason.DEADLINE, "no reply before the deadline"))

    def _explain(self, grant: Grant) -> HttpReply:
        """Return the reply to a request whose key wasn't granted."""
        match grant.outcome:
            case ClaimOutcome.REPEATED:
                return render_executed(grant.status, grant.body, repeated=True)
            case ClaimOutcome.IN_PROGRESS:
                detail = "the key was used before and its outcome isn't known"
                return self._fail(MayHaveRun(Reason.KEY_IN_PROGRESS, detail))
            case ClaimOutcome.REUSED:
                detail = "the key was used before for another request"
                return self._fail(NotRun(Reason.KEY_REUSED, detail))
            case ClaimOutcome.TOO_OLD:
                detail = "idempotency-key: expected one issued more lately"
                return self._fail(NotRun(Reason.KEY_BAD, detail))
            case _:
                detail = "the key can't be claimed now"
                verdict = NotRun(Reason.CLAIMS_UNAVAILABLE, detail, CLAIM_RETRY)
                return self._fail(verdict)

    def _fail(self, verdict: NotRun | MayHaveRun) -> HttpReply:
        refused = isinstance(verdict, NotRun)
        self._tools.metrics.count("query.refused" if refused else "query.uncertain")
        return render_verdict(verdict)
