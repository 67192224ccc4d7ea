"""Asks for parts of teams' rate limits.

See Also:
    `walkcart.membership.quotaserver`, the side that is asked.
    `walkcart.routing.allowances.Allowance`, which decides what is asked for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.metrics import Metrics
from walkcart.membership.links import PeerLinks
from walkcart.membership.quotaholders import Holder, QuotaHolders
from walkcart.membership.quotashares import QuotaShares
from walkcart.membership.registration import Registration
from walkcart.routing.allowances import ReplyTimeout
from walkcart.routing.quotas import QuotaBounds, QuotaReply, QuotaRequest, ShareAccount
from walkcart.wire.delegations import Greeting
from walkcart.wire.messagebase import Message
from walkcart.wire.quotas import QuotaAsk, QuotaElsewhere, QuotaGrant

#: Seconds for which an instance that didn't answer isn't asked.
SILENCE_TIME = 1.0
#: Instances that are asked for one share in turn at the most: the one that is known to
#: account it, and one that may know better.
MOST_ASKED = 2

#: Given what was granted after nobody waited any more, and until when it holds.
LateGrant = Callable[[str, int, float], None]


@dataclass(slots=True)
class _Pending:
    """An ask that waits for its answer.

    Args:
        asked: name of the instance that was asked.
        share: that it was asked for.
        team: whose requests.
        sent_at: when, in seconds.
        done: set with the answer.
        reply: of the accountant; None if there is none, or it came too late to hold.
        left: whether nobody waits any more.
    """

    asked: str
    share: int
    team: str
    sent_at: float
    done: trio.Event = field(default_factory=trio.Event)
    reply: QuotaReply | None = None
    left: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """What came of asking for a share.

    Args:
        reply: of the accountant.
        accountant: its name.
        until: to when what it granted holds, in seconds.
    """

    reply: QuotaReply
    accountant: str
    until: float


class QuotaClient:
    """Asks the accountants of shares, this instance itself among them.

    Args:
        links: to the other instances.
        registration: knows the others and their regions.
        shares: that this instance accounts.
        holders: who accounts the others.
        bounds: by how much limits may be passed.
        clock: source of time.
        random: chooses among accountants that are as far.
        metrics: where asks are counted.
    """

    def __init__(
        self,
        links: PeerLinks,
        registration: Registration,
        shares: QuotaShares,
        holders: QuotaHolders,
        bounds: QuotaBounds,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._random = random
        self._links = links
        self._registration = registration
        self._shares = shares
        self._holders = holders
        self._bounds = bounds
        self._clock = clock
        self._metrics = metrics
        self._pending: dict[int, _Pending] = {}
        self._last_id = 0
        self._silent_until: dict[str, float] = {}
        self._patience: dict[str, ReplyTimeout] = {}
        self._on_late: LateGrant = lambda team, amount, until: None
        holders.follow(self._open_link)
        links.on(QuotaGrant, self._on_grant)
        links.on(QuotaElsewhere, self._on_elsewhere)

    def on_late_grant(self, listener: LateGrant) -> None:
        """Give `listener` what is granted after nobody waits for it any more."""
        self._on_late = listener

    def _open_link(self, name: str) -> None:
        """Have a link ready to an accountant: a request waits for none to come up."""
        if name != self._holders.own and not self._links.has_link(name):
            self._links.send(name, Greeting())

    def sort_by_distance(self, shares: list[int]) -> list[int]:
        """Return shares by how far their accountants are, those unknown last.

        Those as far as each other come by chance, so that they are used evenly.
        """
        own = self._registration.own

        def rank(share: int) -> tuple[int, float]:
            name = self._holders.find(share).name
            record = self._registration.find(name)
            if name == own.name:
                distance = 0
            elif record is None or self._is_silent(name):
                distance = 3
            else:
                distance = 1 if record.region == own.region else 2
            return distance, self._random.random()

        return sorted(shares, key=rank)

    async def ask(
        self, share: int, want: QuotaRequest, deadline: float
    ) -> Answer | None:
        """Ask the accountant of a share; return None if none answered.

        Args:
            share: from which it is to be taken.
            want: what is asked for.
            deadline: to when to wait at the latest, in seconds.
        """
        account = self._shares.find_account(share)
        if account is not None:
            return self._ask_own(account, want)
        asked: set[str] = set()
        for _ in range(MOST_ASKED):
            name = self._choose(share, asked)
            if name is None or self._clock.monotonic() >= deadline:
                return None
            asked.add(name)
            answer = await self._ask_other(name, share, want, deadline)
            if answer is not None:
                return answer
        return None

    def _ask_own(self, account: ShareAccount, want: QuotaRequest) -> Answer:
        now = self._clock.monotonic()
        until = now + self._bounds.hold
        return Answer(account.grant(want, now), self._holders.own, until)

    def _choose(self, share: int, asked: set[str]) -> str | None:
        """Return whom to ask: the accountant, or who may know it."""
        names = [self._holders.find(share).name, *self._holders.find_candidates(share)]
        for name in names:
            if name in ("", self._holders.own) or name in asked:
                continue
            if not self._is_silent(name):
                return name
        return None

    def _is_silent(self, name: str) -> bool:
        return self._clock.monotonic() < self._silent_until.get(name, 0.0)

    async def _ask_other(
        self, name: str, share: int, want: QuotaRequest, deadline: float
    ) -> Answer | None:
        """Ask one instance; return None if it has no say or doesn't answer."""
        now = self._clock.monotonic()
        patience = self._patience.setdefault(name, ReplyTimeout()).find_timeout()
        pending = _Pending(name, share, want.team, now)
        if not self._send(pending, want):
            self._note_silence(name)
            return None
        with trio.move_on_after(min(deadline - now, patience)):
            await pending.done.wait()
        pending.left = True
        if not pending.done.is_set():
            self._note_silence(name)
            return None
        if pending.reply is None:
            return None
        return Answer(pending.reply, name, now + self._bounds.hold)

    def _send(self, pending: _Pending, want: QuotaRequest) -> bool:
        """Send an ask; return False if it will surely not arrive."""
        self._forget_old(pending.sent_at)
        self._last_id += 1
        message = QuotaAsk(
            self._last_id,
            pending.share,
            want.team,
            want.amount,
            want.version,
            want.limit.rate,
            want.limit.burst,
            want.full,
        )
        self._metrics.count("quota.asked")
        if not self._links.send(pending.asked, message):
            return False
        self._pending[self._last_id] = pending
        return True

    def _note_silence(self, name: str) -> None:
        """Leave an instance out for a while."""
        if name in self._silent_until:
            # Silent again: the connection may have gone silent for good.
            self._links.reconnect(name)
        self._silent_until[name] = self._clock.monotonic() + SILENCE_TIME

    def _forget_old(self, now: float) -> None:
        """Forget asks whose grants would have ended."""
        while self._pending:
            number = next(iter(self._pending))
            pending = self._pending[number]
            if not pending.left or now < pending.sent_at + self._bounds.hold:
                return
            del self._pending[number]

    def _on_grant(self, sender: str, message: Message) -> None:
        assert isinstance(message, QuotaGrant)
        pending = self._finish(sender, message.id)
        if pending is None:
            return
        until = pending.sent_at + self._bounds.hold
        if pending.left:
            self._on_late(pending.team, message.granted, until)
        elif self._clock.monotonic() < until:
            pending.reply = QuotaReply(
                message.granted,
                message.wait,
                message.turn,
                message.use,
                message.full,
            )
        pending.done.set()

    def _on_elsewhere(self, sender: str, message: Message) -> None:
        assert isinstance(message, QuotaElsewhere)
        pending = self._finish(sender, message.id)
        if pending is None:
            return
        self._holders.note(pending.share, Holder(message.holder, message.revision))
        pending.done.set()

    def _finish(self, sender: str, number: int) -> _Pending | None:
        """Return the ask that a message answers; None if it is none of those."""
        pending = self._pending.get(number)
        if pending is None or pending.asked != sender:
            return None
        del self._pending[number]
        self._silent_until.pop(sender, None)
        taken = self._clock.monotonic() - pending.sent_at
        self._patience[sender].record(taken)
        return pending
