"""The stored form of a configuration: one value under one key.

One value, so that one compare-and-swap accepts a change whole. The document
keeps the ids of the last changes, so that a writer whose reply was lost finds
out whether its change took effect even after others came on top.
"""

from __future__ import annotations

from typing import Any

import msgspec

from walkcart.intent.loading import load_tables, to_tables
from walkcart.intent.model import Configuration
from walkcart.store.packing import BadValue, pack_value, unpack_value

CONFIGURATION_KEY = "walkcart/configuration"
MAX_CHANGES = 256
_COMPRESSION = 6
#: Bounds what a stored value may unpack to, in bytes.
MAX_UNPACKED_BYTES = 16 << 20


class DocumentError(ValueError):
    """Bytes that are no stored configuration."""


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    Args:
        id: chosen by the writer; unique.
        revision: that it gave.
        author: who made it.
        time: time of day of the writer, ISO 8601.
        touched: objects that it added, changed or removed, as ``kind name``.
    """

    id: str
    revision: int
    author: str
    time: str
    touched: tuple[str, ...]


class _Stored(msgspec.Struct, frozen=True):
    revision: int
    changes: tuple[Change, ...]
    tables: dict[str, Any]


class Document(msgspec.Struct, frozen=True):
    """A configuration with its revision.

    Args:
        revision: 1 for the first accepted change, then up by one each.
        changes: the last ones, oldest first.
        configuration: the objects.
        data: the stored bytes, to be passed on as they are.
    """

    revision: int
    changes: tuple[Change, ...]
    configuration: Configuration
    data: bytes


EMPTY_DOCUMENT = Document(0, (), Configuration(), b"")


def make_document(
    base: Document, configuration: Configuration, change: Change
) -> Document:
    """Return the document that follows `base` by `change`."""
    changes = (*base.changes, change)[-MAX_CHANGES:]
    stored = _Stored(change.revision, changes, to_tables(configuration))
    data = pack_value(stored, _COMPRESSION)
    return Document(change.revision, changes, configuration, data)


def read_document(data: bytes) -> Document:
    """Return the document in stored bytes.

    Raises:
        DocumentError: they are not one.
    """
    try:
        stored = unpack_value(data, _Stored, MAX_UNPACKED_BYTES)
    except BadValue as error:
        raise DocumentError(str(error)) from None
    loaded = load_tables(stored.tables)
    if loaded.faults:
        raise DocumentError("; ".join(str(fault) for fault in loaded.faults))
    return Document(stored.revision, stored.changes, loaded.configuration, data)
