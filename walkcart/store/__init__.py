"""The client of the platform's key-value service."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Backoff": "backoff",
    "CallBudget": "budget",
    "Conflict": "client",
    "Entry": "client",
    "PrefixFollower": "follower",
    "SharedStore": "items",
    "StoreCalls": "calls",
    "StoreClient": "client",
    "StoreUnavailable": "calls",
    "VALUE_LIMIT": "client",
    "Written": "client",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
