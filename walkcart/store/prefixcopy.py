"""A copy of all items under a prefix.

The copy only moves forward: an item is only replaced by a later revision of it.

See Also:
    `walkcart.store.follower.PrefixFollower`, which keeps a copy up to date.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from walkcart.store.history import ChangeHistory
from walkcart.store.items import Change, Item, Removal
from walkcart.store.updates import STORE, Origin, Update, UpdateListener

#: Given the old and the new value of an item, returns whether the change is
#: significant.
DifferenceTest = Callable[[bytes, bytes], bool]


def differ(old: bytes, new: bytes) -> bool:
    """Return whether two values differ: every difference is significant."""
    return old != new


class PrefixCopy:
    """A copy of all items under a prefix, and the history of its changes.

    Args:
        prefix: the prefix of the keys.
        listener: called at each change of the copy, and once when it was first read.
        is_significant: whether the difference between two values of an item is
            significant.
    """

    def __init__(
        self,
        prefix: str,
        listener: UpdateListener,
        is_significant: DifferenceTest = differ,
    ) -> None:
        self.prefix = prefix
        self.revision = 0
        #: Whether the copy was read or fed in full at least once.
        self.known = False
        self.on_change: Callable[[PrefixCopy], None] = lambda copy: None
        self._listener = listener
        self._is_significant = is_significant
        self._items: dict[str, Item] = {}
        self._history = ChangeHistory()

    def items(self) -> Iterable[Item]:
        """Return all items of the copy."""
        return self._items.values()

    @property
    def latest_change(self) -> int:
        """Revision of the latest change: a copy at this revision lacks nothing."""
        return self._history.latest

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the latest change of each key after a revision, or None if unknown."""
        return self._history.changes_after(revision) if self.known else None

    def replace(
        self, found: Mapping[str, Item], revision: int, origin: Origin = Origin()
    ) -> None:
        """Replace the copy with a full one, except for items of a later revision.

        The differences from the copy so far are kept as changes, to be passed on.

        Args:
            found: all items of the prefix, by key.
            revision: the revision of the full copy.
            origin: where the full copy came from.
        """
        changes: list[Change] = [
            item for item in found.values() if self._is_newer(item)
        ]
        for key, item in self._items.items():
            if key not in found and item.revision <= revision:
                # The revision of the removal isn't known; this is the latest possible.
                changes.append(Removal(key, revision))
        self._record_full_copy(revision)
        newly_known = not self.known
        self.known = True
        self._apply_changes(changes, revision, origin, always_notify=newly_known)

    def _record_full_copy(self, revision: int) -> None:
        """Record in the history that a full copy of a revision was taken over."""
        if not self.known:
            self._history.start_at(revision)
        elif revision > self.revision:
            self._history.add_gap(self.revision, revision)

    def _is_newer(self, item: Item) -> bool:
        """Return whether an item is later than what the copy has at its key.

        A copy that lacks an item from before its own revision has seen the removal.
        """
        held = self._items.get(item.key)
        if held is None:
            return not self.known or item.revision > self.revision
        return held.revision < item.revision

    def start_anew(self, found: Mapping[str, Item], revision: int) -> None:
        """Replace the copy with a full one, whatever its revision so far."""
        self._items = {
            key: dataclasses.replace(item, revision=0)
            for key, item in self._items.items()
        }
        self._history = ChangeHistory()
        self._history.start_at(revision)
        self.revision = 0
        self.replace(found, revision)

    def apply(
        self, changes: Iterable[Change], revision: int, origin: Origin = Origin()
    ) -> bool:
        """Apply changes in order; return whether any of them was significant.

        Args:
            changes: all changes since the copy's revision.
            revision: the revision of the copy afterwards.
            origin: where the changes came from.
        """
        if origin.source != STORE:
            # The copy already contains all changes up to its revision. Items from
            # before it may have been removed since, and a feeder that is behind must
            # not bring them back.
            changes = [item for item in changes if item.revision > self.revision]
        return self._apply_changes(changes, revision, origin, always_notify=False)

    def _apply_changes(
        self,
        changes: Iterable[Change],
        revision: int,
        origin: Origin,
        always_notify: bool,
    ) -> bool:
        """Apply changes in order, and notify the listener if any was significant.

        With `always_notify` the listener is notified in any case.

        Returns:
            Whether any change was significant.
        """
        changed = set()
        for change in changes:
            significant = self._apply_change(change, from_feeder=origin.source != STORE)
            if significant:
                changed.add(change.key)
            if significant or isinstance(change, Removal):
                # A removal is passed on even if a full copy has shown it already: the
                # receivers of this copy may not have seen that full copy. If the key
                # was stored again since, the new item is passed on.
                self._history.add(self._items.get(change.key, change))
        self.revision = max(self.revision, revision)
        if changed or always_notify:
            self._listener(Update(self._items, frozenset(changed), origin))
            self.on_change(self)
        return bool(changed)

    def _apply_change(self, change: Change, from_feeder: bool) -> bool:
        """Apply one change; return whether it is significant.

        A feeder only passes on changes that were significant to it. It compared them
        with values that this copy may never have had, so a changed value from a feeder
        always counts: of a leaf that was cold for 3 s, then not, then for 1.8 s, this
        copy may have seen only the 3 s and the 1.8 s.
        """
        held = self._items.get(change.key)
        if held is not None and held.revision >= change.revision:
            return False
        match change:
            case Item():
                self._items[change.key] = change
                if held is None or from_feeder:
                    return held is None or held.value != change.value
                return self._is_significant(held.value, change.value)
            case Removal():
                return self._items.pop(change.key, None) is not None
