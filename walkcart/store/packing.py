"""Encoding of stored values: MessagePack compressed by zlib, with a size limit."""

from __future__ import annotations

import zlib
from functools import cache
from typing import Any, TypeVar

import msgspec

from walkcart.kernel.decoding import BadData, MsgpackDecoder

T = TypeVar("T")


class BadValue(ValueError):
    """The bytes are not a stored value of the expected class."""


def pack_value(value: Any, level: int) -> bytes:
    """Return the bytes to store for `value`, compressed at zlib's `level`."""
    return zlib.compress(msgspec.msgpack.encode(value), level)


def unpack_value(data: bytes, kind: type[T], limit: int) -> T:
    """Return the value that stored bytes hold.

    Args:
        data: the stored bytes.
        kind: class of the value.
        limit: maximum size after decompression, in bytes, so that a small value can't
            fill the memory.

    Raises:
        BadValue: the bytes are truncated, too long, or of another class.
    """
    try:
        unpacker = zlib.decompressobj()
        packed = unpacker.decompress(data, limit)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise BadValue("too long or cut short")
        return _find_decoder(kind).decode(packed)
    except (zlib.error, BadData) as error:
        raise BadValue(str(error)) from None


@cache
def _find_decoder(kind: type[T]) -> MsgpackDecoder[T]:
    return MsgpackDecoder(kind)
