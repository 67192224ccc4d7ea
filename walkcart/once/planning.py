"""What a batch of operations makes of a bucket: plain data in, plain data out.

See Also:
    `walkcart.once.owner.BucketOwner`, which writes what is planned here.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime

from walkcart.once.keys import CLOCK_SKEW, KEY_TIME
from walkcart.once.records import (
    Bucket,
    Claim,
    ClaimOutcome,
    cut_body,
    judge_claim,
    segments_for,
)
from walkcart.wire.messages import ClaimAnswer, ClaimAsk, ClaimSettle, ClaimWithdraw

#: Told the outcome of an ask; must not wait.
Answer = Callable[[ClaimAnswer], None]

#: Claims by key, by the segment's key in the store.
Segments = Mapping[str, Mapping[bytes, Claim]]


@dataclass(frozen=True, slots=True)
class Ask:
    """A claim that is asked for.

    Args:
        message: the ask.
        until: when it is of no more use, on the monotonic clock.
        answer: told the outcome.
    """

    message: ClaimAsk
    until: float
    answer: Answer


Operation = Ask | ClaimSettle | ClaimWithdraw


@dataclass(frozen=True, slots=True)
class Plan:
    """What one write would do.

    Args:
        claims: of the bucket after it, by key.
        answers: due once it is written; asks in the order of arrival.
        changed: whether there is anything to write.
    """

    claims: dict[bytes, Claim]
    answers: tuple[tuple[Ask, ClaimAnswer], ...]
    changed: bool


def make_answer(message: ClaimAsk, outcome: ClaimOutcome) -> ClaimAnswer:
    """Return the answer to an ask without a kept reply."""
    return ClaimAnswer(message.token, outcome.value)


class Planner:
    """Plans one write of a bucket.

    Args:
        bucket: as the store holds it.
        segments: the loaded ones.
        now: time of day.
    """

    def __init__(self, bucket: Bucket, segments: Segments, now: datetime) -> None:
        self._bucket = bucket
        self._segments = segments
        self._now = now.timestamp()
        self._claims = {claim.key: claim for claim in bucket.claims}

    def plan(
        self, batch: list[Operation], given_up: Mapping[str, bytes], uncertain: bool
    ) -> Plan:
        """Return what the batch makes of the bucket.

        Args:
            batch: operations in the order of arrival.
            given_up: keys by token of claims that may be there but must go.
            uncertain: whether an earlier write may take effect yet.
        """
        answers: list[tuple[Ask, ClaimAnswer]] = []
        # After an uncertain write the revision must move on, so that a write
        # which is still under way can't take effect any more.
        changed = bool(given_up) and uncertain
        for token, key in given_up.items():
            changed |= self._remove(key, token)
        for item in batch:
            match item:
                case Ask(message=message):
                    answer, added = self._plan_ask(message)
                    answers.append((item, answer))
                    changed |= added
                case ClaimSettle():
                    changed |= self._plan_settle(item)
                case ClaimWithdraw(key=key, token=token):
                    changed |= self._remove(key, token)
        return Plan(self._claims, tuple(answers), changed)

    def _plan_ask(self, message: ClaimAsk) -> tuple[ClaimAnswer, bool]:
        """Return the answer and whether a claim was added."""
        if message.issued < self._now - (KEY_TIME + CLOCK_SKEW).total_seconds():
            return make_answer(message, ClaimOutcome.TOO_OLD), False
        existing = self._find(message.key, message.issued)
        outcome = judge_claim(existing, message.request, message.token)
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
        for reference in segments_for(self._bucket, issued):
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
            cut_body(message.body),
        )
        return True

    def _find_in_segments(self, key: bytes) -> Claim | None:
        for claims in self._segments.values():
            if key in claims:
                return claims[key]
        return None

    def _remove(self, key: bytes, token: str) -> bool:
        """Remove the claim of `token`; one with a kept reply stays."""
        existing = self._claims.get(key)
        if existing is None or existing.token != token or existing.status:
            return False
        del self._claims[key]
        return True
