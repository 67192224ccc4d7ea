"""Answers to asks for parts of teams' rate limits, by the accountant of a share.

See Also:
    `walkcart.membership.quotaclient`, by which others ask.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from walkcart.intent.teams import RateLimit
from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.membership.quotaholders import QuotaHolders
from walkcart.membership.quotashares import QuotaShares
from walkcart.routing.quotas import MAX_SHARES, QuotaBounds, QuotaRequest
from walkcart.routing.tokenbucket import MAX_TURN_WAIT
from walkcart.wire.messagebase import Message
from walkcart.wire.quotas import QuotaAsk, QuotaElsewhere, QuotaGrant

#: Returns the version of the configuration in force and a team's limit there.
FindLimit = Callable[[str], tuple[int, RateLimit | None]]


class QuotaServer:
    """Grants from the shares that this instance accounts.

    Args:
        links: to the other instances.
        shares: that this instance accounts.
        holders: who accounts the others.
        bounds: by how much limits may be passed.
        find_limit: tells the limits in force here.
        clock: source of time.
    """

    def __init__(
        self,
        links: PeerLinks,
        shares: QuotaShares,
        holders: QuotaHolders,
        bounds: QuotaBounds,
        find_limit: FindLimit,
        clock: Clock,
    ) -> None:
        self._links = links
        self._shares = shares
        self._holders = holders
        self._bounds = bounds
        self._find_limit = find_limit
        self._clock = clock
        links.on_with_age(QuotaAsk, self._on_ask)

    def _on_ask(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, QuotaAsk)
        if math.isfinite(age) and age > self._bounds.hold:
            # A grant would have ended when it arrives.
            return
        if _is_sound(message):
            self._links.send(sender, self._answer(message))

    def _answer(self, ask: QuotaAsk) -> QuotaGrant | QuotaElsewhere:
        account = self._shares.find_account(ask.share)
        if account is None:
            holder = self._holders.find(ask.share)
            return QuotaElsewhere(ask.id, holder.name, holder.revision)
        reply = account.grant(self._find_newest(ask), self._clock.monotonic())
        wait = min(reply.wait, MAX_TURN_WAIT)
        return QuotaGrant(
            ask.id, reply.granted, wait, reply.turn, reply.use, reply.full
        )

    def _find_newest(self, ask: QuotaAsk) -> QuotaRequest:
        """Return what is asked for under the newer of two configurations."""
        limit = RateLimit(ask.rate, ask.burst)
        version = ask.version
        own_version, own_limit = self._find_limit(ask.team)
        if own_version > version and own_limit is not None:
            version, limit = own_version, own_limit
        return QuotaRequest(ask.team, limit, version, ask.wanted, ask.full)


def _is_sound(ask: QuotaAsk) -> bool:
    """Return whether the numbers of an ask are usable."""
    numbers = (ask.rate, ask.burst)
    finite = all(math.isfinite(number) and number >= 0.0 for number in numbers)
    return finite and ask.rate > 0.0 and ask.wanted > 0 and 0 <= ask.share < MAX_SHARES
