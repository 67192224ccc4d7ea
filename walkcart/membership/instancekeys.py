"""Reading of the instances' keys, and of other keys under the same prefix.

See Also:
    `walkcart.membership.registration.Registration`, which stores this instance's key.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from walkcart.kernel.decoding import BadData, JsonDecoder
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.instancerecord import (
    INSTANCE_PREFIX,
    SHARED_PREFIX,
    InstanceRecord,
    bound_cores,
)
from walkcart.store.items import Item, SharedStore
from walkcart.store.reading import read_prefix

_RECORD = JsonDecoder(InstanceRecord)


@dataclass(frozen=True, slots=True)
class KeyReading:
    """The result of reading the instances' keys.

    Args:
        own: the key of this instance, or None if there is none.
        others: the records of the other instances, by name.
    """

    own: Item | None
    others: dict[str, InstanceRecord]


class KeyReader:
    """Reads the keys of all instances.

    Args:
        store: the shared store.
        name: the name of this instance.
        events: log of keys that can't be decoded.
    """

    def __init__(self, store: SharedStore, name: str, events: EventLog) -> None:
        self._store = store
        self._name = name
        self._events = events
        self._readers: dict[str, Callable[[Item], None]] = {}

    def add_prefix_reader(self, prefix: str, reader: Callable[[Item], None]) -> None:
        """Pass the items of another prefix to `reader` at each read."""
        self._readers[prefix] = reader

    async def read(self) -> KeyReading:
        """Read the keys.

        The result may be some seconds old: such a read costs a tenth of a fresh one.

        Raises:
            walkcart.store.calls.StoreUnavailable: the store gave no usable reply.
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
            record = _RECORD.decode(item.value)
            if item.key != INSTANCE_PREFIX + record.name:
                raise BadData(f"the record is that of {record.name!r}")
            return replace(record, cores=bound_cores(record.cores))
        except BadData as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, key=item.key, detail=str(error)[:200]
            )
            return None
