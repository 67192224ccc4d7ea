"""Input of the fan-out at a pinned snapshot."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.intent.document import Document
from walkcart.intent.policy import Policy
from walkcart.wire.fingerprint import make_fingerprint


@dataclass(frozen=True, slots=True)
class Question:
    """One caller's question.

    Args:
        service: name of the service.
        group: name of its shard group.
        document: the configuration under which the question was admitted.
        policy: the service's policy in that configuration.
        scope: the scope of data that the partner may see.
        body: request body that each leaf gets.
        deadline: time on the kernel's monotonic clock, in seconds.
        least_coverage: share of the shards that an answer must cover.
        traceparent: W3C trace context of the caller's trace.
    """

    service: str
    group: str
    document: Document
    policy: Policy
    scope: str
    body: bytes
    deadline: float
    least_coverage: float
    traceparent: str | None = None

    @property
    def fingerprint(self) -> bytes:
        """Digest that is equal for the same question when it is asked again."""
        return make_fingerprint(self.service.encode(), self.scope.encode(), self.body)
