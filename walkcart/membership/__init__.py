"""Which instances live and which leaves are leaving, as far as one can know.

Views of different instances may differ; nothing correct rests on their being
equal. What must be exact goes through the store's compare-and-swap.
"""

from walkcart.membership.detector import Detector
from walkcart.membership.gossip import GossipQueue
from walkcart.membership.links import PeerLinks
from walkcart.membership.listing import InstanceList, ListedInstance
from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView, MemberState

__all__ = [
    "Detector",
    "GossipQueue",
    "InstanceList",
    "LeafMarks",
    "ListedInstance",
    "MemberState",
    "MembershipView",
    "PeerLinks",
]
