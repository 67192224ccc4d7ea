"""The client side of shared rate limits: requests for tokens to the accountants.

See Also:
    `walkcart.membership.quotaserver`, the server side.
    `walkcart.routing.allowances.Allowance`, which decides how much to request.
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
from walkcart.wire.codec import BadMessage
from walkcart.wire.delegations import Greeting
from walkcart.wire.messagebase import Message
from walkcart.wire.quotas import QuotaAsk, QuotaElsewhere, QuotaGrant

#: Seconds for which an instance that didn't answer isn't asked again.
SILENT_TTL = 1.0
#: Instances that are asked in turn for tokens of one share: its known accountant, and
#: one that may know a newer accountant.
MAX_ASKED = 2

#: Called with the team, the tokens and the expiry of a grant that came after its
#: request had timed out.
LateGrantListener = Callable[[str, int, float], None]


@dataclass(slots=True)
class _Pending:
    """A request without an answer yet.

    Args:
        asked: the name of the instance that was asked.
        share: the share whose tokens were requested.
        team: the team that the tokens are for.
        amount: number of tokens requested.
        sent_at: when the request was sent, in seconds.
        done: set when an answer has come.
        reply: the accountant's reply; None if there is none or its grant has expired.
        abandoned: whether the request has timed out.
    """

    asked: str
    share: int
    team: str
    amount: int
    sent_at: float
    done: trio.Event = field(default_factory=trio.Event)
    reply: QuotaReply | None = None
    abandoned: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request for tokens of a share.

    Args:
        reply: the reply of the accountant.
        accountant: the name of the accountant.
        until: when the granted tokens expire, in seconds.
    """

    reply: QuotaReply
    accountant: str
    until: float


class QuotaClient:
    """Requests tokens from the accountants of shares, which may be this instance.

    Args:
        links: links to the other instances.
        registration: lists the other instances with their regions.
        shares: the shares that this instance accounts.
        holders: the accountants of the other shares.
        bounds: how far limits may be exceeded.
        clock: source of time.
        random: chooses among equally distant accountants.
        metrics: counts requests.
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
        self._reply_timeouts: dict[str, ReplyTimeout] = {}
        self._late_grant_listener: LateGrantListener = lambda team, amount, until: None
        holders.on_new_holder(self._open_link)
        links.on(QuotaGrant, self._on_grant)
        links.on(QuotaElsewhere, self._on_elsewhere)

    def on_late_grant(self, listener: LateGrantListener) -> None:
        """Call `listener` with each grant that comes after its request timed out."""
        self._late_grant_listener = listener

    def _open_link(self, name: str) -> None:
        """Open a link to an accountant, so that requests don't wait for one."""
        if name != self._holders.own and not self._links.has_link(name):
            self._links.send(name, Greeting())

    def sort_by_distance(self, shares: list[int]) -> list[int]:
        """Return shares by the distance of their accountants, unknown ones last.

        Equally distant shares come in random order, so that they are used evenly.
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
        self, share: int, request: QuotaRequest, deadline: float
    ) -> Answer | None:
        """Request tokens from the accountant of a share.

        Args:
            share: the share to take tokens from.
            request: the team, its limit and the number of tokens.
            deadline: the latest time to wait until, in seconds.

        Returns:
            The answer, or None if no accountant answered.
        """
        account = self._shares.find_account(share)
        if account is not None:
            return self._ask_own(account, request)
        asked: set[str] = set()
        for _ in range(MAX_ASKED):
            name = self._choose_instance(share, asked)
            if name is None or self._clock.monotonic() >= deadline:
                return None
            asked.add(name)
            answer = await self._ask_other(name, share, request, deadline)
            if answer is not None:
                return answer
        return None

    def _ask_own(self, account: ShareAccount, request: QuotaRequest) -> Answer:
        now = self._clock.monotonic()
        until = now + self._bounds.hold
        return Answer(account.grant(request, now), self._holders.own, until)

    def _choose_instance(self, share: int, asked: set[str]) -> str | None:
        """Return the instance to ask: the accountant, or one that may know it."""
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
        self, name: str, share: int, request: QuotaRequest, deadline: float
    ) -> Answer | None:
        """Ask one instance; return None unless it answers as the accountant."""
        now = self._clock.monotonic()
        timeout = self._reply_timeouts.setdefault(name, ReplyTimeout()).find_timeout()
        pending = _Pending(name, share, request.team, request.amount, now)
        if not self._send(pending, request):
            self._record_silence(name)
            return None
        with trio.move_on_after(min(deadline - now, timeout)):
            await pending.done.wait()
        pending.abandoned = True
        if not pending.done.is_set():
            self._record_silence(name)
            return None
        if pending.reply is None:
            return None
        return Answer(pending.reply, name, now + self._bounds.hold)

    def _send(self, pending: _Pending, request: QuotaRequest) -> bool:
        """Send a request; return False if it will certainly not arrive."""
        self._drop_expired(pending.sent_at)
        self._last_id += 1
        message = QuotaAsk(
            self._last_id,
            pending.share,
            request.team,
            request.amount,
            request.version,
            request.limit.rate,
            request.limit.burst,
            request.full,
        )
        self._metrics.count("quota.asked")
        if not self._links.send(pending.asked, message):
            return False
        self._pending[self._last_id] = pending
        return True

    def _record_silence(self, name: str) -> None:
        """Don't ask an instance for a while, since it didn't answer."""
        if name in self._silent_until:
            # Silent again: the connection may be dead without having been closed.
            self._links.reconnect(name)
        self._silent_until[name] = self._clock.monotonic() + SILENT_TTL

    def _drop_expired(self, now: float) -> None:
        """Drop timed-out requests whose grants would have expired."""
        while self._pending:
            number = next(iter(self._pending))
            pending = self._pending[number]
            if not pending.abandoned or now < pending.sent_at + self._bounds.hold:
                return
            del self._pending[number]

    def _on_grant(self, sender: str, message: Message) -> None:
        assert isinstance(message, QuotaGrant)
        asked = self._pending.get(message.id)
        if asked is not None and not 0 <= message.granted <= asked.amount:
            raise BadMessage(
                f"{message.granted} requests granted, expected 0 to {asked.amount}"
            )
        pending = self._complete(sender, message.id)
        if pending is None:
            return
        until = pending.sent_at + self._bounds.hold
        if pending.abandoned:
            self._late_grant_listener(pending.team, message.granted, until)
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
        pending = self._complete(sender, message.id)
        if pending is None:
            return
        self._holders.record(pending.share, Holder(message.holder, message.revision))
        pending.done.set()

    def _complete(self, sender: str, number: int) -> _Pending | None:
        """Remove and return the request that a message answers.

        Returns None if there is none, or if another instance than the sender was asked.
        """
        pending = self._pending.get(number)
        if pending is None or pending.asked != sender:
            return None
        del self._pending[number]
        self._silent_until.pop(sender, None)
        taken = self._clock.monotonic() - pending.sent_at
        self._reply_timeouts[sender].record(taken)
        return pending
