"""Admission of teams' requests under rate limits that all instances share.

See Also:
    `walkcart.entry.callerports.TeamRateLimiter`, the interface implemented here.
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

#: A team is far above its limit if an accountant states at least this many seconds
#: until the turn of a refused request. Then the remaining shares that may grant it
#: aren't asked if they are at most `MAX_UNASKED_FRACTION` of all shares: the few
#: requests that they grant go to other callers, and this caller is refused at once.
FAR_ABOVE_LIMIT_WAIT = 2.0
MAX_UNASKED_FRACTION = 0.4
#: Share of the accountants from whose silence on it isn't known whether a team is above
#: its limit.
MAX_SILENT_SHARE = 0.5
#: Longest time for which a request waits for the accountants, in seconds. By then all
#: of them have been asked, unless most don't answer.
MAX_ASKING_TIME = 0.5
#: Seconds after which a caller may try another instance if this one reaches no
#: accountant.
UNKNOWN_RETRY_DELAY = 0.3
#: Shortest retry-after of a refusal: the round trip to the caller.
MIN_RETRY_DELAY = timedelta(seconds=0.02)


@dataclass(frozen=True, slots=True)
class LastDenial:
    """The latest denial of one team at this instance.

    Args:
        at: when it came, in seconds of the monotonic clock.
        use: requests per second of the team that the accountant had granted lately.
        accountant: name of the instance that denied.
    """

    at: float
    use: float
    accountant: str


@dataclass(frozen=True, slots=True)
class _Search:
    """The search of one request for a share of its team's limit that grants it.

    Args:
        team: name of the team that sent the request.
        limit: limit of the team when the request came.
        shares: shares that the limit is divided into.
        allowance: unused grants of the team at this instance.
        deadline: when asking ends, in seconds of the monotonic clock.
        turns: seconds until the request's turn, as stated by each accountant that
            refused it.
        silent: shares of which nothing is known, as their accountants didn't answer or
            weren't asked in time.
    """

    team: str
    limit: RateLimit
    shares: tuple[int, ...]
    allowance: Allowance
    deadline: float
    turns: list[float] = field(default_factory=list)
    silent: list[int] = field(default_factory=list)

    def is_limit_known(self, now: float) -> bool:
        """Return whether enough is known to call the request above the limit.

        Others may have passed on that a silent accountant's share is exhausted.
        """
        unknown = self.allowance.full.find_available(self.silent, now)
        return len(unknown) < max(1.0, MAX_SILENT_SHARE * len(self.shares))

    def is_far_above(self, now: float) -> bool:
        """Return whether the team is so far above its limit that asking ends now."""
        if not self.turns or self.turns[-1] < FAR_ABOVE_LIMIT_WAIT:
            return False
        unasked = self.allowance.full.find_available(self.shares, now)
        return len(unasked) <= len(self.shares) * MAX_UNASKED_FRACTION


class DistributedRateLimiter:
    """Enforces rate limits by requesting grants from the accountants of their shares.

    Args:
        asks: sends requests for grants to the accountants.
        bounds: bounds on how far a limit may be exceeded.
        find_limit: returns the limit of a team in the configuration in force.
        clock: source of time.
        random: spreads the retry times of refused callers.
        metrics: registry for the time until a grant.
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
        self._client = asks
        self._bounds = bounds
        self._find_limit = find_limit
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._allowances: dict[str, Allowance] = {}
        self._denials: dict[str, LastDenial] = {}
        asks.on_late_grant(self._add_late_grant)

    def retain_teams(self, teams: frozenset[str]) -> None:
        """Forget all teams but these: the others no longer have a limit."""
        for name in set(self._allowances) - teams:
            del self._allowances[name]
            self._denials.pop(name, None)

    async def admit(self, team: Team, max_wait: float) -> NotRun | None:
        """Charge a request to its team's limit; return a refusal if that is used up."""
        if team.limit is None or team.limit.rate <= 0.0:
            return None
        start = self._clock.monotonic()
        allowance = self._allowances.get(team.name)
        if allowance is None:
            allowance = self._allowances[team.name] = Allowance(self._bounds.hold)
        if not allowance.try_consume(start):
            shares = list_shares(team.limit, self._bounds, team.name)
            deadline = start + min(max_wait, MAX_ASKING_TIME)
            search = _Search(team.name, team.limit, shares, allowance, deadline)
            refusal = await self._ask(search)
            if refusal is not None:
                return refusal
            self._metrics.time("quota.wait", (self._clock.monotonic() - start) * 1000)
        allowance.record_use(start)
        return None

    def refund(self, team: Team, admitted_at: float) -> None:
        """Refund the charge for a request that was sent to no leaf.

        A late refund has no effect: it would let the team run more requests within a
        window than its limit allows.
        """
        allowance = self._allowances.get(team.name)
        if allowance is not None:
            allowance.refund(admitted_at, self._clock.monotonic())

    async def _ask(self, search: _Search) -> NotRun | None:
        """Ask the accountants of the shares in turn until one grants a request."""
        full = search.allowance.full
        order = full.find_available(search.shares, self._clock.monotonic())
        for share in self._client.sort_by_distance(order):
            now = self._clock.monotonic()
            if search.is_far_above(now):
                break
            if now >= search.deadline:
                search.silent.append(share)
                continue
            if not full.find_available([share], now):
                # Meanwhile another accountant has reported that it is exhausted.
                continue
            if await self._ask_share(share, search):
                return None
        now = self._clock.monotonic()
        if not search.is_limit_known(now):
            return self._refuse_unknown(search)
        wait = min(search.turns, default=full.find_min_wait(now))
        return self._refuse(search, wait)

    async def _ask_share(self, share: int, search: _Search) -> bool:
        """Ask the accountant of one share; return whether the request may run."""
        allowance = search.allowance
        request = self._make_request(search)
        answer = await self._client.ask(share, request, search.deadline)
        now = self._clock.monotonic()
        # A grant for another request, or a late one, may have arrived meanwhile.
        taken = allowance.try_consume(now)
        if answer is None:
            if not taken:
                search.silent.append(share)
            return taken
        if answer.reply.granted:
            allowance.full.forget(share)
            allowance.add_grant(answer.reply.granted - (not taken), answer.until)
            return True
        allowance.full.merge_waits(answer.reply.full, now)
        allowance.full.record(share, answer.reply.wait, now)
        search.turns.append(answer.reply.turn)
        denial = LastDenial(now, answer.reply.use, answer.accountant)
        self._denials[search.team] = denial
        return taken

    def _make_request(self, search: _Search) -> QuotaRequest:
        """Return what to ask for, by the configuration in force now.

        If that no longer has a limit for the team, the limit at the request's arrival
        is sent as version 0, so that any limit known to an accountant takes precedence.
        """
        now = self._clock.monotonic()
        version, limit = self._find_limit(search.team)
        if limit is None:
            version, limit = 0, search.limit
        wanted = search.allowance.find_request_amount(now)
        told = search.allowance.full.list_waits(now)
        return QuotaRequest(search.team, limit, version, wanted, told)

    def _add_late_grant(self, team: str, amount: int, until: float) -> None:
        allowance = self._allowances.get(team)
        if allowance is not None:
            allowance.add_grant(amount, until)

    def _refuse(self, search: _Search, wait: float) -> NotRun:
        """Refuse a request above the limit, with the time until one may be granted."""
        limit = search.limit
        told = max(MIN_RETRY_DELAY, draw_retry_after(wait, self._random))
        detail = f"the limit of {limit.rate:g} a second and {limit.burst:g} is used"
        denial = self._denials.get(search.team)
        if denial is not None:
            age = self._clock.monotonic() - denial.at
            detail += f": {denial.accountant} saw {denial.use:.2f} a second of its"
            detail += f" share {age * 1000:.0f} ms ago"
        return NotRun(Reason.RATE_LIMITED, detail, told)

    def _refuse_unknown(self, search: _Search) -> NotRun:
        """Refuse a request since too few accountants say if it is above the limit."""
        told = draw_retry_after(UNKNOWN_RETRY_DELAY, self._random)
        silent, shares = len(search.silent), len(search.shares)
        detail = f"the accountants of {silent} of {shares} shares were not reached"
        return NotRun(Reason.LIMIT_UNKNOWN, detail, told)
