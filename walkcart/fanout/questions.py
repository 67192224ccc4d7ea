"""A question as the fan-out takes it."""

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
        document: the configuration that it was admitted under.
        policy: of the service under that configuration.
        scope: what the partner may see.
        body: what each leaf is asked.
        deadline: on the kernel's monotonic clock, in seconds.
        least_coverage: share of the shards that an answer must cover.
        traceparent: of the trace.
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
        """What tells that it is the same question when it is asked again."""
        return make_fingerprint(self.service.encode(), self.scope.encode(), self.body)
