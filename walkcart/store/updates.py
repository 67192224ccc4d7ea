"""Notifications of changes of a copy of stored items."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from walkcart.store.items import Item

#: `Origin.source` of a change that was read from the store itself.
STORE = "store"


@dataclass(frozen=True, slots=True)
class Origin:
    """Where changes came from.

    Args:
        source: `STORE`, or the name of the instance that passed them on.
        delay: upper bound of the seconds since an instance read them from the store;
            infinite if unknown.
    """

    source: str = STORE
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Update:
    """One change of a copy.

    Args:
        items: all items of the copy, by key.
        changed: keys that were added, changed or removed.
        origin: where the change came from.
    """

    items: Mapping[str, Item]
    changed: frozenset[str]
    origin: Origin


#: Called at each change, and once when the copy was first read; must not block.
UpdateListener = Callable[[Update], None]
