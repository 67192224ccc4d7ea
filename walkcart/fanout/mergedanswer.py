"""Merged answer to a question over shards: its records and their coverage."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.wire.verdicts import Reason


@dataclass(frozen=True, slots=True)
class MissingPart:
    """A service whose part isn't in an answer.

    Args:
        service: name of the service.
        reason: why the part is missing.
        ran: number of leaves that ran its request, may have run it or may still run it.
        may_repeat: whether a repeat budget already accounts for another request to it.
        lost: ids of the leaves among those whose answers were lost, one for each
            request.
    """

    service: str
    reason: Reason
    ran: int = 0
    may_repeat: bool = False
    lost: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Merged parts of an answer.

    Args:
        body: the merged records.
        proofs: the proofs that leaves gave for their parts.
        missing: services whose parts aren't in it.
        sent: number of requests that went to leaves.
        repeats: number of those that were not the first to their service.
    """

    body: bytes
    proofs: tuple[bytes, ...]
    missing: tuple[MissingPart, ...]
    sent: int
    repeats: int
