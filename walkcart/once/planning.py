"""Applies a batch of operations to a bucket, as pure functions of plain data.

See Also:
    `walkcart.once.owner.BucketOwner`, which writes the plans to the store.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime

from walkcart.once.keys import MAX_CLOCK_SKEW, MAX_KEY_AGE
from walkcart.once.records import (
    Bucket,
    Claim,
    ClaimOutcome,
    decide_claim,
    find_segments,
    limit_body,
)
from walkcart.wire.messages import ClaimAnswer, ClaimAsk, ClaimSettle, ClaimWithdraw

#: Called with the outcome of a claim; must not block.
AnswerCallback = Callable[[ClaimAnswer], None]

#: For each segment, by its key in the store, the claims by key.
Segments = Mapping[str, Mapping[bytes, Claim]]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A claim that is asked for.

    Args:
        message: the message that asks for it.
        until: when the asker stops waiting, in seconds of the monotonic clock.
        answer: called with the outcome.
    """

    message: ClaimAsk
    until: float
    answer: AnswerCallback


Operation = ClaimRequest | ClaimSettle | ClaimWithdraw


@dataclass(frozen=True, slots=True)
class Plan:
    """The effect of a batch on a bucket.

    Args:
        claims: the bucket's claims afterwards, by key.
        answers: claims that were asked for, in the order of arrival, with the answers
            to give once the plan is written.
        changed: whether there is anything to write.
    """

    claims: dict[bytes, Claim]
    answers: tuple[tuple[ClaimRequest, ClaimAnswer], ...]
    changed: bool


def make_answer(message: ClaimAsk, outcome: ClaimOutcome) -> ClaimAnswer:
    """Return an answer without a kept reply."""
    return ClaimAnswer(message.token, outcome.value)


class Planner:
    """Plans one write of a bucket.

    Args:
        bucket: the bucket as stored.
        segments: the segments that are loaded.
        now: time of day.
    """

    def __init__(self, bucket: Bucket, segments: Segments, now: datetime) -> None:
        self._bucket = bucket
        self._segments = segments
        self._now = now.timestamp()
        self._claims = {claim.key: claim for claim in bucket.claims}

    def plan(
        self, batch: list[Operation], abandoned: Mapping[str, bytes], uncertain: bool
    ) -> Plan:
        """Return the effect of a batch on the bucket.

        Args:
            batch: operations in the order of arrival.
            abandoned: keys by token of claims that may be stored and must be removed.
            uncertain: whether an earlier write may still take effect.
        """
        answers: list[tuple[ClaimRequest, ClaimAnswer]] = []
        # After an uncertain write the revision must advance, so that a write which is
        # still in progress can no longer take effect.
        changed = bool(abandoned) and uncertain
        for token, key in abandoned.items():
            changed |= self._remove(key, token)
        for item in batch:
            match item:
                case ClaimRequest(message=message):
                    answer, added = self._plan_ask(message)
                    answers.append((item, answer))
                    changed |= added
                case ClaimSettle():
                    changed |= self._plan_settle(item)
                case ClaimWithdraw(key=key, token=token):
                    changed |= self._remove(key, token)
        return Plan(self._claims, tuple(answers), changed)

    def _plan_ask(self, message: ClaimAsk) -> tuple[ClaimAnswer, bool]:
        """Return the answer, and whether a claim was added."""
        if message.issued < self._now - (MAX_KEY_AGE + MAX_CLOCK_SKEW).total_seconds():
            return make_answer(message, ClaimOutcome.TOO_OLD), False
        existing = self._find(message.key, message.issued)
        outcome = decide_claim(existing, message.request, message.token)
        if existing is None:
            self._claims[message.key] = Claim(
                message.key, message.request, message.token, message.issued
            )
        if existing is None or outcome is not ClaimOutcome.REPEATED:
            return make_answer(message, outcome), existing is None
        status, body = existing.status, existing.body
        return ClaimAnswer(message.token, outcome.value, status, body), False

    def _find(self, key: bytes, issued: float) -> Claim | None:
        if key in self._claims:
            return self._claims[key]
        for reference in find_segments(self._bucket, issued):
            found = self._segments[reference.key].get(key)
            if found is not None:
                return found
        return None

    def _plan_settle(self, message: ClaimSettle) -> bool:
        existing = self._claims.get(message.key) or self._find_in_segments(message.key)
        if existing is None or existing.token != message.token or existing.status:
            return False
        self._claims[message.key] = Claim(
            existing.key,
            existing.request,
            existing.token,
            existing.issued,
            message.status,
            limit_body(message.body),
        )
        return True

    def _find_in_segments(self, key: bytes) -> Claim | None:
        for claims in self._segments.values():
            if key in claims:
                return claims[key]
        return None

    def _remove(self, key: bytes, token: str) -> bool:
        """Remove the claim made with `token`, unless it has a kept reply.

        Returns:
            Whether a claim was removed.
        """
        existing = self._claims.get(key)
        if existing is None or existing.token != token or existing.status:
            return False
        del self._claims[key]
        return True
