"""The server side of shared rate limits: an accountant grants tokens from its shares.

The rate limit of a team is divided into shares. The instance that keeps the account of
a share is its accountant.

See Also:
    `walkcart.membership.quotaclient`, the client side.
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
from walkcart.wire.figures import MAX_FIGURE
from walkcart.wire.messagebase import Message
from walkcart.wire.quotas import QuotaAsk, QuotaElsewhere, QuotaGrant

#: Returns the version of the configuration in force, and a team's limit in it.
FindLimit = Callable[[str], tuple[int, RateLimit | None]]


class QuotaServer:
    """Answers requests for tokens from the shares that this instance accounts.

    Args:
        links: links to the other instances.
        shares: the shares that this instance accounts.
        holders: the accountants of the other shares.
        bounds: how far limits may be exceeded.
        find_limit: returns a team's limit in force at this instance.
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
            # A grant would have expired by the time it arrives.
            return
        if _is_valid(message):
            self._links.send(sender, self._answer(message))

    def _answer(self, ask: QuotaAsk) -> QuotaGrant | QuotaElsewhere:
        account = self._shares.find_account(ask.share)
        if account is None:
            holder = self._holders.find(ask.share)
            return QuotaElsewhere(ask.id, holder.name, holder.revision)
        reply = account.grant(self._apply_newest_limit(ask), self._clock.monotonic())
        wait = min(reply.wait, MAX_TURN_WAIT)
        turn = min(reply.turn, MAX_FIGURE)
        return QuotaGrant(ask.id, reply.granted, wait, turn, reply.use, reply.full)

    def _apply_newest_limit(self, ask: QuotaAsk) -> QuotaRequest:
        """Return the request under the newer of the two instances' configurations."""
        limit = RateLimit(ask.rate, ask.burst)
        version = ask.version
        own_version, own_limit = self._find_limit(ask.team)
        if own_version > version and own_limit is not None:
            version, limit = own_version, own_limit
        return QuotaRequest(ask.team, limit, version, ask.wanted, ask.full)


def _is_valid(ask: QuotaAsk) -> bool:
    """Return whether the numbers of a request are in range."""
    numbers = (ask.rate, ask.burst)
    finite = all(math.isfinite(number) and number >= 0.0 for number in numbers)
    return finite and ask.rate > 0.0 and ask.wanted > 0 and 0 <= ask.share < MAX_SHARES
