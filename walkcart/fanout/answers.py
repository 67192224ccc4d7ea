"""Answers and their coverage."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.leaves.leaf import Snapshot
from walkcart.wire.verdicts import Reason


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that an answer doesn't cover.

    Args:
        shard: number of the shard.
        reason: why it is missing.
    """

    shard: int
    reason: Reason


@dataclass(frozen=True, slots=True)
class Coverage:
    """Coverage of an answer, computed from the accepted replies alone.

    Args:
        asked: number of shards in the layout.
        answered: shards with a complete reply in the answer, ascending.
        partial: shards whose leaf stated that its reply is partial, ascending.
        missing: the other shards, with reasons.
    """

    asked: int
    answered: tuple[int, ...]
    partial: tuple[int, ...]
    missing: tuple[MissingShard, ...]

    @property
    def complete(self) -> bool:
        """Whether every shard has a complete reply."""
        return len(self.answered) == self.asked

    @property
    def share(self) -> float:
        """Share of the shards that have a complete reply."""
        return len(self.answered) / self.asked if self.asked else 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Replies of one snapshot.

    Args:
        snapshot: the snapshot that every reply reflects.
        coverage: coverage of the replies.
        replies: shards with their reply bodies, ascending; includes partial replies.
        sent: number of requests that went to leaves for this answer.
        median_time: median over the shards of the seconds to the reply; None without
            replies. Stragglers don't change it, queues at all leaves do.
        may_have_run: whether any leaf ran the question or may still run it.
    """

    snapshot: Snapshot
    coverage: Coverage
    replies: tuple[tuple[int, bytes], ...]
    sent: int
    median_time: float | None = None
    may_have_run: bool = True
