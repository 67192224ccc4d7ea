"""The platform's protocol for leaves: forwards requests and reads replies."""

from __future__ import annotations

from datetime import timedelta

from walkcart.kernel.numbers import read_number
from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.leaves.protocol import HeaderMap, LeafStatus, limit_duration
from walkcart.platform.headers import (
    COLD_MS,
    CONTENT_ENCODING,
    DEADLINE_MS,
    EXPECTED_LEAF,
    KEEP_ALIVE,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    STAMP,
    strip_hop_headers,
)
from walkcart.wire.http import HttpReply, HttpRequest, find_header
from walkcart.wire.verdicts import MayHaveRun, Reason

#: Status by which a leaf refuses a request that was meant for another leaf process at
#: the same address. The request was not run.
_MISDIRECTED = 421
_TIMEOUT_PARAMETER = b"timeout="
#: Headers in which a leaf describes itself, not the request.
_LEAF_STATUS_HEADERS = frozenset({LOAD, COLD_MS})


class PlatformLeafProtocol:
    """Forwards callers' requests to leaves unchanged and reads the replies."""

    skips_stray_replies = True

    def encode(self, attempt: Attempt, remaining: float) -> HttpRequest:
        """Return the caller's request with the leaf's id and the remaining time.

        Args:
            attempt: the attempt to encode.
            remaining: time left for the request, in seconds.
        """
        assert attempt.caller_request is not None
        headers = (
            *attempt.caller_request.headers,
            (DEADLINE_MS, b"%d" % max(1, int(remaining * 1000))),
            (EXPECTED_LEAF, attempt.leaf_id.encode()),
        )
        request = attempt.caller_request
        return HttpRequest(request.method, request.target, headers, request.body)

    def is_reply_to(self, attempt: Attempt, found: HeaderMap) -> bool:
        """Return whether a reply echoes the id of this request, or no id at all."""
        echoed = found.get(REQUEST_ID)
        if echoed is None:
            return True
        return echoed.decode("latin-1") == self.make_request_key(attempt)

    def make_request_key(self, attempt: Attempt) -> str:
        """Return the caller's id, which all attempts of one request share."""
        assert attempt.caller_request is not None
        return find_header(attempt.caller_request.headers, REQUEST_ID) or ""

    def read_status(self, found: HeaderMap) -> LeafStatus:
        """Read a leaf's load, its pace and its remaining cold time from a reply."""
        figures = [
            read_number(part.strip()) for part in found.get(LOAD, b"").split(b",")
        ]
        running, waiting, _, percent = (*figures, None, None, None)[:4]
        load = None if running is None else running + (waiting or 0)
        if None in figures:
            percent = None
        cold = read_number(found.get(COLD_MS))
        return LeafStatus(
            held=None,
            load=load,
            incarnation=0,
            leaving=False,
            pace=percent / 100 if percent else None,
            cold_time=None if cold is None else limit_duration(cold / 1000),
        )

    def read_outcome(
        self, attempt: Attempt, reply: HttpReply, found: HeaderMap, elapsed: float
    ) -> Outcome:
        """Classify a reply: whether the request was run, and whether it is usable.

        Args:
            attempt: the attempt that the reply belongs to.
            reply: the reply.
            found: the reply's headers by name.
            elapsed: seconds from sending the request to receiving the reply.
        """
        if reply.status == _MISDIRECTED:
            return Refused(Reason.LEAF_REPLACED)
        if NOT_RUN in found:
            if REQUEST_ID not in found and self.make_request_key(attempt):
                # It may be a late copy of the refusal of another request.
                detail = "a refusal without the id of its request"
                return Failed(MayHaveRun(Reason.LEAF_FAILED, detail))
            return Refused(Reason.LEAF_REFUSED, _read_retry_after(found))
        success = 200 <= reply.status < 300
        headers = strip_hop_headers(reply.headers, _LEAF_STATUS_HEADERS)
        # The leaf may have declared its stamp a header of this connection only.
        stamped = find_header(headers, STAMP) is not None
        if success and (not stamped or CONTENT_ENCODING in found):
            detail = "a success without a stamp, or with an encoding"
            return Failed(MayHaveRun(Reason.LEAF_FAILED, detail))
        if attempt.success_only and not success:
            detail = f"the leaf answered {reply.status}"
            return Failed(MayHaveRun(Reason.LEAF_FAILED, detail))
        return Replied(
            attempt.pin,
            False,
            reply.status,
            reply.body,
            elapsed,
            headers=headers,
            share=reply.share,
        )

    def read_idle_timeout(self, found: HeaderMap) -> float | None:
        """Return the seconds for which the leaf keeps an idle connection open."""
        for part in found.get(KEEP_ALIVE, b"").split(b","):
            part = part.strip()
            if part.startswith(_TIMEOUT_PARAMETER):
                seconds = read_number(part[len(_TIMEOUT_PARAMETER) :])
                return None if seconds is None else float(seconds)
        return None

    def make_status_request(self) -> HttpRequest | None:
        """Return None: leaves report their load on replies, so none is needed."""
        return None

    def make_cancel_request(self, attempt_id: str) -> HttpRequest | None:
        """Return None: leaves drop a request when its connection closes."""
        return None


def _read_retry_after(found: HeaderMap) -> timedelta | None:
    """Return the time to wait before a retry, or None if the leaf gave none."""
    try:
        return limit_duration(float(found[RETRY_AFTER]))
    except (KeyError, ValueError):
        return None
