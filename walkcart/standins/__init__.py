"""Stand-ins (test doubles) for the systems that walkcart depends on.

Tests, trials and the bench use them in place of the key-value service, the leaves, the
instance list, the load balancer and the network. None of them is used in production.
"""

from walkcart.standins.leaf import LeafSpec, LeafStandin
from walkcart.standins.leaf_faults import LeafFaults
from walkcart.standins.listing import ListStandin
from walkcart.standins.memory import MemoryNetwork, MemorySite
from walkcart.standins.store import StoreFaults, StoreStandin

__all__ = [
    "LeafFaults",
    "LeafSpec",
    "LeafStandin",
    "ListStandin",
    "MemoryNetwork",
    "MemorySite",
    "StoreFaults",
    "StoreStandin",
]
