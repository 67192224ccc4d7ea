"""Attempt ids: unique over all instances and their lives."""

from __future__ import annotations


class IdSource:
    """Gives ids made of the instance, its process life and a count.

    Args:
        instance: name of the instance.
        incarnation: number of its process life.

    Examples:
        >>> IdSource("a", 7).next_id()
        'a.7.1'
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        self._prefix = f"{instance}.{incarnation:x}"
        self._count = 0

    def next_id(self) -> str:
        """Return the next id."""
        self._count += 1
        return f"{self._prefix}.{self._count:x}"
