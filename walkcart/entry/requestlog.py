"""Lines and counts of how routed requests ended.

See Also:
    ``docs/OPERATIONS.md``, which leads from such a line to the cause.
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

#: Missing services that a line names at the most.
MOST_NAMED = 5
#: Counted by themselves: what a team's operators look for first.
REFUSALS = {
    Reason.UNAUTHENTICATED: "query.unauthenticated",
    Reason.CONFIGURATION_OLD: "query.configuration_old",
    Reason.RATE_LIMITED: "query.rate_limited",
    Reason.LIMIT_UNKNOWN: "query.limit_unknown",
}


class RequestLog:
    """Logs and counts how requests ended.

    Args:
        events: where lines go.
        metrics: where they are counted.
    """

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics

    def note_end(
        self,
        question: RoutedQuestion,
        version: int,
        objective_ms: int | None,
        elapsed: float,
        result: Result[RoutedAnswer, RoutedFailure],
    ) -> None:
        """Log and count how a request ended.

        Args:
            question: that it asked.
            version: of the routing document.
            objective_ms: of its route, in ms; None where it has none.
            elapsed: seconds since it was read.
            result: what came of it.
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
                self._note_answer(answer, fields)
            case Failure(failure):
                fields["question"] = question.fingerprint.hex()
                self._note_failure(failure, fields)

    def note_refusal(
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
            caller: its request.
            verdict: why it was refused.
            version: of the routing document.
            fingerprint: of the request.
            team: whose it is; empty where that isn't known.
            age: seconds since the document surely was the newest; None where requests
                need no key.
        """
        self._metrics.count("query.refused")
        if verdict.reason in REFUSALS:
            self._metrics.count(REFUSALS[verdict.reason])
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

    def _note_answer(self, answer: RoutedAnswer, fields: dict[str, object]) -> None:
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

    def _note_failure(self, failure: RoutedFailure, fields: dict[str, object]) -> None:
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
    """Return the missing services for the log, a few at the most."""
    return {part.service: part.reason.value for part in missing[:MOST_NAMED]}
