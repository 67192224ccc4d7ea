"""One question to many shards and back: snapshot, attempts, gathering, coverage."""

from walkcart.fanout.answers import Answer, Coverage, MissingShard
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.gathering import GatherTools
from walkcart.fanout.questions import Question
from walkcart.fanout.single import OnceRequest, SingleSender
from walkcart.fanout.snapshots import choose_snapshot

__all__ = [
    "Answer",
    "Coverage",
    "GatherTools",
    "Gatherer",
    "MissingShard",
    "OnceRequest",
    "Question",
    "SingleSender",
    "choose_snapshot",
]
