"""Reads the leaves' entries from the store."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable, Mapping
from typing import Literal

import msgspec

from walkcart.kernel.decoding import BadData, Int64, JsonDecoder
from walkcart.kernel.durations import milliseconds_to_duration
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.settings import BadValue, parse_peer_address
from walkcart.leaves.directory import LeafEntry
from walkcart.platform.teamdocuments import HEADER_TEXT_PATTERN
from walkcart.store.items import Item

#: Prefix of the keys of the leaves' entries; the leaf's id follows.
LEAF_PREFIX = "servers/"
#: State in the entry of a leaf that is about to stop.
_DRAINING = "draining"
#: Texts that fit into a header.
_HEADER_TEXT = re.compile(HEADER_TEXT_PATTERN)


class _LeafEntry(msgspec.Struct, rename="camel"):
    """A leaf's entry; one with a missing field or a wrong type is unreadable."""

    # Service that the leaf belongs to.
    backend: str
    address: str
    # Data centre of the leaf.
    zone: str
    # Version of the leaf's software.
    version: str
    slots: Int64
    state: Literal["ready", "draining"]
    # Remaining time for which the leaf is slow after its start, in ms.
    warmup_left_ms: float
    # Number of times that the entry was written.
    seq: int
    # Start of the leaf's process in Unix milliseconds; 0 if the leaf doesn't report it.
    born: Int64 = 0


_LEAF_ENTRY = JsonDecoder(_LeafEntry)


def leaf_entry_differs(old: bytes, new: bytes) -> bool:
    """Return whether a leaf's new entry differs in anything that instances act on.

    Leaves rewrite their entries all the time, to show that they are alive and how much
    of their cold time remains. A reader that has the previous entry doesn't act on
    that. It does act on a cold time that starts anew.
    """
    before, after = _decode_leaf_entry(old), _decode_leaf_entry(new)
    if before is None or after is None:
        # `LeafEntries` logs each unreadable entry once.
        return before is not after
    if 0 < after.warmup_left_ms >= before.warmup_left_ms:
        return True
    before.warmup_left_ms = after.warmup_left_ms
    before.seq = after.seq
    return before != after


def _decode_leaf_entry(value: bytes) -> _LeafEntry | None:
    try:
        return _LEAF_ENTRY.decode(value)
    except BadData:
        return None


def _check_leaf(id: str, stored: _LeafEntry) -> None:
    """Check that requests can be sent to a leaf: its id goes into a header.

    Raises:
        BadData: the id or the address can't be used.
    """
    if not _HEADER_TEXT.fullmatch(id):
        raise BadData(f"expected an id without control characters, got {id!r}")
    try:
        parse_peer_address(stored.address)
    except BadValue as error:
        raise BadData(f"expected {error}, got {stored.address!r}") from None


class LeafEntries:
    """Holds the decoded entries of leaves and decodes only those that change.

    Args:
        regions: region by data centre.
        events: log for unreadable entries.
    """

    def __init__(self, regions: Mapping[str, str], events: EventLog) -> None:
        self._regions = regions
        self._events = events
        self._entries: dict[str, LeafEntry] = {}

    def read(
        self, items: Mapping[str, Item], changed: Collection[str]
    ) -> Iterable[LeafEntry]:
        """Return all leaves with readable entries; log the unreadable ones.

        Args:
            items: stored entries by key.
            changed: keys that were added, changed or removed since the last call.
        """
        for key in changed:
            self._entries.pop(key, None)
            item = items.get(key)
            if item is not None:
                self._update_entry(key, item.value)
        return self._entries.values()

    def _update_entry(self, key: str, value: bytes) -> None:
        try:
            stored = _LEAF_ENTRY.decode(value)
            _check_leaf(key.removeprefix(LEAF_PREFIX), stored)
        except BadData as error:
            self._events.emit(Events.LEAF_ENTRY_BAD, key=key, detail=str(error)[:200])
            return
        self._entries[key] = LeafEntry(
            id=key.removeprefix(LEAF_PREFIX),
            service=stored.backend,
            address=stored.address,
            data_centre=stored.zone,
            region=self._regions.get(stored.zone, ""),
            slots=max(1, stored.slots),
            leaving=stored.state == _DRAINING,
            # A leaf that counts down may pass 0.
            cold_time=milliseconds_to_duration(max(0.0, stored.warmup_left_ms)),
            incarnation=stored.born,
        )
