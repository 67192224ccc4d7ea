"""Items of a shared store: pages, changes, transactions and leases.

This is the port by which the product uses a key-value service that lists and
watches prefixes and gives leases. The wire form is an adapter's.

See Also:
    `walkcart.store.follower.PrefixFollower`, which keeps a copy of a prefix.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

#: The lease of an item that nothing removes by itself.
NO_LEASE = 0
#: The revision that a transaction expects of a key which must be absent.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Item:
    """A stored value.

    Args:
        key: its name.
        value: its bytes.
        revision: of the store at its latest change.
        lease: that it hangs on, as far as the store said; `NO_LEASE` without one.
    """

    key: str
    value: bytes
    revision: int
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Removal:
    """A key was removed at this revision of the store."""

    key: str
    revision: int


Change = Item | Removal


@dataclass(frozen=True, slots=True)
class Page:
    """Some items of a prefix, in the order of their keys.

    Args:
        items: of this page.
        revision: of the store when the page was read.
        last: whether no page follows.
    """

    items: tuple[Item, ...]
    revision: int
    last: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed after the revision that a watch began at.

    Args:
        changes: in the order of their revisions; empty when the wait ended first.
        revision: to watch on from.
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer knows the changes after the revision asked for."""


@dataclass(frozen=True, slots=True)
class Put:
    """Store `value` at `key`, removed when `lease` ends unless that is 0."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that take effect together, or not at all.

    Args:
        expected: revisions by key that must hold; 0 for a key that must be absent.
        puts: what to store.
        removals: keys to remove.
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
    """A condition didn't hold; nothing took effect.

    Args:
        present: what is stored at the keys of the conditions.
    """

    present: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class LeaseNotFound:
    """There is no such lease, or it has ended."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, counted by the store from the arrival of the last call for it."""

    id: int
    time_to_live: timedelta


class SharedStore(Protocol):
    """The service, as the product uses it.

    Every call raises `walkcart.store.calls.StoreUnavailable` when it has no usable
    reply; ``uncertain`` then says whether a change may have taken effect.
    """

    async def list_items(self, prefix: str, after: str, fresh: bool) -> Page:
        """Return the page of `prefix` that follows the key `after`.

        Args:
            prefix: start of the keys.
            after: last key of the page before; empty for the first page.
            fresh: whether the newest state is needed; a read that may be seconds
                old costs a tenth.
        """
        ...

    async def watch(
        self, prefix: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait up to `wait` for changes of `prefix` after a revision."""
        ...

    async def commit(
        self, transaction: Transaction
    ) -> Committed | Rejected | LeaseNotFound:
        """Make changes that depend on conditions."""
        ...

    async def grant_lease(self, time_to_live: timedelta) -> Lease:
        """Return a new lease."""
        ...

    async def renew_lease(self, lease: Lease) -> Lease | LeaseNotFound:
        """Begin the time of a lease anew."""
        ...

    async def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes the items that hang on it."""
        ...
