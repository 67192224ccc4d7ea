"""Admission of teams' requests under the rate limits that all instances share.

See Also:
    `walkcart.entry.callerports.TeamRateLimiter`, the port that this serves.
    ``docs/design/quotas.md``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from walkcart.intent.teams import RateLimit, Team
from walkcart.kernel.clock import Clock
from walkcart.kernel.metrics import Metrics
from walkcart.membership.quotaclient import QuotaClient
from walkcart.membership.quotaserver import FindLimit
from walkcart.routing.allowances import Allowance
from walkcart.routing.quotas import QuotaBounds, QuotaRequest, list_shares
from walkcart.routing.retryafter import draw_retry_after
from walkcart.wire.verdicts import NotRun, Reason

#: Turn that an accountant tells, in seconds, from which on a team is far above its
#: limit. Then the last shares that may have room aren't asked if they are at most this
#: part of all: the few requests that they grant go to others, and callers hear at once.
BUSY_TURN = 2.0
LEFT_PART = 0.4
#: Longest time for which a request waits for the accountants, in seconds: all have been
#: asked by then unless most of them are silent.
MOST_ASKING = 0.5
#: Seconds after which a caller may try another instance when no accountant is reached
#: from this one.
UNKNOWN_WAIT = 0.3
#: Shortest wait that a refused caller is told: its way back and forth.
SHORTEST_WAIT = timedelta(seconds=0.02)


@dataclass(frozen=True, slots=True)
class LastDenial:
    """The latest denial of one team at this instance.

    Args:
        at: when, in seconds.
        use: requests a second that the accountant saw.
        accountant: its name.
    """

    at: float
    use: float
    accountant: str


@dataclass(frozen=True, slots=True)
class _Search:
    """One request's search for room.

    Args:
        team: whose request it is.
        limit: of the team when it came.
        shares: that the limit is cut into.
        allowance: of the team here.
        deadline: to when to ask at the latest, in seconds.
        turns: that the accountants told it which had no room, in seconds.
    """

    team: str
    limit: RateLimit
    shares: tuple[int, ...]
    allowance: Allowance
    deadline: float
    turns: list[float] = field(default_factory=list)

    def is_far_above(self, now: float) -> bool:
        """Return whether the team is so far above its limit that asking can stop."""
        if not self.turns or self.turns[-1] < BUSY_TURN:
            return False
        left = self.allowance.full.find_open(self.shares, now)
        return len(left) <= len(self.shares) * LEFT_PART


class DistributedRateLimiter:
    """Holds teams to their limits by asking the accountants.

    Args:
        asks: by which they are asked.
        bounds: by how much limits may be passed.
        find_limit: tells the limits in force here.
        clock: source of time.
        random: spreads what refused callers are told.
        metrics: where the time until a grant is shown.
    """

    def __init__(
        self,
        asks: QuotaClient,
        bounds: QuotaBounds,
        find_limit: FindLimit,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._asks = asks
        self._bounds = bounds
        self._find_limit = find_limit
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._allowances: dict[str, Allowance] = {}
        self._denials: dict[str, LastDenial] = {}
        asks.on_late_grant(self._put_late)

    def retain_teams(self, teams: frozenset[str]) -> None:
        """Forget all teams but these: the others have no limit any more."""
        for name in set(self._allowances) - teams:
            del self._allowances[name]
            self._denials.pop(name, None)

    async def admit(self, team: Team, max_wait: float) -> NotRun | None:
        """Take one request of a team from its limit; return why it may not run."""
        if team.limit is None or team.limit.rate <= 0.0:
            return None
        start = self._clock.monotonic()
        allowance = self._allowances.get(team.name)
        if allowance is None:
            allowance = self._allowances[team.name] = Allowance(self._bounds.hold)
        if not allowance.try_consume(start):
            shares = list_shares(team.limit, self._bounds, team.name)
            deadline = start + min(max_wait, MOST_ASKING)
            search = _Search(team.name, team.limit, shares, allowance, deadline)
            refusal = await self._ask(search)
            if refusal is not None:
                return refusal
            self._metrics.time("quota.wait", (self._clock.monotonic() - start) * 1000)
        allowance.record_use(start)
        return None

    def refund(self, team: Team, admitted_at: float) -> None:
        """Return what was taken for a request that no leaf got.

        Only at once: a late return would let the team run more in a window than its
        limit allows.
        """
        allowance = self._allowances.get(team.name)
        if allowance is not None:
            allowance.refund(admitted_at, self._clock.monotonic())

    async def _ask(self, search: _Search) -> NotRun | None:
        """Ask the shares in turn until one grants a request."""
        full = search.allowance.full
        order = full.find_open(search.shares, self._clock.monotonic())
        for share in self._asks.sort_by_distance(order):
            now = self._clock.monotonic()
            if now >= search.deadline or search.is_far_above(now):
                break
            if not full.find_open([share], now):
                # Another accountant has just told so.
                continue
            if await self._ask_share(share, search):
                return None
        if not search.turns and len(order) == len(search.shares):
            return self._refuse_unknown(len(order))
        wait = min(search.turns, default=full.find_room(self._clock.monotonic()))
        return self._refuse(search, wait)

    async def _ask_share(self, share: int, search: _Search) -> bool:
        """Ask one share; return whether the request may run."""
        allowance = search.allowance
        want = self._make_want(search)
        answer = await self._asks.ask(share, want, search.deadline)
        now = self._clock.monotonic()
        # What came for another request, or late, will do as well.
        taken = allowance.try_consume(now)
        if answer is None:
            return taken
        if answer.reply.granted:
            allowance.full.forget(share)
            allowance.add_grant(answer.reply.granted - (not taken), answer.until)
            return True
        allowance.full.take(answer.reply.full, now)
        allowance.full.note(share, answer.reply.wait, now)
        search.turns.append(answer.reply.turn)
        denial = LastDenial(now, answer.reply.use, answer.accountant)
        self._denials[search.team] = denial
        return taken

    def _make_want(self, search: _Search) -> QuotaRequest:
        """Return what to ask for, by the configuration in force now.

        Where it has no limit for the team any more the request keeps its own, behind
        any that an accountant knows.
        """
        now = self._clock.monotonic()
        version, limit = self._find_limit(search.team)
        if limit is None:
            version, limit = 0, search.limit
        wanted = search.allowance.find_request_amount(now)
        told = search.allowance.full.tell(now)
        return QuotaRequest(search.team, limit, version, wanted, told)

    def _put_late(self, team: str, amount: int, until: float) -> None:
        allowance = self._allowances.get(team)
        if allowance is not None:
            allowance.add_grant(amount, until)

    def _refuse(self, search: _Search, wait: float) -> NotRun:
        """Refuse a request above the limit, with when there will be room."""
        limit = search.limit
        told = max(SHORTEST_WAIT, draw_retry_after(wait, self._random))
        detail = f"the limit of {limit.rate:g} a second and {limit.burst:g} is used"
        denial = self._denials.get(search.team)
        if denial is not None:
            age = self._clock.monotonic() - denial.at
            detail += f": {denial.accountant} saw {denial.use:.2f} a second of its"
            detail += f" share {age * 1000:.0f} ms ago"
        return NotRun(Reason.RATE_LIMITED, detail, told)

    def _refuse_unknown(self, asked: int) -> NotRun:
        """Refuse a request since nobody can tell whether it is above the limit."""
        told = draw_retry_after(UNKNOWN_WAIT, self._random)
        detail = f"no accountant of {asked} shares was reached"
        return NotRun(Reason.LIMIT_UNKNOWN, detail, told)
