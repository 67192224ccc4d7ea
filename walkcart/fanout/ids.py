"""Ids of attempts, unique over all instances and their restarts."""

from __future__ import annotations


class IdSource:
    """Generates ids from the instance's name, its incarnation and a counter.

    Args:
        instance: name of the instance.
        incarnation: number that differs at each start of the instance's process.

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
