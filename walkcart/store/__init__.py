"""Clients of the platform's key-value service, and copies of what it stores."""

from walkcart.lazyimport import attach_names

_MODULES = {
    "Backoff": "backoff",
    "CallBudget": "budget",
    "Conflict": "client",
    "Entry": "client",
    "PrefixFollower": "following",
    "SharedStore": "items",
    "StoreCalls": "calls",
    "StoreClient": "client",
    "StoreUnavailable": "calls",
    "VALUE_LIMIT": "client",
    "Written": "client",
}

__all__ = sorted(_MODULES)

__getattr__ = attach_names(__name__, _MODULES)
