"""Interpretation of leaf replies with arbitrary contents."""

from datetime import timedelta

from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.leaves.attempts import Attempt, Failed, Refused, Replied
from walkcart.leaves.protocol import MAX_STATED_TIME, read_outcome
from walkcart.platform.leafprotocol import PlatformLeafProtocol
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.verdicts import MayHaveRun, Reason

PROTOCOL = PlatformLeafProtocol()
NAMES = st.sampled_from(
    [
        b"x-request-id",
        b"x-response-stamp",
        b"x-not-executed",
        b"x-server-load",
        b"content-encoding",
        b"retry-after",
        b"keep-alive",
        b"x-warmup-ms",
        b"x-other",
    ]
)
VALUES = st.one_of(
    st.sampled_from(
        [b"1", b"3,0,2", b"timeout=5", b"0.5", b"nan", b"-1", b"", b"\xff", b"9" * 18]
    ),
    st.binary(max_size=20),
)
REPLIES = st.builds(
    HttpReply,
    st.integers(200, 599),
    st.lists(st.tuples(NAMES, VALUES), max_size=6).map(tuple),
    st.binary(max_size=40),
)


def make_attempt(success_only):
    headers = ((b"x-request-id", b"id"),)
    request = HttpRequest("GET", "/", headers)
    return Attempt(
        "a", 0, 1.0, caller_request=request, leaf_id="i", success_only=success_only
    )


@given(REPLIES, st.booleans())
@example(HttpReply(200, ((b"x-warmup-ms", b"9" * 18),)), False)
@example(HttpReply(503, ((b"x-not-executed", b"1"), (b"retry-after", b"-1"))), False)
def test_reply_is_never_taken_for_more_than_it_says(reply, success_only):
    attempt = make_attempt(success_only)
    found = dict(reply.headers)
    status = PROTOCOL.read_status(found)
    assert status.load is None or status.load >= 0
    idle = PROTOCOL.read_idle_timeout(found)
    assert idle is None or idle >= 0
    assert status.cold_time is None or status.cold_time >= timedelta()
    match PROTOCOL.read_outcome(attempt, reply, found, 0.1):
        case Refused(retry_after=retry_after):
            # Only the leaf itself can say that the request did not run.
            assert reply.status == 421 or b"x-not-executed" in found
            assert retry_after is None or retry_after >= timedelta()
        case Replied(status=code, body=body):
            assert (code, body) == (reply.status, reply.body)
            success = 200 <= code < 300
            assert not success or b"x-response-stamp" in found
            assert not success or b"content-encoding" not in found
            assert success or not success_only
        case Failed(verdict):
            assert isinstance(verdict, MayHaveRun)


@given(st.one_of(st.none(), st.binary(max_size=10)))
def test_reply_matches_by_its_request_id_or_without_one(echoed):
    found = {} if echoed is None else {b"x-request-id": echoed}
    matches = PROTOCOL.is_reply_to(make_attempt(False), found)
    assert matches == (echoed in (None, b"id"))


def test_refusal_without_the_id_of_the_request_proves_nothing():
    """Guards against taking a late copy of some other refusal for this request's."""
    headers = ((b"x-not-executed", b"1"),)
    reply = HttpReply(503, headers)
    outcome = PROTOCOL.read_outcome(make_attempt(False), reply, dict(headers), 0.1)
    assert isinstance(outcome, Failed)
    assert isinstance(outcome.verdict, MayHaveRun)
    echoed = (*headers, (b"x-request-id", b"id"))
    outcome = PROTOCOL.read_outcome(
        make_attempt(False), HttpReply(503, echoed), dict(echoed), 0.1
    )
    assert isinstance(outcome, Refused)


def test_longest_times_that_a_leaf_can_state_are_shortened():
    found = {b"x-warmup-ms": b"9" * 18, b"x-not-executed": b"1", b"retry-after": b"1e9"}
    assert PROTOCOL.read_status(found).cold_time == MAX_STATED_TIME
    reply = HttpReply(503, (*found.items(), (b"x-request-id", b"id")))
    outcome = PROTOCOL.read_outcome(
        make_attempt(False), reply, dict(reply.headers), 0.1
    )
    assert outcome == Refused(Reason.LEAF_REFUSED, MAX_STATED_TIME)
    own = read_outcome(
        make_attempt(False),
        HttpReply(503),
        {b"walkcart-ran": b"no", b"walkcart-retry-after-ms": b"9" * 18},
        0.1,
    )
    assert own == Refused(Reason.LEAF_REFUSED, MAX_STATED_TIME)
