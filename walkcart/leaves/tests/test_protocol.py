"""Replies of the product's own leaves whose bodies nest deeply."""

from walkcart.leaves.attempts import Attempt, Failed
from walkcart.leaves.protocol import SNAPSHOT, read_outcome
from walkcart.wire.http import HttpReply

DEEP = b'{"rows": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def test_a_body_that_nests_deeply_is_no_answer():
    attempt = Attempt("a", 0, 1.0)
    found = {SNAPSHOT: b"1:1"}
    outcome = read_outcome(attempt, HttpReply(200, (), DEEP), found, 0.1)
    assert isinstance(outcome, Failed)
