"""Decodes bytes from outside the process; every failure is a `BadData`.

Decoders raise different errors for bytes that are malformed and for values that nest
too deeply. Whoever reads outside bytes has to survive all of them, so it decodes here
and handles one error.

Examples:
    >>> JsonDecoder(dict[str, int]).decode(b'{"a": 1}')
    {'a': 1}
    >>> JsonDecoder(list).decode(b"[" * 5000)
    Traceback (most recent call last):
        ...
    walkcart.kernel.decoding.BadData: the value nests too deeply
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from typing import Annotated, Any, Generic, TypeVar

import msgspec

T = TypeVar("T")

#: Whole numbers that every codec, clock and log can represent. JSON itself has no
#: limit, and encoders raise an error for longer ones.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
#: The same without negative ones.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class BadData(ValueError):
    """The bytes don't hold a value of the expected class; the text says why."""


class JsonDecoder(Generic[T]):
    """Decodes JSON.

    Args:
        kind: class of the decoded values.
    """

    def __init__(self, kind: type[T]) -> None:
        self._decode: Callable[[bytes], T] = msgspec.json.Decoder(kind).decode

    def decode(self, data: bytes) -> T:
        """Return the value in `data`.

        Raises:
            BadData: the bytes don't hold a value of that class.
        """
        return _decode(self._decode, data)


class MsgpackDecoder(Generic[T]):
    """Decodes MessagePack.

    Args:
        kind: class of the decoded values.
    """

    def __init__(self, kind: type[T]) -> None:
        self._decode: Callable[[bytes], T] = msgspec.msgpack.Decoder(kind).decode

    def decode(self, data: bytes) -> T:
        """Return the value in `data`.

        Raises:
            BadData: the bytes don't hold a value of that class.
        """
        return _decode(self._decode, data)


def decode_toml(text: str) -> dict[str, Any]:
    """Return the tables in a TOML text.

    Raises:
        BadData: the text isn't TOML.
    """
    try:
        return tomllib.loads(text)
    except ValueError as error:
        # Besides errors of syntax, numbers with too many digits.
        raise BadData(str(error)) from None
    except RecursionError:
        raise BadData("the value nests too deeply") from None


def _decode(decode: Callable[[bytes], T], data: bytes) -> T:
    try:
        return decode(data)
    except msgspec.MsgspecError as error:
        raise BadData(str(error)) from None
    except RecursionError:
        raise BadData("the value nests too deeply") from None
