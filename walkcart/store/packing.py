"""Stored values: MessagePack by msgspec, compressed by zlib, bounded when read."""

from __future__ import annotations

import zlib
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class BadValue(ValueError):
    """Bytes that are no stored value of the kind."""


def pack_value(value: Any, level: int) -> bytes:
    """Return the stored bytes of `value`, compressed at a level of zlib."""
    return zlib.compress(msgspec.msgpack.encode(value), level)


def unpack_value(data: bytes, kind: type[T], limit: int) -> T:
    """Return the value in stored bytes.

    Args:
        data: as stored.
        kind: class of the value.
        limit: bytes that it may unpack to; keeps a small value from filling the
            memory.

    Raises:
        BadValue: cut short, too long, or of another kind.
    """
    try:
        unpacker = zlib.decompressobj()
        packed = unpacker.decompress(data, limit)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise BadValue("too long or cut short")
        return msgspec.msgpack.decode(packed, type=kind)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise BadValue(str(error)) from None
