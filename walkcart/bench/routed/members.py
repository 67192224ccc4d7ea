"""The instances of a trial, as each of them knows the others."""

from __future__ import annotations

from collections.abc import Callable

from walkcart.membership.instancerecord import InstanceRecord


class FixedRegistration:
    """Knows all instances of a trial at once.

    The part of `walkcart.membership.registration.Registration` that decisions use.

    Args:
        own: this instance.
        records: all instances by name, filled while they are started.
    """

    def __init__(self, own: InstanceRecord, records: dict[str, InstanceRecord]) -> None:
        self.own = own
        self._records = records

    def on_change(self, listener: Callable[[], None]) -> None:
        """Nothing changes during a trial."""

    def others(self) -> tuple[InstanceRecord, ...]:
        """Return the other instances."""
        name = self.own.name
        return tuple(item for item in self._records.values() if item.name != name)

    def find(self, name: str) -> InstanceRecord | None:
        """Return the instance called `name`, or None."""
        return self._records.get(name)

    def count(self) -> int:
        """Return the instances to divide by."""
        return len(self._records)
