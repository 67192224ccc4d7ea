"""Which leaves are leaving, merged from all sources.

For each leaf two numbers are kept: the highest incarnation that was said to be
leaving and the highest that was said to be live. It is leaving while the first
is at least the second, so an old "live" can't undo a newer "leaving", a restart
does, and the order of the news makes no difference.

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

#: Called with the leaf's address, its incarnation and whether it is leaving.
Listener = Callable[[str, int, bool], None]


class LeafMarks:
    """Leaving and live incarnations by the leaf's address."""

    def __init__(self) -> None:
        self._leaving: dict[str, int] = {}
        self._live: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call `listener` whenever a leaf starts or stops being leaving."""
        self._listeners.append(listener)

    def is_leaving(self, address: str) -> bool:
        """Return whether the leaf gets no new work."""
        leaving = self._leaving.get(address)
        return leaving is not None and leaving >= self._live.get(address, 0)

    def record_leaving(self, address: str, incarnation: int) -> bool:
        """Note that this life of the leaf is leaving; return whether that is news.

        An `incarnation` of 0, from a source that knows none, means the newest
        one that is known.
        """
        life = incarnation or self._live.get(address, 0)
        if self._leaving.get(address, -1) >= life:
            return False
        was = self.is_leaving(address)
        self._leaving[address] = life
        self._tell(address, was)
        return not was and self.is_leaving(address)

    def record_live(self, address: str, incarnation: int) -> bool:
        """Note that this life of the leaf is live; return whether that is news."""
        if self._live.get(address, 0) >= incarnation:
            return False
        was = self.is_leaving(address)
        self._live[address] = incarnation
        self._tell(address, was)
        return was and not self.is_leaving(address)

    def find_mark(self, address: str) -> LeafMark | None:
        """Return the mark to pass on, or None when the leaf isn't leaving."""
        if not self.is_leaving(address):
            return None
        return LeafMark(address, self._leaving[address])

    def _tell(self, address: str, was: bool) -> None:
        now = self.is_leaving(address)
        if now == was:
            return
        life = self._leaving[address] if now else self._live[address]
        for listener in self._listeners:
            listener(address, life, now)
