"""Reading the keys that instances store, and what else they store beside them.

See Also:
    `walkcart.membership.registration.Registration`, which stores this instance's.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.instancerecord import (
    INSTANCE_PREFIX,
    SHARED_PREFIX,
    InstanceRecord,
)
from walkcart.store.items import Item, SharedStore
from walkcart.store.reading import read_prefix


@dataclass(frozen=True, slots=True)
class KeyReading:
    """The instances, as their keys were read.

    Args:
        own: this instance's key, or None without one.
        others: by name.
    """

    own: Item | None
    others: dict[str, InstanceRecord]


class KeyReader:
    """Reads the keys of all instances.

    Args:
        store: the shared store.
        name: of this instance.
        events: where keys that can't be read are logged.
    """

    def __init__(self, store: SharedStore, name: str, events: EventLog) -> None:
        self._store = store
        self._name = name
        self._events = events
        self._readers: dict[str, Callable[[Item], None]] = {}

    def add_prefix_reader(self, prefix: str, reader: Callable[[Item], None]) -> None:
        """Give `reader` the items of another prefix, each time the keys are read."""
        self._readers[prefix] = reader

    async def read(self) -> KeyReading:
        """Read the keys; they may be seconds old, which costs a tenth.

        Raises:
            walkcart.store.calls.StoreUnavailable: they couldn't be read.
        """
        reading = await read_prefix(self._store, SHARED_PREFIX, fresh=False)
        others = {}
        for item in reading.items.values():
            if not item.key.startswith(INSTANCE_PREFIX):
                self._dispatch_item(item)
                continue
            record = self._read_record(item)
            if record is not None and record.name != self._name:
                others[record.name] = record
        return KeyReading(reading.items.get(INSTANCE_PREFIX + self._name), others)

    def _dispatch_item(self, item: Item) -> None:
        for prefix, reader in self._readers.items():
            if item.key.startswith(prefix):
                reader(item)

    def _read_record(self, item: Item) -> InstanceRecord | None:
        try:
            return msgspec.json.decode(item.value, type=InstanceRecord)
        except msgspec.MsgspecError as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, key=item.key, detail=str(error)[:200]
            )
            return None
