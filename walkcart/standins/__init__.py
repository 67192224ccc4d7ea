"""Stand-ins for the outside systems, for tests, trials and the bench.

Small programs at the interfaces: the key-value service, the leaves, the lagging
instance list, the balancer, and a network in memory. Nothing of them runs in
production.
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
