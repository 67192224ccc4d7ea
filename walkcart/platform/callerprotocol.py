"""What callers speak on the platform."""

from __future__ import annotations

from datetime import timedelta

from walkcart.entry.callerports import CallerRequest
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure
from walkcart.kernel.numbers import read_number
from walkcart.leaves.attempts import Replied
from walkcart.platform.apikeys import read_credential
from walkcart.platform.headers import (
    AUTHORIZATION,
    CHALLENGE,
    DEADLINE_MS,
    EXPECTED_LEAF,
    MISSING_PARTS,
    PART_STAMPS,
    REQUEST_ID,
    RETRY_AFTER,
    STAMP,
    TEAM,
    strip_hop_headers,
)
from walkcart.platform.records import merge_records
from walkcart.wire.http import HttpReply, HttpRequest, find_header
from walkcart.wire.server import Fault
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Set anew for each leaf, whatever the caller sent.
_SET_HERE = frozenset({DEADLINE_MS, EXPECTED_LEAF})
#: Said by this instance alone where requests need keys, or by nobody.
_OF_CALLERS = frozenset({AUTHORIZATION, TEAM})
_TRACEPARENT = b"traceparent"
_OCTETS = (b"content-type", b"application/octet-stream")
_NEEDS_KEY = (CHALLENGE, b"Bearer")

#: Statuses that promise that the request did not run and won't.
_PROMISES = frozenset({408, 421, 429, 503})
_NO_KEY = 401
_NO_ROUTE = 404
_ABOVE_LIMIT = 429
_BAD_GATEWAY = 502
_NOT_RUN = 503
_TIMED_OUT = 504


class PlatformCallerProtocol:
    """Reads callers' requests and makes their answers."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Return what a request means; it goes to leafs without this hop's headers."""
        milliseconds = read_number(request.header(DEADLINE_MS))
        patience = None
        if milliseconds is not None:
            patience = timedelta(milliseconds=min(milliseconds, 10**9))
        headers = strip_hop_headers(request.headers, _SET_HERE)
        return CallerRequest(
            id=request.header(REQUEST_ID) or "",
            host=request.header(b"host") or "",
            timeout=patience,
            forwarded=HttpRequest(
                request.method, request.target, headers, request.body
            ),
            traceparent=request.header(_TRACEPARENT),
            credential=read_credential(request.headers),
        )

    def attach_team(self, request: HttpRequest, team: str) -> HttpRequest:
        """Return a request with its team's name and without the key.

        Args:
            request: that was to be forwarded.
            team: whose key came along; empty on a public route without one.
        """
        kept = (item for item in request.headers if item[0].lower() not in _OF_CALLERS)
        named = ((TEAM, team.encode()),) if team else ()
        headers = (*kept, *named)
        return HttpRequest(request.method, request.target, headers, request.body)

    def render_merged(self, answer: RoutedAnswer, top: int) -> HttpReply:
        """Return the greatest records of the parts, with the parts' stamps."""
        merged = merge_parts(answer, top)
        headers = [_OCTETS, (PART_STAMPS, b", ".join(merged.proofs))]
        if merged.missing:
            headers.append((MISSING_PARTS, b"%d" % len(merged.missing)))
        return HttpReply(200, tuple(headers), merged.body)

    def render_single(self, answer: RoutedAnswer) -> HttpReply:
        """Return the leaf's answer unchanged."""
        _, reply = answer.replies[0]
        return _pass_on(reply)

    def render_failure(self, failure: RoutedFailure) -> HttpReply:
        """Return a leaf's failure unchanged, or why there is no answer."""
        if failure.reply is not None:
            return _pass_on(failure.reply)
        match failure.verdict:
            case NotRun(reason=Reason.NO_ROUTE):
                return HttpReply(_NO_ROUTE)
            case NotRun(reason=Reason.UNAUTHENTICATED):
                return HttpReply(_NO_KEY, (_NEEDS_KEY,))
            case NotRun(reason=Reason.RATE_LIMITED, retry_after=retry_after):
                return HttpReply(_ABOVE_LIMIT, (_tell_return(retry_after),))
            case NotRun(retry_after=retry_after):
                return HttpReply(_NOT_RUN, (_tell_return(retry_after),))
            case MayHaveRun(reason=Reason.DEADLINE):
                return HttpReply(_TIMED_OUT)
            case MayHaveRun():
                return HttpReply(_BAD_GATEWAY)

    def render_fault(self, fault: Fault) -> HttpReply:
        """Return the answer to bytes that are no request."""
        return HttpReply(fault.value)


def merge_parts(answer: RoutedAnswer, top: int) -> MergedAnswer:
    """Return the greatest records of the parts, with the parts' stamps."""
    bodies = [reply.body for _, reply in answer.replies]
    bodies += [part.body for part in answer.merged]
    proofs = tuple(_stamp_of(reply) for _, reply in answer.replies)
    proofs += tuple(proof for part in answer.merged for proof in part.proofs)
    return MergedAnswer(
        merge_records(bodies, top), proofs, answer.missing, answer.sent, answer.repeats
    )


def _tell_return(retry_after: timedelta | None) -> tuple[bytes, bytes]:
    """Return the header that says when asking again makes sense."""
    seconds = retry_after.total_seconds() if retry_after else 0.0
    return (RETRY_AFTER, b"%.3f" % seconds)


def _stamp_of(reply: Replied) -> bytes:
    stamp = find_header(reply.headers, STAMP)
    assert stamp is not None
    return stamp.encode("latin-1")


def _pass_on(reply: Replied) -> HttpReply:
    """Return a leaf's answer, unless its status would promise what isn't so.

    A leaf that has not run a request says so in a header, and such an answer never
    comes here: the status alone proves nothing, but callers would trust it.
    """
    if reply.status in _PROMISES:
        return HttpReply(_BAD_GATEWAY)
    return HttpReply(reply.status, reply.headers, reply.body)
