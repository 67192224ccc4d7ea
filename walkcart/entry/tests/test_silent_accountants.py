"""A request is called above its team's limit only if enough accountants say so.

With one share known to be exhausted and all other accountants silent, callers within
their limit were told that they had exceeded it.
"""

from random import Random

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.teamlimits import DistributedRateLimiter
from walkcart.intent.teams import RateLimit, Team
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.metrics import Metrics
from walkcart.membership.quotaclient import Answer
from walkcart.routing.quotas import QuotaBounds, list_shares
from walkcart.wire.quotas import QuotaGrant
from walkcart.wire.verdicts import Reason

BOUNDS = QuotaBounds(slack=40.0)
TEAM = Team("riders", limit=RateLimit(10.0, 60.0))
#: Seconds until an exhausted share has room again.
WAIT = 0.8


class StubClient:
    """Answers as accountants of which some are silent and the others have no room."""

    def __init__(self, silent, full=()):
        self.silent = silent
        self.full = full

    def on_late_grant(self, listener):
        pass

    def sort_by_distance(self, shares):
        return list(shares)

    async def ask(self, share, request, deadline):
        if share in self.silent:
            await trio.sleep(0.02)
            return None
        reply = QuotaGrant(1, 0, wait=WAIT, turn=WAIT, full=self.full)
        return Answer(reply, "accountant", trio.current_time())


def refuse(silent, full=(), requests=1):
    """Return the reason and the retry time of the last refused request."""

    async def run():
        limiter = DistributedRateLimiter(
            StubClient(silent, full),
            BOUNDS,
            lambda team: (1, TEAM.limit),
            TrioClock(),
            Random(1),
            Metrics(None, "one"),
        )
        refusals = [await limiter.admit(TEAM, 5.0) for _ in range(requests)]
        return refusals[-1].reason, refusals[-1].retry_after.total_seconds()

    return run_mocked(run)


SHARES = list_shares(TEAM.limit, BOUNDS, TEAM.name)


@pytest.mark.parametrize("requests", (1, 2))
def test_one_exhausted_share_beside_silent_accountants_is_not_above_the_limit(requests):
    reason, retry = refuse(silent=SHARES[1:], requests=requests)
    assert len(SHARES) > 2
    assert reason is Reason.LIMIT_UNKNOWN
    assert retry > 0


def test_one_silent_accountant_beside_exhausted_shares_is_above_the_limit():
    reason, retry = refuse(silent=SHARES[:1])
    assert reason is Reason.RATE_LIMITED
    assert retry >= WAIT


def test_silent_share_that_others_call_exhausted_is_known():
    full = tuple((share, WAIT) for share in SHARES)
    assert refuse(silent=SHARES[:-1], full=full)[0] is Reason.RATE_LIMITED


def test_all_accountants_silent_is_unknown():
    assert refuse(silent=SHARES)[0] is Reason.LIMIT_UNKNOWN
