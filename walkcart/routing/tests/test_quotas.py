"""Rate limits that all instances share, over plain data.

Whatever is cut, killed, restarted or changed, no window holds more than is allowed.
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
    LEAST_PATIENCE,
    MOST_PATIENCE,
    Allowance,
    ReplyTimeout,
)
from walkcart.routing.exhaustedshares import FullShares
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
#: Longest time from admission to the leaf in the plays, in seconds.
WAY = 0.2


def make_want(limit, version=1, amount=1, team=TEAM):
    return QuotaRequest(team, limit, version, amount)


@dataclass
class Share:
    """A share of the play: its account, and how often it began anew of late."""

    account: ShareAccount
    began_at: float
    starts: int = 1


@dataclass
class Play:
    """Instances, accountants and leafs without a network.

    Each instance reaches the shares that `cuts` doesn't name; grants take up to the
    hold to be used, and requests up to `WAY` to run. A share of the answers is lost.
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
        """Let another accountant begin a share, as the keys in the store allow."""
        share = self.shares[number]
        quick = self.now - share.began_at <= BOUNDS.window
        starts = share.starts + 1 if quick else 1
        account = ShareAccount(number, BOUNDS, self.now, starts <= MAX_STARTS)
        self.shares[number] = Share(account, self.now, starts)

    def send(self, instance, count, behind):
        allowance = self.allowances[instance]
        version, limit = self.version, self.limit
        if behind and len(self.limits) > 1:
            version, limit = version - 1, self.limits[-2][1]
        for _ in range(count):
            if self.admit(instance, allowance, limit, version):
                allowance.note_use(self.now)
                self.ran.append(self.now + self.random.uniform(0.0, WAY))

    def admit(self, instance, allowance, limit, version):
        if allowance.take(self.now):
            return True
        shares = list_shares(limit, BOUNDS, TEAM)
        for number in allowance.full.find_open(shares, self.now):
            if (instance, number) in self.cuts:
                continue
            amount = allowance.find_wanted(self.now)
            told = allowance.full.tell(self.now)
            want = QuotaRequest(TEAM, limit, version, amount, told)
            reply = self.shares[number].account.ask(want, self.now)
            if self.random.random() < self.loss:
                continue  # the answer is lost
            if reply.granted:
                allowance.put(reply.granted - 1, self.now + BOUNDS.hold)
                return True
            allowance.full.take(reply.full, self.now)
            allowance.full.note(number, reply.wait, self.now)
        return False

    def check(self):
        """Hold the runs of each window against the highest limit in force in it."""
        ran = sorted(self.ran)
        for first, start in enumerate(ran):
            count = 0
            for at in ran[first:]:
                if at >= start + BOUNDS.window:
                    break
                count += 1
            most = self.find_most(start)
            assert count <= most + 1e-6, (count, most, start)

    def find_most(self, start):
        """Return the bound of a window: a lower limit holds from one window after."""
        since = start - BOUNDS.window
        until = start + BOUNDS.window
        found = [limit for at, limit in self.limits if since < at <= until]
        before = [limit for at, limit in self.limits if at <= since]
        return max(BOUNDS.max_requests(limit) for limit in [*found, *before[-1:]])


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
        st.tuples(st.just("give back"), st.integers(0, 2)),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(limits, steps, st.integers(0, 10))
def test_no_window_holds_more_than_the_rule_allows(limit, actions, seed):
    play = Play(limit, seed)
    for action in actions:
        match action:
            case ("pass", seconds):
                play.now += seconds
            case ("send", instance, count, behind):
                play.send(instance, count, behind)
            case ("restart", number):
                play.restart(number)
            case ("cut", instance, number):
                play.cuts ^= {(instance, number)}
            case ("limit", changed):
                play.version += 1
                play.limit = changed
                play.limits.append((play.now, changed))
            case ("give back", instance) if play.ran:
                # A request that was admitted a moment ago, and ran nowhere.
                admitted_at = play.ran.pop() - WAY
                allowance = play.allowances[instance]
                allowance.give_back(admitted_at, play.now)
    play.check()


def test_a_team_that_always_asks_gets_its_limit_and_no_more():
    limit = RateLimit(10.0, 5.0)
    play = Play(limit, seed=1)
    for _ in range(6000):
        play.now += 0.01
        play.send(play.random.randrange(3), 1, behind=False)
    play.check()
    # One answer in ten is lost, with what it granted.
    assert 0.85 * 600 <= len(play.ran) <= 600 + BOUNDS.slack


def test_a_small_limit_serves_what_is_due_through_restarts_of_all_shares():
    limit = RateLimit(1.0, 1.0)
    play = Play(limit, seed=2, loss=0.0)
    sent = 0
    for step in range(2000):
        play.now += 0.1
        if step % 300 == 0:
            for number in range(MAX_SHARES):
                play.restart(number)
        if step % 20 == 0:
            play.send(step % 3, 1, behind=False)
            sent += 1
    assert len(play.ran) == sent


def test_a_start_gives_whole_requests_to_some_shares():
    limit = RateLimit(5.0, 5.0)
    shares = list_shares(limit, BOUNDS, TEAM)
    starts = [size_bucket(limit, BOUNDS, TEAM, share).start for share in shares]
    assert starts[:3] == [1.0, 1.0, 1.0]
    assert sum(starts) == pytest.approx(BOUNDS.slack * START_FRACTION)


def test_a_limit_that_is_too_small_to_cut_stays_whole():
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
        reply = account.grant(make_want(limit), now=10.0)
        assert bool(reply.granted) == (sizes[number] is not None)


def test_the_newer_configuration_counts_whoever_brings_it():
    high, low = RateLimit(300.0, 90.0), RateLimit(6.0, 12.0)
    share = list_shares(low, BOUNDS, TEAM)[0]
    account = ShareAccount(share, BOUNDS, 0.0, True)
    assert account.grant(make_want(high, 1), now=100.0).granted == 1
    # The level is cut to the new depth, and an asker that is behind gets no more.
    granted = [account.grant(make_want(low, 2), now=100.0).granted for _ in range(9)]
    size = size_bucket(low, BOUNDS, TEAM, share)
    assert sum(granted) == math.floor(size.depth) == 3
    assert account.grant(make_want(high, 1), now=100.0).granted == 0
    assert account.grant(make_want(high, 3), now=100.0).granted == 0
    assert account.grant(make_want(high, 3), now=100.3).granted > 0


def test_near_the_limit_nothing_is_granted_ahead():
    limit = RateLimit(60.0, 80.0)
    account = ShareAccount(0, BOUNDS, 0.0, True)
    first = account.grant(make_want(limit, amount=60), now=100.0).granted
    assert first > 5
    assert account.grant(make_want(limit, amount=60), now=100.0).granted == 1


def test_refused_callers_get_turns_one_after_the_other():
    limit = RateLimit(12.0, 12.0)
    account = ShareAccount(0, BOUNDS, 0.0, True)
    while account.grant(make_want(limit), now=50.0).granted:
        pass
    turns = [account.grant(make_want(limit), now=50.0).turn for _ in range(5)]
    gaps = [later - turn for turn, later in pairwise(turns)]
    assert gaps == pytest.approx([0.5] * 4)
    for _ in range(50):
        turn = account.grant(make_want(limit), now=50.0).turn
    assert turn == pytest.approx(MAX_TURN_WAIT)


def test_a_steady_flow_asks_ahead_and_a_trickle_does_not():
    allowance = Allowance(hold=0.25)
    for number in range(100):
        allowance.record_use(number * 0.02)
    assert 10 <= allowance.find_request_amount(2.0) <= 14
    assert allowance.find_request_amount(12.0) == 1


def test_a_share_without_room_is_left_out_until_it_may_have_some():
    full = FullShares()
    full.note(1, wait=0.4, now=10.0)
    full.note(2, wait=math.inf, now=10.0)
    assert full.find_open(range(3), 10.1) == [0]
    assert full.find_open(range(3), 10.5) == [0, 1]
    assert full.find_open(range(3), 11.0) == [0, 1, 2]
    assert full.find_room(10.1) == pytest.approx(0.3)


def test_accountants_pass_on_which_shares_had_no_room():
    limit = RateLimit(12.0, 12.0)
    account = ShareAccount(0, BOUNDS, 0.0, True)
    told = ((1, 0.2), (2, 0.3))
    while account.grant(QuotaRequest(TEAM, limit, 1, 1, told), now=50.0).granted:
        pass
    reply = account.grant(make_want(limit), now=50.1)
    assert [share for share, _ in reply.full] == [1, 2]
    assert [wait for _, wait in reply.full] == pytest.approx([0.1, 0.2])


def test_what_did_not_run_is_held_again_for_a_moment_only():
    allowance = Allowance(hold=0.25)
    allowance.refund(admitted_at=10.0, now=10.01)
    assert allowance.try_consume(10.02)
    allowance.refund(admitted_at=10.0, now=10.2)
    assert not allowance.try_consume(10.21)


def test_patience_follows_what_is_usual_within_bounds():
    patience = ReplyTimeout()
    for _ in range(100):
        patience.record(0.001)
    assert patience.find_timeout() == LEAST_PATIENCE
    patience.record(0.03)
    assert patience.find_timeout() == pytest.approx(0.09)
    patience.record(2.0)
    assert patience.find_timeout() == MOST_PATIENCE
