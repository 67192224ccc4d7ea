"""Messages by which instances pass on what they read from the shared store."""

from __future__ import annotations

import msgspec

from walkcart.wire.messagebase import Message


class RelayedItem(msgspec.Struct, frozen=True, array_like=True):
    """A stored value, or with `gone` the removal of its key.

    Args:
        key: of the value.
        revision: of the store at the change.
        value: the bytes.
        gone: whether the key was removed.
    """

    key: str
    revision: int
    value: bytes = b""
    gone: bool = False


class RelaySubscribe(Message, frozen=True):
    """Asks for changes for a while; sent again before that ends.

    Args:
        revisions: by prefix, up to which the sender knows everything.
    """

    revisions: dict[str, int]


class RelayChanges(Message, frozen=True):
    """What changed under a prefix; also sent empty, as a sign of life.

    Args:
        prefix: start of the keys.
        base: the receiver must know everything up to this revision.
        revision: and knows everything up to this one afterwards.
        changes: in the order of their revisions.
        changed_ago: seconds since the sender read the latest change of the prefix.
    """

    prefix: str
    base: int
    revision: int
    changes: tuple[RelayedItem, ...]
    changed_ago: float = 0.0


class RelayCopy(Message, frozen=True):
    """Everything under a prefix, for a receiver that is too far behind.

    Args:
        prefix: start of the keys.
        revision: of the copy.
        items: all of them.
        changed_ago: seconds since the sender read the latest change of the prefix.
    """

    prefix: str
    revision: int
    items: tuple[RelayedItem, ...]
    changed_ago: float = 0.0
