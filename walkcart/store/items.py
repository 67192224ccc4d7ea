"""The interface to a shared store: items, changes, transactions and leases.

The product uses it for a key-value service that lists and watches prefixes and grants
leases. An adapter translates it to the service's protocol.

See Also:
    `walkcart.store.follower.PrefixFollower`, which keeps a copy of a prefix.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol, TypeVar

from walkcart.store.calls import StoreUnavailable

#: `Item.lease` of an item without a lease, which only an explicit removal removes.
NO_LEASE = 0
#: Revision that a transaction expects of a key that must be absent.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its stored value.

    Args:
        key: the key.
        value: the stored bytes.
        revision: revision of the store at the latest change of the item.
        lease: id of the lease whose end removes the item, if the store has sent it;
            `NO_LEASE` without one.
    """

    key: str
    value: bytes
    revision: int
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a key, at a revision of the store."""

    key: str
    revision: int


Change = Item | Removal
ChangeT = TypeVar("ChangeT", bound=Item | Removal)


def empty_long_values(changes: Iterable[ChangeT], limit: int) -> list[ChangeT]:
    """Return changes with empty values in place of those of over `limit` bytes."""
    return [
        replace(change, value=b"")
        if isinstance(change, Item) and len(change.value) > limit
        else change
        for change in changes
    ]


@dataclass(frozen=True, slots=True)
class Page:
    """Some items of a prefix, in the order of their keys.

    Args:
        items: the items of this page.
        revision: revision of the store when the page was read.
        last: whether this is the last page.
    """

    items: tuple[Item, ...]
    revision: int
    last: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes after the revision that a watch started from.

    Args:
        changes: the changes in the order of their revisions; empty if the wait ended
            without any.
        revision: the revision from which the next watch starts.
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes after the requested revision."""


@dataclass(frozen=True, slots=True)
class Put:
    """Stores `value` at `key`; the end of `lease` removes it, unless that is 0."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that take effect together, or not at all.

    Args:
        expected: pairs of a key and the revision that it must have; `ABSENT` for a key
            that must be absent.
        puts: the values to store.
        removals: the keys to remove.
    """

    expected: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A condition of the transaction didn't hold, so nothing took effect.

    Args:
        present: the items that are stored at the keys of the conditions.
    """

    present: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class LeaseNotFound:
    """The lease doesn't exist or has ended."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease; its time to live starts when its last renewal arrives at the store."""

    id: int
    time_to_live: timedelta


class SharedStore(Protocol):
    """A shared key-value service.

    Every call raises `walkcart.store.calls.StoreUnavailable` if it has no usable reply;
    ``uncertain`` then tells whether a change may have taken effect.
    """

    async def list_items(self, prefix: str, after: str, fresh: bool) -> Page:
        """Return the page of `prefix` that follows the key `after`.

        Args:
            prefix: the prefix of the keys.
            after: last key of the page before; empty for the first page.
            fresh: whether the newest state is needed; a read that may be seconds old
                costs a tenth.
        """
        ...

    async def watch(
        self, prefix: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait up to `wait` for changes of `prefix` after the revision `after`."""
        ...

    async def commit(
        self, transaction: Transaction
    ) -> Committed | Rejected | LeaseNotFound:
        """Apply the transaction if all its conditions hold."""
        ...

    async def grant_lease(self, time_to_live: timedelta) -> Lease:
        """Grant a new lease."""
        ...

    async def renew_lease(self, lease: Lease) -> Lease | LeaseNotFound:
        """Restart the time to live of a lease."""
        ...

    async def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes the items attached to it."""
        ...

    def reject_reply(self, detail: str) -> StoreUnavailable:
        """Log replies that can't be used, and return the error to raise."""
        ...
