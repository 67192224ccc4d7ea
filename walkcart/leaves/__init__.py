"""Leaves: what is known of them, connections to them, requests through holders."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Attempt": "attempts",
    "Failed": "attempts",
    "Forwarder": "forwarding",
    "Leaf": "leaf",
    "LeafDirectory": "directory",
    "LeafEntry": "directory",
    "LeafGateway": "gateway",
    "LeafPool": "pool",
    "LeafTable": "table",
    "Outcome": "attempts",
    "Refused": "attempts",
    "Replied": "attempts",
    "ResolvedGroup": "table",
    "ResolvedLayout": "table",
    "Snapshot": "leaf",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
