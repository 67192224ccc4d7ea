"""The registration of the instances of a trial."""

from __future__ import annotations

from collections.abc import Callable

from walkcart.membership.instancerecord import InstanceRecord


class FixedRegistration:
    """A registration that lists all instances of a trial from the start.

    It has the part of `walkcart.membership.registration.Registration` that routing
    decisions use.

    Args:
        own: the record of this instance.
        records: all instances by name; filled while the instances start.
    """

    def __init__(self, own: InstanceRecord, records: dict[str, InstanceRecord]) -> None:
        self.own = own
        self._records = records

    def on_change(self, listener: Callable[[], None]) -> None:
        """Do nothing: the instances don't change during a trial."""

    def others(self) -> tuple[InstanceRecord, ...]:
        """Return the other instances."""
        name = self.own.name
        return tuple(item for item in self._records.values() if item.name != name)

    def find(self, name: str) -> InstanceRecord | None:
        """Return the instance called `name`, or None."""
        return self._records.get(name)

    def count(self) -> int:
        """Return the number of instances that share the load."""
        return len(self._records)
