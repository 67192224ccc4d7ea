"""What callers send, checked.

See Also:
    ``docs/API.md``, every field with its unit.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import NotRun, Reason

CONTENT_TYPE = b"content-type"
DEADLINE = b"walkcart-deadline-ms"
LEAST_COVERAGE = b"walkcart-least-coverage"
IDEMPOTENCY_KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"
LONGEST_DEADLINE_MS = 600_000


class BadRequest(Exception):
    """A request that can't be served; it did not run.

    Args:
        verdict: what the caller is told.
    """

    def __init__(self, verdict: NotRun) -> None:
        super().__init__(verdict.detail)
        self.verdict = verdict


def refuse(detail: str) -> BadRequest:
    """Return the exception for a request that can't be understood."""
    return BadRequest(NotRun(Reason.BAD_REQUEST, detail))


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a query.

    Args:
        query: passed to each leaf as it is.
        order_by: field by which the rows of all shards are sorted; none keeps
            them in the order of the shards.
        descending: whether the highest comes first.
        limit: rows of the reply at the most; 0 for all.
    """

    query: msgspec.Raw
    order_by: str | None = None
    descending: bool = False
    limit: int = 0


class ExecuteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a non-repeatable request.

    Args:
        command: passed to the leaf as it is.
        routing_key: chooses the shard.
    """

    command: msgspec.Raw
    routing_key: str = ""


@dataclass(frozen=True, slots=True)
class CallerOptions:
    """What a caller says in headers.

    Args:
        deadline: seconds for the reply; None takes the policy's.
        least_coverage: share of the shards; None takes the policy's.
        idempotency_key: as sent.
        traceparent: as sent.
    """

    deadline: float | None
    least_coverage: float | None
    idempotency_key: str | None
    traceparent: str | None


_QUERY = msgspec.json.Decoder(QueryBody)
_EXECUTE = msgspec.json.Decoder(ExecuteBody)


def read_query(request: HttpRequest) -> QueryBody:
    """Read the body of a query.

    Raises:
        BadRequest: wrong content type, no JSON, or not of this form.
    """
    body = _decode(request, _QUERY)
    if body.limit < 0:
        raise refuse("limit: expected 0 or more")
    return body


def read_execute(request: HttpRequest) -> ExecuteBody:
    """Read the body of a non-repeatable request.

    Raises:
        BadRequest: wrong content type, no JSON, or not of this form.
    """
    return _decode(request, _EXECUTE)


def _decode(request: HttpRequest, decoder):
    media = (request.header(CONTENT_TYPE) or "").split(";")[0].strip().lower()
    if media != "application/json":
        raise refuse("content-type: expected application/json")
    try:
        # The parts that leaves get as they are aren't looked into otherwise.
        request.body.decode("utf-8")
        return decoder.decode(request.body)
    except msgspec.MsgspecError as error:
        raise refuse(f"body: {error}") from None
    except UnicodeDecodeError:
        raise refuse("body: expected UTF-8") from None


def read_options(request: HttpRequest) -> CallerOptions:
    """Read the caller's headers.

    Raises:
        BadRequest: a value that can't be taken, or a deadline that has passed.
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
        raise refuse("walkcart-deadline-ms: expected whole milliseconds") from None
    if milliseconds > LONGEST_DEADLINE_MS:
        limit = f"at most {LONGEST_DEADLINE_MS}"
        raise refuse(f"walkcart-deadline-ms: expected {limit}")
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
        raise refuse("walkcart-least-coverage: expected a number from 0 to 1")
    return share
