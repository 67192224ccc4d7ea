"""Rate limits of teams, shared by all instances: what an accountant grants.

The load this answers: a team's callers come to any instance, a few requests a second at
each, some teams far above their limit. The limit holds for all instances together, so
each is cut into shares, and one instance at a time accounts a share of all teams
(`walkcart.membership.quotashares`). Its token buckets live in memory. Whoever takes a
share over can't know what was granted before it, so it starts with empty buckets, but
for a small start level that the bound has room for.

Examples:
    >>> bounds = QuotaBounds(window=5.0, tolerance=0.1, slack=36.0)
    >>> limit = RateLimit(rate=18.0, burst=0.0)
    >>> size_bucket(limit, bounds, "fitters", 0)
    BucketSize(rate=3.0, depth=3.0, start=1.0)
    >>> account = ShareAccount(0, bounds, started_at=0.0, with_start=True)
    >>> account.grant(QuotaRequest("fitters", limit, version=1, amount=1), now=0.0).granted
    1
    >>> reply = account.grant(QuotaRequest("fitters", limit, version=1, amount=1), now=0.1)
    >>> reply.granted, round(reply.wait, 2)
    (0, 0.23)

See Also:
    `walkcart.routing.allowances`, the side that asks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from walkcart.intent.teams import RateLimit
from walkcart.routing.exhaustedshares import FullShares, Told
from walkcart.routing.shares import rank_rendezvous
from walkcart.routing.tokenbucket import MAX_TURN_WAIT, BucketSize, TokenBucket

#: Shares of a limit at the most: one that is lost leaves five sixths in use.
MAX_SHARES = 6
#: Tokens of one share's bucket at the least: of smaller ones much lies idle as parts of
#: a request, so that small limits are cut into fewer shares.
LEAST_DEPTH = 2.0
#: Part of the slack that is added to the burst: short rushes of requests within the
#: limit, which fall unevenly on the shares, aren't refused.
DEPTH_FRACTION = 1 / 2
#: Part of the slack with which the buckets of all shares start anew together.
START_FRACTION = 1 / 6
#: Starts of one share within a window that get it.
MAX_STARTS = 2
#: Part of the tolerance that grants may use by being held; the rest is for the way
#: from the grant to the leafs.
HOLD_PART = 0.5
#: Seconds for which a grant holds at the least: a round trip between regions and a
#: busy processor at both ends.
LEAST_HOLD = 0.1
#: Buckets kept at the most before full ones are forgotten; those come back full.
MOST_BUCKETS = 4096


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """By how much a limit may be passed in any window.

    Args:
        window: length of the window, in seconds.
        tolerance: share of the limit by which it may be passed.
        slack: requests on top.
    """

    window: float = 5.0
    tolerance: float = 0.1
    slack: float = 0.0

    @property
    def hold(self) -> float:
        """Seconds for which a grant holds."""
        return max(LEAST_HOLD, HOLD_PART * self.tolerance * self.window)

    def max_requests(self, limit: RateLimit) -> float:
        """Return the requests of a team that may run within a window."""
        due = limit.rate * self.window + limit.burst
        return due * (1.0 + self.tolerance) + self.slack


def list_shares(limit: RateLimit, bounds: QuotaBounds, team: str) -> tuple[int, ...]:
    """Return the shares that a limit is cut into, from one that the name chooses."""
    depth = limit.burst + bounds.slack * DEPTH_FRACTION
    count = min(MAX_SHARES, max(1, math.floor(depth / LEAST_DEPTH)))
    first = rank_rendezvous(team, "quota")
    return tuple((first + step) % MAX_SHARES for step in range(count))


def size_bucket(
    limit: RateLimit, bounds: QuotaBounds, team: str, share: int
) -> BucketSize | None:
    """Return how a share of a limit is accounted; None if it has no part of it."""
    shares = list_shares(limit, bounds, team)
    if share not in shares:
        return None
    depth = limit.burst + bounds.slack * DEPTH_FRACTION
    return BucketSize(
        limit.rate / len(shares),
        max(1.0, depth / len(shares)),
        _cut_start(bounds.slack * START_FRACTION, shares.index(share), len(shares)),
    )


def _cut_start(tokens: float, place: int, count: int) -> float:
    """Return the start level of one of `count` shares.

    Where there isn't a whole token for each, the first shares get one: with parts of
    a token nobody could run anything.
    """
    if tokens >= count:
        return tokens / count
    return min(1.0, max(0.0, tokens - place))


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """What is asked for.

    Args:
        team: whose requests.
        limit: of the team.
        version: of the configuration that says so.
        amount: requests, at least 1.
        full: shares that had no room, as far as the asker knows.
    """

    team: str
    limit: RateLimit
    version: int
    amount: int
    full: Told = ()


@dataclass(frozen=True, slots=True)
class QuotaReply:
    """What an accountant answers.

    Args:
        granted: requests that may run; 0 when there is no room.
        wait: seconds until there is room for one; infinite if never here.
        turn: seconds until the asker's turn, behind others that were refused.
        use: requests of the team that this accountant granted a second of late.
        full: other shares that had no room, as far as the accountant was told.
    """

    granted: int
    wait: float = 0.0
    turn: float = 0.0
    use: float = 0.0
    full: Told = ()


@dataclass(slots=True)
class _Entry:
    """A bucket, the version that gave its size, and what is known of other shares."""

    bucket: TokenBucket
    version: int
    full: FullShares = field(default_factory=FullShares)


class ShareAccount:
    """The buckets of all teams in one share, for as long as one holds it.

    Args:
        share: which one.
        bounds: by how much limits may be passed.
        started_at: when it was taken, in seconds.
        with_start: whether its buckets get the start level.
    """

    def __init__(
        self, share: int, bounds: QuotaBounds, started_at: float, with_start: bool
    ) -> None:
        self._share = share
        self._bounds = bounds
        self._started_at = started_at
        self._with_start = with_start
        self._entries: dict[str, _Entry] = {}

    def grant(self, request: QuotaRequest, now: float) -> QuotaReply:
        """Grant what there is room for."""
        size = size_bucket(request.limit, self._bounds, request.team, self._share)
        entry = self._entries.get(request.team)
        if entry is None:
            if size is None:
                return QuotaReply(0, math.inf, MAX_TURN_WAIT)
            entry = self._add(request, size, now)
        elif request.version > entry.version:
            entry.version = request.version
            entry.bucket.resize(size or _NOTHING, now)
        bucket = entry.bucket
        if bucket.size is _NOTHING:
            return QuotaReply(0, math.inf, MAX_TURN_WAIT)
        entry.full.take(request.full, now)
        granted = bucket.take(request.amount, now)
        if granted:
            return QuotaReply(granted, use=bucket.find_use(now))
        wait, turn = bucket.find_wait(now), bucket.take_turn(now)
        return QuotaReply(0, wait, turn, bucket.find_use(now), entry.full.tell(now))

    def _add(self, want: QuotaRequest, size: BucketSize, now: float) -> _Entry:
        """Keep a team's bucket as if it were there since the start."""
        if len(self._entries) >= MOST_BUCKETS:
            self._forget_full(now)
        level = size.start if self._with_start else 0.0
        level += size.rate * (now - self._started_at)
        bucket = TokenBucket(size, level, now)
        entry = self._entries[want.team] = _Entry(bucket, want.version)
        return entry

    def _forget_full(self, now: float) -> None:
        for team, entry in list(self._entries.items()):
            if entry.bucket.is_full(now):
                del self._entries[team]


#: What a share has of a limit that lies whole in another one.
_NOTHING = BucketSize(rate=1e-9, depth=0.0, start=0.0)
