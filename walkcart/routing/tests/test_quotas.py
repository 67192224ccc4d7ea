"""Tests of rate limits that all instances share, with plain data.

No window may hold more requests than allowed, through network cuts, lost replies,
restarts and changed limits.
"""

import math
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walkcart.intent.teams import RateLimit
from walkcart.routing.allowances import (
    MAX_TIMEOUT,
    MIN_TIMEOUT,
    Allowance,
    ReplyTimeout,
)
from walkcart.routing.exhaustedshares import ExhaustedShares
from walkcart.routing.quotas import (
    MAX_SHARES,
    MAX_STARTS,
    START_FRACTION,
    QuotaBounds,
    QuotaRequest,
    ShareAccount,
    list_shares,
    size_bucket,
)
from walkcart.routing.tokenbucket import MAX_TURN_WAIT

BOUNDS = QuotaBounds(window=5.0, tolerance=0.1, slack=20.0)
TEAM = "fitters"
#: Longest simulated time from admission to the leaf, in seconds.
MAX_DELIVERY_TIME = 0.2


def make_request(limit, version=1, amount=1, team=TEAM):
    return QuotaRequest(team, limit, version, amount)


@dataclass
class Share:
    """A simulated share: its account, and its starts within a window."""

    account: ShareAccount
    began_at: float
    starts: int = 1


@dataclass
class Simulation:
    """Simulates instances, accountants and leaves without a network.

    Each instance reaches the shares that `cuts` doesn't list. Grants are used within
    their validity, and requests run after up to `MAX_DELIVERY_TIME`. A share of the
    replies is lost.
    """

    limit: RateLimit
    seed: int
    loss: float = 0.1
    instances: int = 3
    version: int = 1
    now: float = 100.0
    ran: list = field(default_factory=list)
    cuts: set = field(default_factory=set)

    def __post_init__(self):
        self.random = Random(self.seed)
        self.allowances = [Allowance(BOUNDS.hold) for _ in range(self.instances)]
        self.shares = [
            Share(ShareAccount(number, BOUNDS, self.now, True), self.now)
            for number in range(MAX_SHARES)
        ]
        self.limits = [(self.now, self.limit)]

    def restart(self, number):
        """Let another accountant take over a share, as the keys in the store allow."""
        share = self.shares[number]
        recent = self.now - share.began_at <= BOUNDS.window
        starts = share.starts + 1 if recent else 1
        account = ShareAccount(number, BOUNDS, self.now, starts <= MAX_STARTS)
        self.shares[number] = Share(account, self.now, starts)

    def send(self, instance, count, outdated):
        allowance = self.allowances[instance]
        version, limit = self.version, self.limit
        if outdated and len(self.limits) > 1:
            version, limit = version - 1, self.limits[-2][1]
        for _ in range(count):
            if self.admit(instance, allowance, limit, version):
                allowance.record_use(self.now)
                self.ran.append(self.now + self.random.uniform(0.0, MAX_DELIVERY_TIME))

    def admit(self, instance, allowance, limit, version):
        if allowance.try_consume(self.now):
            return True
        shares = list_shares(limit, BOUNDS, TEAM)
        for number in allowance.full.find_available(shares, self.now):
            if (instance, number) in self.cuts:
                continue
            amount = allowance.find_request_amount(self.now)
            told = allowance.full.list_waits(self.now)
            request = QuotaRequest(TEAM, limit, version, amount, told)
            reply = self.shares[number].account.grant(request, self.now)
            if self.random.random() < self.loss:
                continue  # the reply is lost
            if reply.granted:
                allowance.add_grant(reply.granted - 1, self.now + BOUNDS.hold)
                return True
            allowance.full.merge_waits(reply.full, self.now)
            allowance.full.record(number, reply.wait, self.now)
        return False

    def check(self):
        """Check that no window has more runs than its highest limit allows."""
        ran = sorted(self.ran)
        for first, start in enumerate(ran):
            count = 0
            for at in ran[first:]:
                if at >= start + BOUNDS.window:
                    break
                count += 1
            allowed = self.find_allowed(start)
            assert count <= allowed + 1e-6, (count, allowed, start)

    def find_allowed(self, start):
        """Return the bound of a window; a lowered limit applies one window later."""
        since = start - BOUNDS.window
        until = start + BOUNDS.window
        limits_in_window = [limit for at, limit in self.limits if since < at <= until]
        before = [limit for at, limit in self.limits if at <= since]
        return max(
            BOUNDS.max_requests(limit) for limit in [*limits_in_window, *before[-1:]]
        )


limits = st.builds(
    RateLimit,
    rate=st.sampled_from([1.0, 3.0, 10.0, 40.0]),
    burst=st.sampled_from([0.0, 1.0, 5.0, 20.0]),
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.sampled_from([0.01, 0.1, 0.3, 1.0, 2.5])),
        st.tuples(
            st.just("send"),
            st.integers(0, 2),
            st.sampled_from([1, 3, 10, 60]),
            st.booleans(),
        ),
        st.tuples(st.just("restart"), st.integers(0, MAX_SHARES - 1)),
        st.tuples(st.just("cut"), st.integers(0, 2), st.integers(0, MAX_SHARES - 1)),
        st.tuples(st.just("limit"), limits),
        st.tuples(st.just("refund"), st.integers(0, 2)),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(limits, steps, st.integers(0, 10))
def test_no_window_holds_more_than_allowed(limit, actions, seed):
    simulation = Simulation(limit, seed)
    for action in actions:
        match action:
            case ("pass", seconds):
                simulation.now += seconds
            case ("send", instance, count, outdated):
                simulation.send(instance, count, outdated)
            case ("restart", number):
                simulation.restart(number)
            case ("cut", instance, number):
                simulation.cuts ^= {(instance, number)}
            case ("limit", changed):
                simulation.version += 1
                simulation.limit = changed
                simulation.limits.append((simulation.now, changed))
            case ("refund", instance) if simulation.ran:
                # A request that was admitted a moment ago and didn't run.
                admitted_at = simulation.ran.pop() - MAX_DELIVERY_TIME
                allowance = simulation.allowances[instance]
                allowance.refund(admitted_at, simulation.now)
    simulation.check()


def test_a_team_above_its_limit_gets_its_limit_and_no_more():
    limit = RateLimit(10.0, 5.0)
    simulation = Simulation(limit, seed=1)
    for _ in range(6000):
        simulation.now += 0.01
        simulation.send(simulation.random.randrange(3), 1, outdated=False)
    simulation.check()
    # One reply in ten is lost, with the requests that it granted.
    assert 0.85 * 600 <= len(simulation.ran) <= 600 + BOUNDS.slack


def test_a_small_limit_is_fully_served_through_restarts_of_all_shares():
    limit = RateLimit(1.0, 1.0)
    simulation = Simulation(limit, seed=2, loss=0.0)
    sent = 0
    for step in range(2000):
        simulation.now += 0.1
        if step % 300 == 0:
            for number in range(MAX_SHARES):
                simulation.restart(number)
        if step % 20 == 0:
            simulation.send(step % 3, 1, outdated=False)
            sent += 1
    assert len(simulation.ran) == sent


def test_start_levels_give_whole_requests_to_some_shares():
    limit = RateLimit(5.0, 5.0)
    shares = list_shares(limit, BOUNDS, TEAM)
    starts = [size_bucket(limit, BOUNDS, TEAM, share).start for share in shares]
    assert starts[:3] == [1.0, 1.0, 1.0]
    assert sum(starts) == pytest.approx(BOUNDS.slack * START_FRACTION)


def test_a_limit_that_is_too_small_to_divide_stays_whole():
    bounds = QuotaBounds(slack=0.0)
    limit = RateLimit(4.0, 1.0)
    sizes = [size_bucket(limit, bounds, TEAM, number) for number in range(MAX_SHARES)]
    (size,) = [size for size in sizes if size is not None]
    assert (size.rate, size.depth) == (4.0, 1.0)
    assert (
        len({list_shares(limit, bounds, f"team-{n}") for n in range(50)}) == MAX_SHARES
    )
    for number in range(MAX_SHARES):
        account = ShareAccount(number, bounds, 0.0, True)
        reply = account.grant(make_request(limit), now=10.0)
        assert bool(reply.granted) == (sizes[number] is not None)


def test_the_newer_configuration_applies_whichever_instance_sends_it():
    high, low = RateLimit(300.0, 90.0), RateLimit(6.0, 12.0)
    share = list_shares(low, BOUNDS, TEAM)[0]
    account = ShareAccount(share, BOUNDS, 0.0, True)
    assert account.grant(make_request(high, 1), now=100.0).granted == 1
    # The level is cut to the new depth, and a request with the old limit gets nothing.
    granted = [account.grant(make_request(low, 2), now=100.0).granted for _ in range(9)]
    size = size_bucket(low, BOUNDS, TEAM, share)
    assert sum(granted) == math.floor(size.depth) == 3
    assert account.grant(make_request(high, 1), now=100.0).granted == 0
    assert account.grant(make_request(high, 3), now=100.0).granted == 0
    assert account.grant(make_request(high, 3), now=100.3).granted > 0


def test_near_the_limit_nothing_is_granted_in_advance():
    limit = RateLimit(60.0, 80.0)
    account = ShareAccount(0, BOUNDS, 0.0, True)
    first = account.grant(make_request(limit, amount=60), now=100.0).granted
    assert first > 5
    assert account.grant(make_request(limit, amount=60), now=100.0).granted == 1


def test_refused_callers_get_successive_turns():
    limit = RateLimit(12.0, 12.0)
    account = ShareAccount(0, BOUNDS, 0.0, True)
    while account.grant(make_request(limit), now=50.0).granted:
        pass
    turns = [account.grant(make_request(limit), now=50.0).turn for _ in range(5)]
    gaps = [later - turn for turn, later in pairwise(turns)]
    assert gaps == pytest.approx([0.5] * 4)
    for _ in range(50):
        turn = account.grant(make_request(limit), now=50.0).turn
    assert turn == pytest.approx(MAX_TURN_WAIT)


def test_steady_use_asks_in_advance_and_rare_use_does_not():
    allowance = Allowance(hold=0.25)
    for number in range(100):
        allowance.record_use(number * 0.02)
    assert 10 <= allowance.find_request_amount(2.0) <= 14
    assert allowance.find_request_amount(12.0) == 1


def test_an_exhausted_share_is_skipped_until_it_may_recover():
    full = ExhaustedShares()
    full.record(1, wait=0.4, now=10.0)
    full.record(2, wait=math.inf, now=10.0)
    assert full.find_available(range(3), 10.1) == [0]
    assert full.find_available(range(3), 10.5) == [0, 1]
    assert full.find_available(range(3), 11.0) == [0, 1, 2]
    assert full.find_min_wait(10.1) == pytest.approx(0.3)


def test_accountants_pass_on_exhausted_shares():
    limit = RateLimit(12.0, 12.0)
    account = ShareAccount(0, BOUNDS, 0.0, True)
    told = ((1, 0.2), (2, 0.3))
    while account.grant(QuotaRequest(TEAM, limit, 1, 1, told), now=50.0).granted:
        pass
    reply = account.grant(make_request(limit), now=50.1)
    assert [share for share, _ in reply.full] == [1, 2]
    assert [wait for _, wait in reply.full] == pytest.approx([0.1, 0.2])


def test_a_request_that_did_not_run_is_refunded_only_for_a_moment():
    allowance = Allowance(hold=0.25)
    allowance.refund(admitted_at=10.0, now=10.01)
    assert allowance.try_consume(10.02)
    allowance.refund(admitted_at=10.0, now=10.2)
    assert not allowance.try_consume(10.21)


def test_the_timeout_follows_the_usual_reply_time_within_bounds():
    timeout = ReplyTimeout()
    for _ in range(100):
        timeout.record(0.001)
    assert timeout.find_timeout() == MIN_TIMEOUT
    timeout.record(0.03)
    assert timeout.find_timeout() == pytest.approx(0.09)
    timeout.record(2.0)
    assert timeout.find_timeout() == MAX_TIMEOUT
