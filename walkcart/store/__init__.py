"""The client of the platform's key-value service."""

from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.client import (
    VALUE_LIMIT,
    Conflict,
    Entry,
    StoreClient,
    StoreUnavailable,
    Written,
)

__all__ = [
    "VALUE_LIMIT",
    "Backoff",
    "CallBudget",
    "Conflict",
    "Entry",
    "StoreClient",
    "StoreUnavailable",
    "Written",
]
