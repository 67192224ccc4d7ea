"""The latest change of each key of a copy, to bring other copies up to date.

Only the latest change of a key is kept, since no copy needs the versions before it.
What is passed on therefore depends on the number of keys that changed, not on how often
they changed.

See Also:
    `walkcart.store.follower.PrefixFollower`, which keeps one.
"""

from __future__ import annotations

from collections import deque

from walkcart.store.items import Change

#: Maximum number of keys whose changes are kept. An index that is divided into new
#: shards changes the keys of all its leaves; the largest known deployment has 405
#: leaves, and this allows for twice as many.
MAX_CHANGES = 1000
#: Maximum number of full reads that are remembered. The history starts after the oldest
#: one that was dropped.
MAX_GAPS = 20


class ChangeHistory:
    """The latest change of each key, in the order in which the changes were added.

    Examples:
        >>> from walkcart.store.items import Item
        >>> history = ChangeHistory()
        >>> history.start_at(1)
        >>> for revision in (2, 3):
        ...     history.add(Item("routes", b"", revision))
        >>> [change.revision for change in history.changes_after(1)]
        [3]
    """

    def __init__(self) -> None:
        self._changes: dict[str, Change] = {}
        self._known_since = 0
        #: Pairs of revisions, before and after a full read, between which only the
        #: difference is known.
        self._gaps: deque[tuple[int, int]] = deque(maxlen=MAX_GAPS)
        #: Revision of the latest change; 0 without one.
        self.latest = 0

    def start_at(self, revision: int) -> None:
        """Start the history at a revision: changes before it are unknown."""
        self._known_since = revision

    def add_gap(self, before: int, after: int) -> None:
        """Record that between two revisions only the difference is known."""
        if len(self._gaps) == MAX_GAPS:
            self._known_since = max(self._known_since, self._gaps[0][1])
        self._gaps.append((before, after))

    def add(self, change: Change) -> None:
        """Add a change, which replaces an earlier change of the same key."""
        held = self._changes.get(change.key)
        if held is not None and held.revision > change.revision:
            return
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        self.latest = max(self.latest, change.revision)
        while len(self._changes) > MAX_CHANGES:
            dropped = self._changes.pop(next(iter(self._changes)))
            self._known_since = max(self._known_since, dropped.revision)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if they aren't known.

        They aren't known for a revision within a gap: a full read only shows how the
        store differs from the copy before it, not what was stored and removed in
        between.
        """
        if revision < self._known_since:
            return None
        if any(first < revision < last for first, last in self._gaps):
            return None
        return tuple(
            change for change in self._changes.values() if change.revision > revision
        )
