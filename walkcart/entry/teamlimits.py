"""Admission of teams' requests under the rate limits that all instances share.

See Also:
    `walkcart.entry.callerports.TeamLimits`, the port that this serves.
    ``docs/design/quotas.md``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from walkcart.intent.teams import RateLimit, Team
from walkcart.kernel.clock import Clock
from walkcart.kernel.metrics import Metrics
from walkcart.membership.quotaasks import Answer, QuotaAsks
from walkcart.routing.allowances import Allowance
from walkcart.routing.quotas import QuotaBounds, Want, list_shares
from walkcart.wire.verdicts import NotRun, Reason

#: Refused callers are told a wait of up to so many times what is left, by chance, so
#: that they don't return together.
SPREAD = 1.5
#: Queue of refused callers at an accountant, in seconds, from which on the team is far
#: above its limit; and the part of the shares that are then not asked any more: they
#: have a request now and then, which others get. Callers hear at once.
BUSY_TURN = 2.0
LEFT_PART = 0.4
#: Longest time for which a request waits for the accountants, in seconds: all have been
#: asked by then unless most of them are silent.
MOST_ASKING = 0.5
#: Seconds after which a caller may try another instance when no accountant is reached
#: from this one.
UNKNOWN_WAIT = 0.3
#: Shortest wait that a refused caller is told, in seconds: its way back and forth.
SHORTEST_WAIT = 0.02


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


class SharedTeamLimits:
    """Holds teams to their limits by asking the accountants.

    Args:
        asks: by which they are asked.
        bounds: by how much limits may be passed.
        find_version: returns the version of the configuration in force.
        clock: source of time.
        random: spreads what refused callers are told.
        metrics: where the time until a grant is shown.
    """

    def __init__(
        self,
        asks: QuotaAsks,
        bounds: QuotaBounds,
        find_version: Callable[[], int],
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._asks = asks
        self._bounds = bounds
        self._find_version = find_version
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._allowances: dict[str, Allowance] = {}
        self._denials: dict[str, LastDenial] = {}
        asks.follow_late(self._put_late)

    def keep_only(self, teams: frozenset[str]) -> None:
        """Forget all teams but these: the others have no limit any more."""
        for name in set(self._allowances) - teams:
            del self._allowances[name]
            self._denials.pop(name, None)

    async def admit(self, team: Team, patience: float) -> NotRun | None:
        """Take one request of a team from its limit; return why it may not run."""
        if team.limit is None or team.limit.rate <= 0.0:
            return None
        start = self._clock.monotonic()
        allowance = self._allowances.get(team.name)
        if allowance is None:
            allowance = self._allowances[team.name] = Allowance(self._bounds.hold)
        if not allowance.take(start):
            refusal = await self._ask(team.name, team.limit, allowance, patience)
            if refusal is not None:
                return refusal
            self._metrics.time("quota.wait", (self._clock.monotonic() - start) * 1000)
        allowance.note_use(start)
        return None

    def give_back(self, team: Team, admitted_at: float) -> None:
        """Return what was taken for a request that no leaf got.

        Only at once: a late return would let the team run more in a window than its
        limit allows.
        """
        allowance = self._allowances.get(team.name)
        if allowance is not None:
            allowance.give_back(admitted_at, self._clock.monotonic())

    async def _ask(
        self, team: str, limit: RateLimit, allowance: Allowance, patience: float
    ) -> NotRun | None:
        """Ask the shares in turn until one grants a request."""
        start = self._clock.monotonic()
        deadline = start + min(patience, MOST_ASKING)
        shares = list_shares(limit, self._bounds, team)
        order = self._asks.sort_by_distance(allowance.full.find_open(shares, start))
        turns: list[float] = []
        for share in order:
            now = self._clock.monotonic()
            if now >= deadline:
                break
            if not allowance.full.find_open([share], now):
                # Another accountant has just told so.
                continue
            told = allowance.full.tell(now)
            wanted = allowance.find_wanted(now)
            want = Want(team, limit, self._find_version(), wanted, told)
            answer = await self._asks.ask(share, want, deadline)
            if allowance.take(self._clock.monotonic()):
                # What came for another request, or late, will do as well.
                self._keep(allowance, answer, 0)
                return None
            if answer is None:
                continue
            if answer.reply.granted:
                allowance.full.forget(share)
                self._keep(allowance, answer, 1)
                return None
            turns.append(self._note_denial(team, share, answer, allowance))
            left = allowance.full.find_open(shares, self._clock.monotonic())
            if turns[-1] >= BUSY_TURN and len(left) <= len(shares) * LEFT_PART:
                break
        if not turns and len(order) == len(shares):
            return self._refuse_unknown(len(order))
        now = self._clock.monotonic()
        wait = min(turns, default=allowance.full.find_room(now))
        return self._refuse(team, limit, wait)

    def _note_denial(
        self, team: str, share: int, answer: Answer, allowance: Allowance
    ) -> float:
        """Note that a share has no room; return the seconds until the asker's turn."""
        now = self._clock.monotonic()
        allowance.full.take(answer.reply.full, now)
        allowance.full.note(share, answer.reply.wait, now)
        self._denials[team] = LastDenial(now, answer.reply.use, answer.accountant)
        return answer.reply.turn

    def _keep(self, allowance: Allowance, answer: Answer | None, used: int) -> None:
        if answer is not None:
            allowance.put(answer.reply.granted - used, answer.until)

    def _put_late(self, team: str, amount: int, until: float) -> None:
        allowance = self._allowances.get(team)
        if allowance is not None:
            allowance.put(amount, until)

    def _refuse(self, team: str, limit: RateLimit, wait: float) -> NotRun:
        """Refuse a request above the limit, with when there will be room."""
        told = max(SHORTEST_WAIT, wait * self._random.uniform(1.0, SPREAD))
        detail = f"the limit of {limit.rate:g} a second and {limit.burst:g} is used"
        denial = self._denials.get(team)
        if denial is not None:
            age = self._clock.monotonic() - denial.at
            detail += f": {denial.accountant} saw {denial.use:.2f} a second of its"
            detail += f" share {age * 1000:.0f} ms ago"
        return NotRun(Reason.RATE_LIMITED, detail, timedelta(seconds=told))

    def _refuse_unknown(self, asked: int) -> NotRun:
        """Refuse a request since nobody can tell whether it is above the limit."""
        told = UNKNOWN_WAIT * self._random.uniform(1.0, SPREAD)
        detail = f"no accountant of {asked} shares was reached"
        return NotRun(Reason.LIMIT_UNKNOWN, detail, timedelta(seconds=told))
