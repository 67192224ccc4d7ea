"""Messages by which instances relay changes of the shared store to each other.

Their contents are packed like stored values: entries of one kind resemble each other,
so a configuration of 24 KB with 227 services takes 2.6 KB.
"""

from __future__ import annotations

import msgspec

from walkcart.wire.figures import Amount
from walkcart.wire.messagebase import Message


class RelayedItem(msgspec.Struct, frozen=True, array_like=True):
    """A stored value, or the removal of its key if `gone`.

    Args:
        key: key of the value.
        revision: revision of the store at the change.
        value: the stored bytes.
        gone: whether the key was removed.
    """

    key: str
    revision: int
    value: bytes = b""
    gone: bool = False


class RelaySubscribe(Message, frozen=True):
    """Subscribes to changes for a while, and acknowledges those received.

    Args:
        revisions: for each prefix, the revision up to which the sender has all changes.
    """

    revisions: dict[str, int]


class RelayUnserved(Message, frozen=True):
    """Says that the sender relays nothing now; the receiver should ask others."""


class RelayAge(msgspec.Struct, frozen=True, array_like=True):
    """Age of the contents of a message when it was packed.

    Args:
        current: seconds since the sender certainly had all stored values.
        changed: seconds since it read the latest change.
    """

    current: Amount
    changed: Amount


class RelayChanges(Message, frozen=True):
    """The latest change of each key under a prefix.

    Args:
        prefix: prefix of the keys.
        base: revision up to which the receiver must already have all changes.
        revision: revision up to which it has all changes afterwards.
        packed: the changes, a packed tuple of `RelayedItem`.
        age: age of the changes.
    """

    prefix: str
    base: int
    revision: int
    packed: bytes
    age: RelayAge


class RelayCopy(Message, frozen=True):
    """All values under a prefix, for a receiver that is too far behind.

    Args:
        prefix: prefix of the keys.
        revision: revision of the copy.
        packed: all items, a packed tuple of `RelayedItem`.
        age: age of the copy.
    """

    prefix: str
    revision: int
    packed: bytes
    age: RelayAge


class RelayedState(msgspec.Struct, frozen=True, array_like=True):
    """State of the sender's copy of a prefix.

    Args:
        latest_change: revision of the latest change; a receiver that has it is up to
            date.
        revision: revision up to which the sender has all changes.
        current_age: seconds since it certainly had all stored values.
    """

    latest_change: int
    revision: int
    current_age: Amount


class RelayCurrent(Message, frozen=True):
    """Says that there are no other changes; the heartbeat of a feed.

    Args:
        states: states of the copies, by prefix; those that the sender doesn't feed to
            the receiver are left out.
        confirmed: whether the ages count from replies of the store. Otherwise they may
            count from any call that was served while a watch waited, which doesn't show
            that the watch works.
    """

    states: dict[str, RelayedState]
    confirmed: bool = False
