"""Asking for claims, from the instance that a request came to."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.membership.view import MembershipView
from walkcart.once.keys import IdempotencyKey
from walkcart.once.owner import BucketOwners
from walkcart.once.records import ClaimOutcome, bucket_of
from walkcart.routing.shares import choose_rendezvous
from walkcart.wire.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimSettle,
    ClaimWithdraw,
    Message,
)

#: Share of a request's time that its claim may take.
CLAIM_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Grant:
    """How asking for a claim ended.

    Args:
        outcome: whether it is granted, or why not.
        token: of this asking.
        bucket: of the key.
        key: what is claimed.
        status: of the kept reply, for a repeat.
        body: of the kept reply, for a repeat.
    """

    outcome: ClaimOutcome
    token: str
    bucket: int
    key: bytes
    status: int = 0
    body: bytes = b""


class _Waiting:
    """An ask without an answer yet."""

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.answer: ClaimAnswer | None = None


class Claimant:
    """Asks the buckets' owners for claims.

    Args:
        view: the instances.
        links: to them.
        owners: this instance's own part, for buckets that it owns.
        clock: source of time.
    """

    def __init__(
        self,
        view: MembershipView,
        links: PeerLinks,
        owners: BucketOwners,
        clock: Clock,
    ) -> None:
        self._view = view
        self._links = links
        self._owners = owners
        self._clock = clock
        self._count = 0
        self._waiting: dict[str, _Waiting] = {}
        links.on(ClaimAsk, self._on_ask)
        links.on(ClaimAnswer, self._on_answer)
        links.on(ClaimSettle, self._on_settle)
        links.on(ClaimWithdraw, self._on_withdraw)

    async def claim(
        self, key: bytes, issued: IdempotencyKey, request: bytes, remaining: timedelta
    ) -> Grant:
        """Ask for `key`.

        Once this returns anything but granted, or is cancelled, the request must
        not be sent; the claim, if there is one, is withdrawn.

        Args:
            key: digest of service, partner and idempotency key.
            issued: the key as given.
            request: digest of the request.
            remaining: time left for the request.
        """
        bucket = bucket_of(key)
        limit = remaining.total_seconds() * CLAIM_SHARE
        ask = ClaimAsk(
            self._make_token(), bucket, key, issued.issued.timestamp(), request, limit
        )
        answer = await self._ask(ask, limit)
        if answer is None:
            self.withdraw(Grant(ClaimOutcome.UNAVAILABLE, ask.token, bucket, key))
            return Grant(ClaimOutcome.UNAVAILABLE, ask.token, bucket, key)
        outcome = ClaimOutcome(answer.outcome)
        return Grant(outcome, ask.token, bucket, key, answer.status, answer.body)

    def settle(self, grant: Grant, status: int, body: bytes) -> None:
        """Keep the reply of a granted claim."""
        message = ClaimSettle(grant.token, grant.bucket, grant.key, status, body)
        owner = self._owner_of(grant.bucket)
        if owner == self._view.own.name or not self._links.send(owner, message):
            self._owners.settle(message)

    def withdraw(self, grant: Grant) -> None:
        """Give a claim up; its request was surely not sent."""
        message = ClaimWithdraw(grant.token, grant.bucket, grant.key)
        owner = self._owner_of(grant.bucket)
        if owner == self._view.own.name or not self._links.send(owner, message):
            self._owners.withdraw(message)

    async def _ask(self, ask: ClaimAsk, limit: float) -> ClaimAnswer | None:
        """Return the owner's answer, or None when none came in time."""
        waiting = _Waiting()
        self._waiting[ask.token] = waiting
        try:
            with trio.move_on_after(limit):
                self._bring(ask)
                await waiting.answered.wait()
        except trio.Cancelled:
            self.withdraw(
                Grant(ClaimOutcome.UNAVAILABLE, ask.token, ask.bucket, ask.key)
            )
            raise
        finally:
            del self._waiting[ask.token]
        return waiting.answer

    def _bring(self, ask: ClaimAsk) -> None:
        owner = self._owner_of(ask.bucket)
        if owner == self._view.own.name or not self._links.send(owner, ask):
            self._owners.ask(ask, self._take_answer)

    def _owner_of(self, bucket: int) -> str:
        names = [item.name for item in self._view.usable_peers()]
        names.append(self._view.own.name)
        return choose_rendezvous(f"claims-{bucket}", names) or self._view.own.name

    def _make_token(self) -> str:
        self._count += 1
        own = self._view.own
        return f"{own.name}.{own.incarnation:x}.{self._count:x}"

    def _take_answer(self, answer: ClaimAnswer) -> None:
        waiting = self._waiting.get(answer.token)
        if waiting is not None and waiting.answer is None:
            waiting.answer = answer
            waiting.answered.set()

    def _on_answer(self, sender: str, message: Message) -> None:
        assert isinstance(message, ClaimAnswer)
        self._take_answer(message)

    def _on_ask(self, sender: str, message: Message) -> None:
        assert isinstance(message, ClaimAsk)

        def answer(outcome: ClaimAnswer) -> None:
            self._links.send(sender, outcome)

        self._owners.ask(message, answer)

    def _on_settle(self, sender: str, message: Message) -> None:
        assert isinstance(message, ClaimSettle)
        self._owners.settle(message)

    def _on_withdraw(self, sender: str, message: Message) -> None:
        assert isinstance(message, ClaimWithdraw)
        self._owners.withdraw(message)
