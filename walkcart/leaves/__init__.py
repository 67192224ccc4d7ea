"""Leaves: what is known of them, connections to them, requests through holders."""

from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.leaves.forwarding import Forwarder
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import Leaf, Snapshot
from walkcart.leaves.table import LeafTable, ResolvedGroup, ResolvedLayout

__all__ = [
    "Attempt",
    "Failed",
    "Forwarder",
    "Leaf",
    "LeafGateway",
    "LeafTable",
    "Outcome",
    "Refused",
    "Replied",
    "ResolvedGroup",
    "ResolvedLayout",
    "Snapshot",
]
