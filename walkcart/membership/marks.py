"""The leaves that are leaving, merged from all sources.

Two numbers are kept for each leaf: the highest incarnation reported as leaving and the
highest reported as live. The leaf is leaving while the first is at least the second. So
an old "live" report can't undo a newer "leaving", a restart does, and the order of the
reports makes no difference.

Examples:
    >>> marks = LeafMarks()
    >>> marks.record_leaving("127.0.0.1:1", 5)
    True
    >>> marks.record_live("127.0.0.1:1", 5)
    False
    >>> marks.is_leaving("127.0.0.1:1")
    True
    >>> marks.record_live("127.0.0.1:1", 6)
    True
    >>> marks.is_leaving("127.0.0.1:1")
    False
"""

from __future__ import annotations

from collections.abc import Callable

from walkcart.wire.messages import LeafMark

#: Called with the address of a leaf, its incarnation, and whether it is leaving.
Listener = Callable[[str, int, bool], None]


class LeafMarks:
    """The highest leaving and live incarnation of each leaf, by its address."""

    def __init__(self) -> None:
        self._leaving: dict[str, int] = {}
        self._live: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call `listener` whenever a leaf begins to leave or is live again."""
        self._listeners.append(listener)

    def is_leaving(self, address: str) -> bool:
        """Return whether a leaf is leaving, so that it must get no new work."""
        leaving = self._leaving.get(address)
        return leaving is not None and leaving >= self._live.get(address, 0)

    def record_leaving(self, address: str, incarnation: int) -> bool:
        """Record that a leaf is leaving; return whether that changed its state.

        Args:
            address: the address of the leaf.
            incarnation: the incarnation that is leaving; 0, from a source that doesn't
                know it, stands for the newest known one.
        """
        life = incarnation or self._live.get(address, 0)
        if self._leaving.get(address, -1) >= life:
            return False
        was_leaving = self.is_leaving(address)
        self._leaving[address] = life
        self._notify(address, was_leaving)
        return not was_leaving and self.is_leaving(address)

    def record_live(self, address: str, incarnation: int) -> bool:
        """Record that an incarnation is live; return whether that changed its state."""
        if self._live.get(address, 0) >= incarnation:
            return False
        was_leaving = self.is_leaving(address)
        self._live[address] = incarnation
        self._notify(address, was_leaving)
        return was_leaving and not self.is_leaving(address)

    def find_mark(self, address: str) -> LeafMark | None:
        """Return the mark to spread, or None if the leaf isn't leaving."""
        if not self.is_leaving(address):
            return None
        return LeafMark(address, self._leaving[address])

    def _notify(self, address: str, was_leaving: bool) -> None:
        is_leaving = self.is_leaving(address)
        if is_leaving == was_leaving:
            return
        life = self._leaving[address] if is_leaving else self._live[address]
        for listener in self._listeners:
            listener(address, life, is_leaving)
