"""Finds out from the log why a request was late, partial, refused or failed.

This module classifies lines; it reads no files and prints nothing. Most lines name the
cause themselves. Otherwise earlier lines of the same instance show the cause: a peer
that was lost while it gathered, or a leaf that was unreachable or ejected shortly
before.

See Also:
    `walkcart.cli.losses`, the command.
    ``docs/OPERATIONS.md``, how to find a request's cause by hand.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from walkcart.kernel.events import Events
from walkcart.wire.verdicts import Reason

#: Maximum number of entries of each kind remembered per instance.
MAX_REMEMBERED = 10_000
#: Seconds for which a leaf counts as a possible cause after it was unreachable or
#: ejected; instances try such a leaf again after some seconds.
UNREACHABLE_TIME = 10.0


class Outcome(Enum):
    """How a request ended for its caller."""

    GOOD = "good"
    LATE = "late"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"


class Cause(Enum):
    """Why a request was lost, worded for operators."""

    NONE = "none"
    SLOW_LEAF = "a leaf was slow, paused or its queue long"
    DARK_LEAF = "a leaf was unreachable or ejected"
    LEAF_REFUSED = "leafs refused: full or failing their requests"
    LEAF_FAILED = "leafs failed or broke off"
    BUDGET_SPENT = "budget of repeats spent"
    NO_ROOM = "too much waited for the leafs or the instance"
    NO_CONNECTION = "no connection to a leaf"
    NO_LEAF = "no leaf known"
    NO_CONFIGURATION = "no configuration yet"
    NO_ROUTE = "no such route in this version"
    NO_KEY = "no key that a team has in this version"
    CONFIGURATION_OLD = "unknown key, and the version may be old"
    ABOVE_LIMIT = "above its team's limit"
    LIMIT_UNKNOWN = "nobody could say what its team's limit allows"
    LOST_INSTANCE = "another instance was lost with its group"
    CALLER_GONE = "the caller left"
    STOPPING = "the instance was stopping"
    QUARANTINED = "refused: leafs end when they run it"
    OWN_FAULT = "a fault of walkcart"
    UNKNOWN = "not told by the log"


#: Cause of a loss by the reason in the log line.
CAUSES = {
    Reason.DEADLINE.value: Cause.SLOW_LEAF,
    Reason.COVERAGE.value: Cause.SLOW_LEAF,
    Reason.OVERLOADED.value: Cause.LEAF_REFUSED,
    Reason.NO_ROOM.value: Cause.NO_ROOM,
    Reason.LEAF_REFUSED.value: Cause.LEAF_REFUSED,
    Reason.LEAF_REPLACED.value: Cause.DARK_LEAF,
    Reason.LEAF_FAILED.value: Cause.LEAF_FAILED,
    Reason.LEAF_ENDED.value: Cause.LEAF_FAILED,
    Reason.QUARANTINED.value: Cause.QUARANTINED,
    Reason.REPEAT_BUDGET.value: Cause.BUDGET_SPENT,
    Reason.UNREACHABLE.value: Cause.NO_CONNECTION,
    Reason.NO_LEAF.value: Cause.NO_LEAF,
    Reason.NO_CONFIGURATION.value: Cause.NO_CONFIGURATION,
    Reason.NO_ROUTE.value: Cause.NO_ROUTE,
    Reason.UNAUTHENTICATED.value: Cause.NO_KEY,
    Reason.CONFIGURATION_OLD.value: Cause.CONFIGURATION_OLD,
    Reason.RATE_LIMITED.value: Cause.ABOVE_LIMIT,
    Reason.LIMIT_UNKNOWN.value: Cause.LIMIT_UNKNOWN,
    Reason.CANCELLED.value: Cause.CALLER_GONE,
    Reason.STOPPING.value: Cause.STOPPING,
    Reason.INTERNAL.value: Cause.OWN_FAULT,
}
#: Causes that are replaced by `DARK_LEAF` if a leaf of the service was unreachable.
_MAY_BE_UNREACHABLE = frozenset(
    {Cause.SLOW_LEAF, Cause.NO_CONNECTION, Cause.LEAF_FAILED}
)
#: Causes that are replaced by `LOST_INSTANCE` if a gathering instance was lost.
_MAY_BE_LOST_INSTANCE = frozenset({Cause.NO_CONNECTION, Cause.SLOW_LEAF})


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended.

    Args:
        time: time of the log line, in seconds since the epoch.
        route: name of the route; the host if no route was found.
        outcome: how the request ended for its caller.
        cause: why the request was lost.
    """

    time: float
    route: str
    outcome: Outcome
    cause: Cause


class InstanceHistory:
    """What earlier log lines of one instance report, in bounded memory."""

    def __init__(self) -> None:
        #: Ids of requests that another instance gathered for when it was lost.
        self._lost_requests: OrderedDict[str, None] = OrderedDict()
        #: Service of each leaf, by the leaf's id and by its address.
        self._services: OrderedDict[str, str] = OrderedDict()
        #: When a leaf of each service was last unreachable or ejected, in seconds.
        self._unreachable_at: OrderedDict[str, float] = OrderedDict()

    def process_line(self, line: Mapping[str, Any], time: float) -> RequestEnd | None:
        """Process a line; return a request's end if the line reports one."""
        match line.get("number"):
            case Events.DELEGATE_LOST.number:
                _set_bounded(self._lost_requests, str(line.get("request")), None)
            case Events.LEAF_ADDED.number:
                service = str(line.get("service"))
                _set_bounded(self._services, str(line.get("leaf")), service)
                _set_bounded(self._services, str(line.get("address")), service)
            case Events.LEAF_UNREACHABLE.number | Events.LEAF_EJECTED.number:
                service = self._services.get(str(line.get("leaf")))
                if service is not None:
                    _set_bounded(self._unreachable_at, service, time)
            case Events.REQUEST_DONE.number:
                return self._classify_answer(line, time)
            case Events.REQUEST_UNSERVED.number:
                return self._classify_failure(line, time)
        return None

    def _classify_answer(self, line: Mapping[str, Any], time: float) -> RequestEnd:
        outcome = Outcome.GOOD
        objective = line.get("objective_ms")
        if objective is not None and line.get("ms", 0) > objective:
            outcome = Outcome.LATE
        elif line.get("missing"):
            outcome = Outcome.PARTIAL
        cause = Cause.NONE
        if outcome is not Outcome.GOOD:
            cause = self._find_cause(line, time, Reason.DEADLINE.value)
        if cause is Cause.CALLER_GONE:
            # The caller got an answer, so it hadn't left: the instance cancelled the
            # attempts that were still running when it sent the answer.
            cause = Cause.SLOW_LEAF
        return RequestEnd(time, str(line.get("route")), outcome, cause)

    def _classify_failure(self, line: Mapping[str, Any], time: float) -> RequestEnd:
        refused = line.get("ran", "NotRun") == "NotRun"
        cause = self._find_cause(line, time, str(line.get("reason")))
        route = str(line.get("route", line.get("host")))
        outcome = Outcome.REFUSED if refused else Outcome.FAILED
        return RequestEnd(time, route, outcome, cause)

    def _find_cause(self, line: Mapping[str, Any], time: float, reason: str) -> Cause:
        """Return the most frequent cause of missing parts, else that of the reason."""
        missing: Mapping[str, str] = line.get("missing") or {}
        causes = [CAUSES.get(item, Cause.UNKNOWN) for item in missing.values()]
        cause = CAUSES.get(reason, Cause.UNKNOWN)
        if causes:
            cause = max(causes, key=causes.count)
        if (
            cause in _MAY_BE_LOST_INSTANCE
            and str(line.get("request")) in self._lost_requests
        ):
            return Cause.LOST_INSTANCE
        if cause in _MAY_BE_UNREACHABLE and any(
            self._was_unreachable(key, time) for key in missing
        ):
            return Cause.DARK_LEAF
        return cause

    def _was_unreachable(self, service: str, time: float) -> bool:
        return (
            time - self._unreachable_at.get(service, float("-inf")) <= UNREACHABLE_TIME
        )


def _set_bounded(memory: OrderedDict[str, Any], key: str, value: Any) -> None:
    memory[key] = value
    memory.move_to_end(key)
    while len(memory) > MAX_REMEMBERED:
        memory.popitem(last=False)
