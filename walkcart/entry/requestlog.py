"""Log lines and metrics of how routed requests ended.

See Also:
    ``docs/OPERATIONS.md``, on how to find the cause from such a line.
"""

from __future__ import annotations

from math import isfinite

from returns.result import Failure, Result, Success

from walkcart.entry.callerports import CallerRequest
from walkcart.fanout.mergedanswer import MissingPart
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.wire.verdicts import NotRun, Reason

#: Maximum number of missing services that a log line names.
MAX_LOGGED_MISSING = 5
#: Refusals with a metric of their own: the ones a team's operators look for first.
REFUSAL_METRICS = {
    Reason.UNAUTHENTICATED: "query.unauthenticated",
    Reason.CONFIGURATION_OLD: "query.configuration_old",
    Reason.RATE_LIMITED: "query.rate_limited",
    Reason.LIMIT_UNKNOWN: "query.limit_unknown",
}


class RequestLog:
    """Logs and counts how requests ended.

    Args:
        events: log to write to.
        metrics: registry to count in.
    """

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics

    def log_end(
        self,
        question: RoutedQuestion,
        version: int,
        objective_ms: int | None,
        elapsed: float,
        result: Result[RoutedAnswer, RoutedFailure],
    ) -> None:
        """Log and count how a request ended.

        Args:
            question: the question that the request was served by.
            version: version of the routing document.
            objective_ms: latency objective of the route, in ms; None if it has none.
            elapsed: seconds since the request was read.
            result: the answer or the failure.
        """
        fields = {
            "request": question.id,
            "route": question.kind,
            "version": version,
            "ms": round(elapsed * 1000),
            "objective_ms": objective_ms,
        }
        if question.team:
            fields["team"] = question.team
        self._metrics.time("query.time", elapsed * 1000)
        match result:
            case Success(answer):
                self._log_answer(answer, fields)
            case Failure(failure):
                fields["question"] = question.fingerprint.hex()
                self._log_failure(failure, fields)

    def log_refusal(
        self,
        caller: CallerRequest,
        verdict: NotRun,
        version: int,
        fingerprint: bytes,
        team: str,
        age: float | None,
    ) -> None:
        """Log and count a request that was refused before anything was sent for it.

        Args:
            caller: the request.
            verdict: the reason of the refusal.
            version: version of the routing document.
            fingerprint: fingerprint of the request.
            team: name of the team that sent it; empty if unknown.
            age: seconds since the document was last confirmed to be the newest; None
                where no API key is required.
        """
        self._metrics.count("query.refused")
        if verdict.reason in REFUSAL_METRICS:
            self._metrics.count(REFUSAL_METRICS[verdict.reason])
        fields: dict[str, object] = {
            "request": caller.id,
            "host": caller.host,
            "target": caller.forwarded.target,
            "reason": verdict.reason.value,
            "question": fingerprint.hex(),
            "version": version,
        }
        if age is not None:
            fields["team"] = team
            fields["detail"] = verdict.detail
            fields["age_ms"] = round(age * 1000) if isfinite(age) else None
        self._events.emit(Events.REQUEST_UNSERVED, **fields)

    def _log_answer(self, answer: RoutedAnswer, fields: dict[str, object]) -> None:
        self._metrics.count("query.answered")
        if answer.missing:
            self._metrics.count("query.partial")
        self._events.emit(
            Events.REQUEST_DONE,
            **fields,
            sent=answer.sent,
            repeats=answer.repeats,
            direct=len(answer.replies),
            gathered=len(answer.merged),
            missing=_describe_missing(answer.missing),
        )

    def _log_failure(self, failure: RoutedFailure, fields: dict[str, object]) -> None:
        refused = isinstance(failure.verdict, NotRun)
        self._metrics.count("query.refused" if refused else "query.uncertain")
        self._events.emit(
            Events.REQUEST_UNSERVED,
            **fields,
            ran=type(failure.verdict).__name__,
            reason=failure.verdict.reason.value,
            detail=failure.verdict.detail,
            sent=failure.sent,
            missing=_describe_missing(failure.missing),
        )


def _describe_missing(missing: tuple[MissingPart, ...]) -> dict[str, str]:
    """Return the first few missing services and the reasons, for the log."""
    return {part.service: part.reason.value for part in missing[:MAX_LOGGED_MISSING]}
