"""Parsing and validation of what callers send.

See Also:
    ``docs/API.md``, which lists every field with its unit.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from walkcart.kernel.decoding import BadData, JsonDecoder
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import NotRun, Reason

CONTENT_TYPE = b"content-type"
DEADLINE = b"walkcart-deadline-ms"
LEAST_COVERAGE = b"walkcart-least-coverage"
IDEMPOTENCY_KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"
MAX_DEADLINE_MS = 600_000


class BadRequest(Exception):
    """The request is invalid and did not run.

    Args:
        verdict: the verdict to reply with.
    """

    def __init__(self, verdict: NotRun) -> None:
        super().__init__(verdict.detail)
        self.verdict = verdict


def make_bad_request(detail: str) -> BadRequest:
    """Return the exception for a malformed request."""
    return BadRequest(NotRun(Reason.BAD_REQUEST, detail))


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a query.

    Args:
        query: passed to each leaf unchanged.
        order_by: field by which the rows of all shards are sorted; None keeps
            them in the order of the shards.
        descending: whether the highest value comes first.
        limit: maximum number of rows in the reply; 0 for all.
    """

    query: msgspec.Raw
    order_by: str | None = None
    descending: bool = False
    limit: int = 0


class ExecuteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a non-repeatable request.

    Args:
        command: passed to the leaf unchanged.
        routing_key: key that determines the shard.
    """

    command: msgspec.Raw
    routing_key: str = ""


@dataclass(frozen=True, slots=True)
class CallerOptions:
    """Options that a caller sets by headers.

    Args:
        deadline: seconds until the reply is due; None for the policy's.
        least_coverage: smallest fraction of the shards that must answer; None for the
            policy's.
        idempotency_key: the header as sent.
        traceparent: the header as sent.
    """

    deadline: float | None
    least_coverage: float | None
    idempotency_key: str | None
    traceparent: str | None


_QUERY = JsonDecoder(QueryBody)
_EXECUTE = JsonDecoder(ExecuteBody)


def read_query(request: HttpRequest) -> QueryBody:
    """Read the body of a query.

    Raises:
        BadRequest: wrong content type, invalid JSON, or fields that don't fit.
    """
    body = _decode(request, _QUERY)
    if body.limit < 0:
        raise make_bad_request("limit: expected 0 or more")
    return body


def read_execute(request: HttpRequest) -> ExecuteBody:
    """Read the body of a non-repeatable request.

    Raises:
        BadRequest: wrong content type, invalid JSON, or fields that don't fit.
    """
    return _decode(request, _EXECUTE)


def _decode(request: HttpRequest, decoder):
    media = (request.header(CONTENT_TYPE) or "").split(";")[0].strip().lower()
    if media != "application/json":
        raise make_bad_request("content-type: expected application/json")
    try:
        # The parts that leaves get unchanged are decoded by nothing else, so invalid
        # UTF-8 in them would go through.
        request.body.decode("utf-8")
        return decoder.decode(request.body)
    except BadData as error:
        raise make_bad_request(f"body: {error}") from None
    except UnicodeDecodeError:
        raise make_bad_request("body: expected UTF-8") from None


def read_options(request: HttpRequest) -> CallerOptions:
    """Read the caller's headers.

    Raises:
        BadRequest: a value is invalid, or the deadline has passed.
    """
    return CallerOptions(
        _read_deadline(request.header(DEADLINE)),
        _read_coverage(request.header(LEAST_COVERAGE)),
        request.header(IDEMPOTENCY_KEY),
        request.header(TRACEPARENT),
    )


def _read_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = int(text)
    except ValueError:
        raise make_bad_request(
            "walkcart-deadline-ms: expected whole milliseconds"
        ) from None
    if milliseconds > MAX_DEADLINE_MS:
        limit = f"at most {MAX_DEADLINE_MS}"
        raise make_bad_request(f"walkcart-deadline-ms: expected {limit}")
    if milliseconds <= 0:
        detail = "the deadline has passed"
        raise BadRequest(NotRun(Reason.DEADLINE, detail))
    return milliseconds / 1000


def _read_coverage(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        share = float(text)
    except ValueError:
        share = -1.0
    if not 0 <= share <= 1:
        raise make_bad_request("walkcart-least-coverage: expected a number from 0 to 1")
    return share
