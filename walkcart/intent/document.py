"""The stored form of a configuration: one value under one key.

A single value allows a change to be accepted atomically by one compare-and-swap. The
document keeps the ids of the last changes, so that a writer whose reply was lost can
find out whether its change took effect, even if other changes followed.
"""

from __future__ import annotations

from typing import Any

import msgspec

from walkcart.intent.loading import load_tables, to_tables
from walkcart.intent.model import Configuration
from walkcart.intent.validation import validate_configuration
from walkcart.store.packing import BadValue, pack_value, unpack_value

CONFIGURATION_KEY = "walkcart/configuration"
#: Changes that a document remembers.
MAX_CHANGES = 256
#: Compression level of zlib.
_COMPRESSION = 6
#: Maximum size of a stored value after decompression, in bytes.
MAX_UNPACKED_BYTES = 16 << 20


class DocumentError(ValueError):
    """The bytes aren't a stored configuration."""


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    Args:
        id: unique id, chosen by the writer.
        revision: revision that the change created.
        author: person who made the change.
        time: the writer's wall-clock time, ISO 8601.
        touched: objects that were added, changed or removed, as ``kind name``.
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
        revision: 1 for the first accepted change, one more for each later one.
        changes: the last changes, oldest first.
        configuration: the objects.
        data: the stored bytes, forwarded to peers unchanged.
    """

    revision: int
    changes: tuple[Change, ...]
    configuration: Configuration
    data: bytes


EMPTY_DOCUMENT = Document(0, (), Configuration(), b"")


def make_document(
    base: Document, configuration: Configuration, change: Change
) -> Document:
    """Return the document that results from applying `change` to `base`."""
    changes = (*base.changes, change)[-MAX_CHANGES:]
    stored = _Stored(change.revision, changes, to_tables(configuration))
    data = pack_value(stored, _COMPRESSION)
    return Document(change.revision, changes, configuration, data)


def read_document(data: bytes) -> Document:
    """Decode a stored document.

    Raises:
        DocumentError: `data` isn't a stored configuration.
    """
    try:
        stored = unpack_value(data, _Stored, MAX_UNPACKED_BYTES)
    except BadValue as error:
        raise DocumentError(str(error)) from None
    loaded = load_tables(stored.tables)
    if loaded.faults:
        raise DocumentError("; ".join(str(fault) for fault in loaded.faults))
    report = validate_configuration(loaded.configuration)
    if report.faults:
        raise DocumentError("; ".join(str(fault) for fault in report.faults))
    return Document(stored.revision, stored.changes, loaded.configuration, data)
