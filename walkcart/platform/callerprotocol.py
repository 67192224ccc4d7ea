"""The platform's protocol for callers: reads requests and renders replies."""

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
from walkcart.wire.bodies import MEMORY_RETRY_DELAY
from walkcart.wire.http import HttpReply, HttpRequest, find_header
from walkcart.wire.server import Fault
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Headers that an instance sets anew for each leaf; the caller's values are dropped.
_SET_PER_LEAF = frozenset({DEADLINE_MS, EXPECTED_LEAF})
#: Headers of the caller that aren't forwarded where requests need keys. The instance
#: derives the team from the key, so a team that the caller names isn't trusted.
_CALLER_CREDENTIALS = frozenset({AUTHORIZATION, TEAM})
_TRACEPARENT = b"traceparent"
_CONTENT_TYPE = (b"content-type", b"application/octet-stream")
_CHALLENGE_HEADER = (CHALLENGE, b"Bearer")

#: Statuses that promise that the request has not run and will not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class PlatformCallerProtocol:
    """Parses callers' requests and renders the replies to them."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Parse a request; the forwarded copy lacks the headers of this hop."""
        milliseconds = read_number(request.header(DEADLINE_MS))
        timeout = None
        if milliseconds is not None:
            # The largest readable number would overflow a timedelta.
            timeout = timedelta(milliseconds=min(milliseconds, 10**9))
        headers = strip_hop_headers(request.headers, _SET_PER_LEAF)
        return CallerRequest(
            id=request.header(REQUEST_ID) or "",
            host=request.header(b"host") or "",
            timeout=timeout,
            forwarded=HttpRequest(
                request.method, request.target, headers, request.body
            ),
            traceparent=request.header(_TRACEPARENT),
            credential=read_credential(request.headers),
        )

    def attach_team(self, request: HttpRequest, team: str) -> HttpRequest:
        """Return the request with the name of its team and without the API key.

        Args:
            request: the request to forward.
            team: the team that the key belongs to; empty on a public route without a
                key.
        """
        forwarded = (
            item
            for item in request.headers
            if item[0].lower() not in _CALLER_CREDENTIALS
        )
        team_header = ((TEAM, team.encode()),) if team else ()
        headers = (*forwarded, *team_header)
        return HttpRequest(request.method, request.target, headers, request.body)

    def render_merged(self, answer: RoutedAnswer, top: int) -> HttpReply:
        """Render a merged answer: the `top` greatest records and all stamps."""
        merged = merge_parts(answer, top)
        headers = [_CONTENT_TYPE, (PART_STAMPS, b", ".join(merged.proofs))]
        if merged.missing:
            headers.append((MISSING_PARTS, b"%d" % len(merged.missing)))
        return HttpReply(200, tuple(headers), merged.body)

    def render_single(self, answer: RoutedAnswer) -> HttpReply:
        """Render the answer of a single leaf, unchanged."""
        _, reply = answer.replies[0]
        return _forward_reply(reply)

    def render_failure(self, failure: RoutedFailure) -> HttpReply:
        """Render a leaf's failure reply unchanged, or the status of the verdict."""
        if failure.reply is not None:
            return _forward_reply(failure.reply)
        match failure.verdict:
            case NotRun(reason=Reason.NO_ROUTE):
                return HttpReply(_NOT_FOUND)
            case NotRun(reason=Reason.UNAUTHENTICATED):
                return HttpReply(_UNAUTHORIZED, (_CHALLENGE_HEADER,))
            case NotRun(reason=Reason.RATE_LIMITED, retry_after=retry_after):
                return HttpReply(_TOO_MANY_REQUESTS, (_make_retry_after(retry_after),))
            case NotRun(retry_after=retry_after):
                return HttpReply(_UNAVAILABLE, (_make_retry_after(retry_after),))
            case MayHaveRun(reason=Reason.DEADLINE):
                return HttpReply(_GATEWAY_TIMEOUT)
            case MayHaveRun():
                return HttpReply(_BAD_GATEWAY)

    def render_fault(self, fault: Fault) -> HttpReply:
        """Render the reply to a caller whose bytes aren't a request to serve."""
        if fault is Fault.NO_MEMORY:
            return HttpReply(fault.value, (_make_retry_after(MEMORY_RETRY_DELAY),))
        return HttpReply(fault.value)


def merge_parts(answer: RoutedAnswer, top: int) -> MergedAnswer:
    """Merge the parts of an answer: keep the `top` greatest records and all stamps."""
    bodies = [reply.body for _, reply in answer.replies]
    bodies += [part.body for part in answer.merged]
    proofs = tuple(_get_stamp(reply) for _, reply in answer.replies)
    proofs += tuple(proof for part in answer.merged for proof in part.proofs)
    return MergedAnswer(
        merge_records(bodies, top), proofs, answer.missing, answer.sent, answer.repeats
    )


def _make_retry_after(retry_after: timedelta | None) -> tuple[bytes, bytes]:
    """Return the header that states after how many seconds a retry makes sense."""
    seconds = retry_after.total_seconds() if retry_after else 0.0
    return (RETRY_AFTER, b"%.3f" % seconds)


def _get_stamp(reply: Replied) -> bytes:
    stamp = find_header(reply.headers, STAMP)
    assert stamp is not None
    return stamp.encode("latin-1")


def _forward_reply(reply: Replied) -> HttpReply:
    """Return a leaf's reply, or 502 if its status would be a false promise.

    Callers read some statuses as a promise that the request has not run. A leaf that
    really has not run it says so in a header, and such replies are handled earlier; so
    here a status of this kind proves nothing.
    """
    if reply.status in _NOT_RUN_STATUSES:
        return HttpReply(_BAD_GATEWAY)
    return HttpReply(reply.status, reply.headers, reply.body, reply.share)
