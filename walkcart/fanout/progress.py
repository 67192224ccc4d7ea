"""How far one question has come at one shard."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkcart.fanout.answers import Coverage, MissingShard
from walkcart.leaves.attempts import Replied
from walkcart.leaves.leaf import Leaf
from walkcart.wire.verdicts import Reason


@dataclass(slots=True)
class Sent:
    """An attempt under way."""

    leaf: Leaf
    at: float
    hedge: bool


@dataclass(slots=True)
class ShardProgress:
    """One shard of one question.

    Args:
        shard: its number.
        leaves: that may serve it.
        reply: accepted for the pinned snapshot.
        time: seconds from the question's start to the reply.
        under_way: attempts by id.
        tried: addresses in the order of use.
        tries: attempts so far.
        retry_at: when the next try is due; None when none is.
        lost_version: leaves that said they don't hold the version.
        reason: why there is no reply yet.
    """

    shard: int
    leaves: tuple[Leaf, ...]
    reply: Replied | None = None
    time: float = 0.0
    under_way: dict[str, Sent] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    tries: int = 0
    retry_at: float | None = None
    lost_version: set[str] = field(default_factory=set)
    reason: Reason = Reason.DEADLINE

    @property
    def open(self) -> bool:
        """Whether a reply may still come."""
        return self.reply is None and bool(self.under_way or self.retry_at is not None)

    @property
    def lacks_version(self) -> bool:
        """Whether no leaf holds the pinned version any longer."""
        return bool(self.leaves) and len(self.lost_version) >= len(self.leaves)


def make_coverage(
    progress: list[ShardProgress], replies: dict[int, Replied]
) -> Coverage:
    """Return what accepted replies cover.

    Args:
        progress: of every shard.
        replies: accepted, by shard.
    """
    whole = sorted(shard for shard in replies if not replies[shard].partial)
    partial = sorted(shard for shard in replies if replies[shard].partial)
    missing = tuple(
        MissingShard(item.shard, Reason.OTHER_VERSION if item.reply else item.reason)
        for item in progress
        if item.shard not in replies
    )
    return Coverage(len(progress), tuple(whole), tuple(partial), missing)


def find_median_time(progress: list[ShardProgress]) -> float | None:
    """Return the median seconds to a reply, or None without replies."""
    times = sorted(item.time for item in progress if item.reply is not None)
    return times[len(times) // 2] if times else None
