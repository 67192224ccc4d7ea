"""What a copy of stored items tells those who act on it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from walkcart.store.items import Item

#: Names the store itself as the origin of a change.
STORE = "store"


@dataclass(frozen=True, slots=True)
class Origin:
    """Where changes came from.

    Args:
        source: `STORE`, or the instance that passed them on.
        delay: the most seconds since somebody read them from the store; infinite if
            that isn't known.
    """

    source: str = STORE
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Update:
    """One change of a copy.

    Args:
        items: the whole copy by key.
        changed: keys that came, changed or went.
        origin: of the change.
    """

    items: Mapping[str, Item]
    changed: frozenset[str]
    origin: Origin


#: Told of each change, and once when the copy was first read; must not wait.
UpdateListener = Callable[[Update], None]
