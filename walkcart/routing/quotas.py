"""Rate limits of teams over all instances: the side that grants requests.

A team's callers come to any instance, with a few requests per second at each, and some
teams are far above their limit. The limit holds for all instances together. So each
limit is divided into shares, and one instance at a time is the accountant of a share of
all teams (`walkcart.membership.quotashares`). It keeps token buckets in memory. An
instance that takes over a share can't know what was granted before, so it starts with
empty buckets, except for a small start level that the bound allows for.

Examples:
    >>> bounds = QuotaBounds(window=5.0, tolerance=0.1, slack=36.0)
    >>> limit = RateLimit(rate=18.0, burst=0.0)
    >>> size_bucket(limit, bounds, "fitters", 0)
    BucketSize(rate=3.0, depth=3.0, start=1.0)
    >>> account = ShareAccount(0, bounds, started_at=0.0, with_start=True)
    >>> request = QuotaRequest("fitters", limit, version=1, amount=1)
    >>> account.grant(request, now=0.0).granted
    1
    >>> reply = account.grant(request, now=0.1)
    >>> reply.granted, round(reply.wait, 2)
    (0, 0.23)

See Also:
    `walkcart.routing.allowances`, the side that asks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from walkcart.intent.teams import RateLimit
from walkcart.routing.exhaustedshares import ExhaustedShares, ShareWaits
from walkcart.routing.shares import rank_rendezvous
from walkcart.routing.tokenbucket import MAX_TURN_WAIT, BucketSize, TokenBucket

#: Maximum number of shares of a limit: when one is lost, five sixths of it stay usable.
MAX_SHARES = 6
#: Minimum depth of one share's bucket, in tokens. In smaller buckets much of the limit
#: lies idle as fractions of a request, so small limits get fewer shares.
MIN_DEPTH = 2.0
#: Fraction of the slack that is added to the burst, so that short bursts within the
#: limit, which fall unevenly on the shares, aren't refused.
DEPTH_FRACTION = 1 / 2
#: Fraction of the slack that is the start level of all shares' buckets together.
START_FRACTION = 1 / 6
#: Maximum number of starts of one share within a window that get the start level.
MAX_STARTS = 2
#: Fraction of the tolerance that held grants may use up; the rest covers the time from
#: the grant to the leaves.
HOLD_FRACTION = 0.5
#: Minimum validity of a grant, in seconds: a round trip between regions with a busy
#: processor at both ends.
MIN_HOLD = 0.1
#: Number of buckets at which full ones are dropped; a dropped one is recreated full.
MAX_BUCKETS = 4096


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """By how much a limit may be exceeded in any window.

    Args:
        window: length of the window, in seconds.
        tolerance: excess as a share of the limit.
        slack: further excess, in requests.
    """

    window: float = 5.0
    tolerance: float = 0.1
    slack: float = 0.0

    @property
    def hold(self) -> float:
        """Validity of a grant, in seconds."""
        return max(MIN_HOLD, HOLD_FRACTION * self.tolerance * self.window)

    def max_requests(self, limit: RateLimit) -> float:
        """Return how many requests of a team may run within a window."""
        due = limit.rate * self.window + limit.burst
        return due * (1.0 + self.tolerance) + self.slack


def list_shares(limit: RateLimit, bounds: QuotaBounds, team: str) -> tuple[int, ...]:
    """Return the shares of a team's limit, beginning at one that its name selects."""
    depth = limit.burst + bounds.slack * DEPTH_FRACTION
    count = min(MAX_SHARES, max(1, math.floor(depth / MIN_DEPTH)))
    first = rank_rendezvous(team, "quota")
    return tuple((first + step) % MAX_SHARES for step in range(count))


def size_bucket(
    limit: RateLimit, bounds: QuotaBounds, team: str, share: int
) -> BucketSize | None:
    """Return the bucket size of a share of a limit; None if the share has no part."""
    shares = list_shares(limit, bounds, team)
    if share not in shares:
        return None
    depth = limit.burst + bounds.slack * DEPTH_FRACTION
    return BucketSize(
        limit.rate / len(shares),
        max(1.0, depth / len(shares)),
        _find_start_level(
            bounds.slack * START_FRACTION, shares.index(share), len(shares)
        ),
    )


def _find_start_level(tokens: float, place: int, count: int) -> float:
    """Return the start level of the share at `place` of `count`, in tokens.

    If there isn't a whole token for each, the first shares get one: a fraction of a
    token can't admit a request.
    """
    if tokens >= count:
        return tokens / count
    return min(1.0, max(0.0, tokens - place))


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A request to an accountant for a grant.

    Args:
        team: the team whose requests are to run.
        limit: the rate limit of the team.
        version: version of the configuration that sets the limit.
        amount: number of requests asked for, at least 1.
        full: exhausted shares that the asking instance knows of.
    """

    team: str
    limit: RateLimit
    version: int
    amount: int
    full: ShareWaits = ()


@dataclass(frozen=True, slots=True)
class QuotaReply:
    """The reply of an accountant.

    Args:
        granted: number of requests that may run; 0 when the share is exhausted.
        wait: seconds until one request may run; infinite if never in this share.
        turn: seconds until the asker's turn, behind others that were refused.
        use: requests of the team per second that this accountant recently granted.
        full: other exhausted shares that instances reported to the accountant.
    """

    granted: int
    wait: float = 0.0
    turn: float = 0.0
    use: float = 0.0
    full: ShareWaits = ()


@dataclass(slots=True)
class _Entry:
    """A bucket, the configuration version of its size, and the exhausted shares."""

    bucket: TokenBucket
    version: int
    full: ExhaustedShares = field(default_factory=ExhaustedShares)


class ShareAccount:
    """The buckets of all teams in one share, while this instance is its accountant.

    Args:
        share: index of the share.
        bounds: by how much limits may be exceeded.
        started_at: when this instance took the share, in seconds.
        with_start: whether the buckets get the start level.
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
        """Grant as much of a request as the bucket allows."""
        size = size_bucket(request.limit, self._bounds, request.team, self._share)
        entry = self._entries.get(request.team)
        if entry is None:
            if size is None:
                return QuotaReply(0, math.inf, MAX_TURN_WAIT)
            entry = self._add(request, size, now)
        elif request.version > entry.version:
            entry.version = request.version
            entry.bucket.resize(size or _NO_BUCKET, now)
        bucket = entry.bucket
        if bucket.size is _NO_BUCKET:
            return QuotaReply(0, math.inf, MAX_TURN_WAIT)
        entry.full.merge_waits(request.full, now)
        granted = bucket.consume(request.amount, now)
        if granted:
            return QuotaReply(granted, use=bucket.find_use(now))
        wait, turn = bucket.find_wait(now), bucket.assign_turn(now)
        return QuotaReply(
            0, wait, turn, bucket.find_use(now), entry.full.list_waits(now)
        )

    def _add(self, request: QuotaRequest, size: BucketSize, now: float) -> _Entry:
        """Add a team's bucket, filled as if it had existed since the start."""
        if len(self._entries) >= MAX_BUCKETS:
            self._drop_full(now)
        level = size.start if self._with_start else 0.0
        level += size.rate * (now - self._started_at)
        bucket = TokenBucket(size, level, now)
        entry = self._entries[request.team] = _Entry(bucket, request.version)
        return entry

    def _drop_full(self, now: float) -> None:
        for team, entry in list(self._entries.items()):
            if entry.bucket.is_full(now):
                del self._entries[team]


#: Bucket size of a share that has no part of a limit.
_NO_BUCKET = BucketSize(rate=1e-9, depth=0.0, start=0.0)
