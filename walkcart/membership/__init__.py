"""Which instances are live and which leaves are leaving, as known to one instance.

The views of different instances may differ, and correctness doesn't depend on their
being equal. What must be exact goes through the store's compare-and-swap.
"""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Detector": "detector",
    "GossipQueue": "gossip",
    "InstanceList": "listing",
    "LeafMarks": "marks",
    "ListedInstance": "listing",
    "MemberState": "view",
    "MembershipView": "view",
    "PeerLinks": "links",
    "Registration": "registration",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
