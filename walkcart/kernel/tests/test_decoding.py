"""Checks that bytes from outside the process are decoded or refused, and no more."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.kernel.decoding import (
    BadData,
    Count,
    Int64,
    JsonDecoder,
    MsgpackDecoder,
    decode_toml,
)

DEPTH = 100_000
DEEP_JSON = b'{"name": "a", "other": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"
DEEP_MSGPACK = b"\x82\xa4name\xa1a\xa5other" + b"\x91" * DEPTH + b"\xc0"


class Record(msgspec.Struct):
    name: str
    size: Count = 0
    shift: Int64 = 0
    share: float = 0.0
    rows: list[int] = []


KINDS = (Record, list, dict, tuple[Record, ...], Any, bytes, dict[str, msgspec.Raw])


@given(st.binary())
@example(DEEP_JSON)
@example(b'{"name": "\xff"}')
@example(b'{"name": "\\ud800"}')
@example(b'{"name": "a", "share": 1e400}')
@example(b'{"name": "a", "size": ' + b"9" * 5000 + b"}")
@example(b"NaN")
def test_json_is_decoded_or_refused(data):
    decode_or_refuse([JsonDecoder(kind) for kind in KINDS], data)


@given(st.binary())
@example(DEEP_MSGPACK)
@example(b"\xdd\xff\xff\xff\xff")
@example(b"\xdf\xff\xff\xff\xff")
@example(b"\xc6\xff\xff\xff\xff")
@example(b"\x81\xa4name\xa1\xff")
@example(b"\xd7\xff\xff\xff\xff\xff\xff\xff\xff\xff")
def test_msgpack_is_decoded_or_refused(data):
    decode_or_refuse([MsgpackDecoder(kind) for kind in KINDS], data)


def decode_or_refuse(decoders, data):
    for decoder in decoders:
        try:
            decoder.decode(data)
        except BadData as error:
            assert str(error)


def test_deeply_nested_values_are_refused():
    for decoder, data in [
        (JsonDecoder(Record), DEEP_JSON),
        (MsgpackDecoder(Record), DEEP_MSGPACK),
    ]:
        with pytest.raises(BadData, match="nests too deeply"):
            decoder.decode(data)


@given(st.integers())
@example(2**63)
@example(-(2**63) - 1)
@example(10**300)
def test_whole_numbers_are_limited_to_what_can_be_encoded(number):
    data = b'{"name": "a", "size": %d, "shift": %d}' % (abs(number), number)
    try:
        found = JsonDecoder(Record).decode(data)
    except BadData:
        assert abs(number) > 2**63 - 1
        return
    assert (found.size, found.shift) == (abs(number), number)
    assert MsgpackDecoder(Record).decode(msgspec.msgpack.encode(found)) == found


@given(st.text())
@example("a = " + "[" * 5000)
@example("a = " + "9" * 5000)
@example("a = \x00")
def test_toml_is_decoded_or_refused(text):
    try:
        assert isinstance(decode_toml(text), dict)
    except BadData as error:
        assert str(error)
