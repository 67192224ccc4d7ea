"""Claims idempotency keys, on the instance that received the request."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.membership.view import MembershipView
from walkcart.once.keys import IdempotencyKey
from walkcart.once.owner import BucketOwners
from walkcart.once.records import ClaimOutcome, find_bucket
from walkcart.routing.shares import choose_rendezvous
from walkcart.wire.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimSettle,
    ClaimWithdraw,
    Message,
)

#: Fraction of a request's remaining time that its claim may take.
CLAIM_TIME_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of asking for a claim.

    Args:
        outcome: whether the claim is granted, or why not.
        token: unique token of this attempt to claim.
        bucket: number of the key's bucket.
        key: digest of service, partner and idempotency key.
        status: HTTP status of the kept reply, if the request is a repeat.
        body: body of the kept reply, if the request is a repeat.
    """

    outcome: ClaimOutcome
    token: str
    bucket: int
    key: bytes
    status: int = 0
    body: bytes = b""


class _PendingAsk:
    """A claim that was asked for and isn't answered yet."""

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.answer: ClaimAnswer | None = None


class Claimant:
    """Asks the owners of buckets for claims.

    Args:
        view: this instance's view of all instances.
        links: connections to the other instances.
        owners: decides claims for the buckets that this instance owns.
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
        self._token_count = 0
        self._pending: dict[str, _PendingAsk] = {}
        links.on(ClaimAsk, self._on_ask)
        links.on(ClaimAnswer, self._on_answer)
        links.on(ClaimSettle, self._on_settle)
        links.on(ClaimWithdraw, self._on_withdraw)

    async def claim(
        self, key: bytes, issued: IdempotencyKey, request: bytes, remaining: timedelta
    ) -> ClaimResult:
        """Claim a key.

        The request may be sent only if the outcome is granted. If there is no answer in
        time, or this call is cancelled, the claim is withdrawn, in case it was granted.

        Args:
            key: digest of service, partner and idempotency key.
            issued: idempotency key, with the time of its issue.
            request: digest of the request.
            remaining: time until the request's deadline.
        """
        bucket = find_bucket(key)
        limit = remaining.total_seconds() * CLAIM_TIME_FRACTION
        ask = ClaimAsk(
            self._make_token(), bucket, key, issued.issued.timestamp(), request, limit
        )
        answer = await self._ask(ask, limit)
        if answer is None:
            self.withdraw(ClaimResult(ClaimOutcome.UNAVAILABLE, ask.token, bucket, key))
            return ClaimResult(ClaimOutcome.UNAVAILABLE, ask.token, bucket, key)
        outcome = ClaimOutcome(answer.outcome)
        return ClaimResult(outcome, ask.token, bucket, key, answer.status, answer.body)

    def settle(self, claim: ClaimResult, status: int, body: bytes) -> None:
        """Store the reply to the request of a granted claim, for repeats.

        Args:
            claim: the granted claim.
            status: HTTP status of the reply.
            body: body of the reply.
        """
        message = ClaimSettle(claim.token, claim.bucket, claim.key, status, body)
        owner = self._find_owner(claim.bucket)
        if owner == self._view.own.name or not self._links.send(owner, message):
            self._owners.settle(message)

    def withdraw(self, claim: ClaimResult) -> None:
        """Remove a claim; its request must not have been sent."""
        message = ClaimWithdraw(claim.token, claim.bucket, claim.key)
        owner = self._find_owner(claim.bucket)
        if owner == self._view.own.name or not self._links.send(owner, message):
            self._owners.withdraw(message)

    async def _ask(self, ask: ClaimAsk, limit: float) -> ClaimAnswer | None:
        """Return the owner's answer; None if none came within `limit` seconds."""
        waiting = _PendingAsk()
        self._pending[ask.token] = waiting
        try:
            with trio.move_on_after(limit):
                self._send_ask(ask)
                await waiting.answered.wait()
        except trio.Cancelled:
            self.withdraw(
                ClaimResult(ClaimOutcome.UNAVAILABLE, ask.token, ask.bucket, ask.key)
            )
            raise
        finally:
            del self._pending[ask.token]
        return waiting.answer

    def _send_ask(self, ask: ClaimAsk) -> None:
        owner = self._find_owner(ask.bucket)
        if owner == self._view.own.name or not self._links.send(owner, ask):
            self._owners.ask(ask, self._deliver_answer)

    def _find_owner(self, bucket: int) -> str:
        names = [item.name for item in self._view.usable_peers()]
        names.append(self._view.own.name)
        return choose_rendezvous(f"claims-{bucket}", names) or self._view.own.name

    def _make_token(self) -> str:
        self._token_count += 1
        own = self._view.own
        return f"{own.name}.{own.incarnation:x}.{self._token_count:x}"

    def _deliver_answer(self, answer: ClaimAnswer) -> None:
        waiting = self._pending.get(answer.token)
        if waiting is not None and waiting.answer is None:
            waiting.answer = answer
            waiting.answered.set()

    def _on_answer(self, sender: str, message: Message) -> None:
        assert isinstance(message, ClaimAnswer)
        self._deliver_answer(message)

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
