"""Which instances live and which leaves are leaving, as far as one can know.

Views of different instances may differ; nothing correct rests on their being
equal. What must be exact goes through the store's compare-and-swap.
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
