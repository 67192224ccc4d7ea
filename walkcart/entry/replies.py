"""Rendering of replies: answers as JSON, failures as problem details with a verdict.

References:
    RFC 9457, Problem Details for HTTP APIs.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec

from walkcart.entry.requests import QueryBody
from walkcart.fanout.answers import Answer
from walkcart.wire.http import HttpReply
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

JSON = (b"content-type", b"application/json")
PROBLEM = (b"content-type", b"application/problem+json")
VERDICT = b"walkcart-verdict"

ANSWERED = "answered"
NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"

#: Statuses of leaves that allow no body. Replies with a verdict have one, so they
#: replace such a status by 200.
BODYLESS_STATUSES = (204, 205, 304)

_ENCODE = msgspec.json.Encoder().encode

#: Status of the reply to a request that did not run, by reason; 503 for the others.
NOT_RUN_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.DEADLINE: 504,
    Reason.KEY_BAD: 400,
    Reason.KEY_REUSED: 422,
    Reason.INTERNAL: 500,
}
#: Status of the reply to a request that may have run, by reason; 502 for the others.
MAY_HAVE_RUN_STATUS = {
    Reason.DEADLINE: 504,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.INTERNAL: 500,
}


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """State of the configuration that a reply was made under.

    Args:
        revision: revision of the configuration.
        stale: whether neither the store nor any peer was reached lately.
    """

    revision: int
    stale: bool


class _Rows(msgspec.Struct):
    rows: list[msgspec.Raw]


class _SortableRows(msgspec.Struct):
    rows: list[dict[str, Any]]


_DECODE_ROWS = msgspec.json.Decoder(_Rows).decode
_DECODE_SORTABLE = msgspec.json.Decoder(_SortableRows).decode


class BadRows(ValueError):
    """The body of a leaf's reply isn't of the form ``{"rows": [...]}``."""


def merge_rows(body: QueryBody, answer: Answer) -> list[Any]:
    """Return the rows of all shards, sorted and limited as the caller asked.

    Raises:
        BadRows: the body of a leaf's reply isn't of the expected form.
    """
    try:
        if body.order_by is None:
            rows = [
                row for _, part in answer.replies for row in _DECODE_ROWS(part).rows
            ]
        else:
            rows = _sort_rows(body, answer)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadRows(str(error)) from None
    return rows[: body.limit] if body.limit else rows


def _sort_rows(body: QueryBody, answer: Answer) -> list[Any]:
    """Sort by a field: numbers first, then texts, then rows with neither in it."""
    field = body.order_by
    rows = [row for _, part in answer.replies for row in _DECODE_SORTABLE(part).rows]
    numbers = [row for row in rows if isinstance(row.get(field), int | float)]
    texts = [row for row in rows if isinstance(row.get(field), str)]
    others = [row for row in rows if not isinstance(row.get(field), int | float | str)]
    for part in (numbers, texts):
        part.sort(key=lambda row: row[field], reverse=body.descending)
    return [*numbers, *texts, *others]


def render_answer(
    rows: list[Any], answer: Answer, configuration: ConfigurationState
) -> HttpReply:
    """Return the reply to a query that was answered."""
    coverage = answer.coverage
    content = {
        "verdict": ANSWERED,
        "answer": {"rows": rows},
        "snapshot": {
            "layout": answer.snapshot.layout,
            "version": answer.snapshot.version,
        },
        "coverage": {
            "asked": coverage.asked,
            "answered": coverage.answered,
            "partial": coverage.partial,
            "missing": [
                {"shard": item.shard, "reason": item.reason.value}
                for item in coverage.missing
            ],
            "complete": coverage.complete,
        },
        "configuration": {
            "revision": configuration.revision,
            "stale": configuration.stale,
        },
    }
    headers = (
        JSON,
        (VERDICT, ANSWERED.encode()),
        (b"walkcart-snapshot", str(answer.snapshot).encode()),
        (
            b"walkcart-coverage",
            b"%d/%d" % (len(coverage.answered), coverage.asked),
        ),
        (b"walkcart-leaf-requests", b"%d" % answer.sent),
    )
    return HttpReply(200, headers, _ENCODE(content))


def render_executed(status: int, body: bytes, repeated: bool) -> HttpReply:
    """Return the reply to a non-repeatable request that ran.

    Args:
        status: HTTP status of the leaf's reply.
        body: body of the leaf's reply.
        repeated: whether the reply is the kept one to an earlier request with the
            same key.
    """
    if status in BODYLESS_STATUSES:
        status = 200
    headers = (
        JSON,
        (VERDICT, ANSWERED.encode()),
        (b"walkcart-repeated", b"yes" if repeated else b"no"),
    )
    return HttpReply(status, headers, body)


def render_verdict(verdict: NotRun | MayHaveRun) -> HttpReply:
    """Return the reply to a request that has no answer."""
    match verdict:
        case NotRun(reason, detail, retry_after):
            status = NOT_RUN_STATUS.get(reason, 503)
            return _render_problem(status, NOT_RUN, reason, detail, retry_after)
        case MayHaveRun(reason, detail):
            status = MAY_HAVE_RUN_STATUS.get(reason, 502)
            return _render_problem(status, MAY_HAVE_RUN, reason, detail, None)


def _render_problem(
    status: int,
    verdict: str,
    reason: Reason,
    detail: str,
    retry_after: timedelta | None,
) -> HttpReply:
    content: dict[str, Any] = {
        "type": f"urn:walkcart:problem:{reason.value}",
        "title": reason.value.replace("_", " "),
        "status": status,
        "detail": detail,
        "verdict": verdict,
    }
    headers = [PROBLEM, (VERDICT, verdict.encode())]
    if retry_after is not None:
        seconds = retry_after.total_seconds()
        content["retry_after_ms"] = math.ceil(seconds * 1000)
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(seconds))))
    if reason is Reason.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    return HttpReply(status, tuple(headers), _ENCODE(content))


def render_json(content: Any, status: int = 200) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(status, (JSON,), _ENCODE(content))
