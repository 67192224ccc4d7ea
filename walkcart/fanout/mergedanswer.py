"""The answer to a question over shards: merged records and what they cover."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.wire.verdicts import Reason


@dataclass(frozen=True, slots=True)
class MissingPart:
    """A service whose part isn't in an answer.

    Args:
        service: its name.
        reason: why.
        ran: requests to it that ran, may have run or may run yet.
        may_repeat: whether a budget of repeats already holds another request to it.
    """

    service: str
    reason: Reason
    ran: int = 0
    may_repeat: bool = False


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Merged parts.

    Args:
        body: the merged records.
        proofs: what the leafs gave as proof of each part.
        missing: services that aren't in it.
        sent: requests that went to leafs.
        repeats: those among them that were not the first to their service.
    """

    body: bytes
    proofs: tuple[bytes, ...]
    missing: tuple[MissingPart, ...]
    sent: int
    repeats: int
