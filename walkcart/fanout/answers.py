"""Answers and what they cover."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.leaves.leaf import Snapshot
from walkcart.wire.verdicts import Reason


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that the answer doesn't cover, or not wholly."""

    shard: int
    reason: Reason


@dataclass(frozen=True, slots=True)
class Coverage:
    """What an answer covers, computed from the accepted replies alone.

    Args:
        asked: number of shards in the layout.
        answered: shards whose whole reply is in the answer, ascending.
        partial: shards whose leaf itself saw only a part, ascending.
        missing: the others, with reasons.
    """

    asked: int
    answered: tuple[int, ...]
    partial: tuple[int, ...]
    missing: tuple[MissingShard, ...]

    @property
    def complete(self) -> bool:
        """Whether every shard is covered wholly."""
        return len(self.answered) == self.asked

    @property
    def share(self) -> float:
        """Share of the shards that are covered wholly."""
        return len(self.answered) / self.asked if self.asked else 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """One snapshot's replies.

    Args:
        snapshot: that every reply reflects.
        coverage: what the replies cover.
        replies: body by shard, ascending; the partial ones included.
        sent: requests that went to leaves for this answer.
        median_time: median over the shards of the seconds to the reply; None
            without replies. Stragglers don't move it, a queue everywhere does.
        may_have_run: whether any leaf ran the question or may yet do so.
    """

    snapshot: Snapshot
    coverage: Coverage
    replies: tuple[tuple[int, bytes], ...]
    sent: int
    median_time: float | None = None
    may_have_run: bool = True
