"""The latest change of each key of a copy, for other copies that are a little behind.

Only the latest is kept: what it replaced is of no use to anyone. Whoever passes changes
on so sends what is there now, however many versions lie in between, and the size of it
depends on the keys that changed and not on how often they did.

See Also:
    `walkcart.store.follower.PrefixFollower`, which keeps one.
"""

from __future__ import annotations

from collections import deque

from walkcart.store.items import Change

#: Keys whose changes are kept: an index that is cut anew at twice the largest
#: deployment that was measured (405 leafs).
KEPT_CHANGES = 1000
#: Full readings that are remembered; before the first of them nothing is known.
KEPT_GAPS = 20


class ChangeHistory:
    """What changed, by key.

    Examples:
        >>> from walkcart.store.items import Item
        >>> history = ChangeHistory()
        >>> history.begin(1)
        >>> for revision in (2, 3):
        ...     history.add(Item("routes", b"", revision))
        >>> [change.revision for change in history.changes_after(1)]
        [3]
    """

    def __init__(self) -> None:
        self._changes: dict[str, Change] = {}
        self._from = 0
        #: Pairs of revisions between which only the difference is known.
        self._gaps: deque[tuple[int, int]] = deque(maxlen=KEPT_GAPS)
        #: Revision of the latest change.
        self.latest = 0

    def begin(self, revision: int) -> None:
        """Note that nothing is known of what changed before a revision."""
        self._from = revision

    def note_gap(self, before: int, after: int) -> None:
        """Note that between two revisions only the difference is known."""
        if len(self._gaps) == KEPT_GAPS:
            self._from = max(self._from, self._gaps[0][1])
        self._gaps.append((before, after))

    def add(self, change: Change) -> None:
        """Take a change in place of an earlier one of its key."""
        held = self._changes.get(change.key)
        if held is not None and held.revision > change.revision:
            return
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        self.latest = max(self.latest, change.revision)
        while len(self._changes) > KEPT_CHANGES:
            dropped = self._changes.pop(next(iter(self._changes)))
            self._from = max(self._from, dropped.revision)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return what changed after a revision; None when that isn't known.

        Of what a full reading brought it is known only how it differs from the copy
        before it, not what came and went in between.
        """
        if revision < self._from:
            return None
        if any(first < revision < last for first, last in self._gaps):
            return None
        return tuple(
            change for change in self._changes.values() if change.revision > revision
        )
