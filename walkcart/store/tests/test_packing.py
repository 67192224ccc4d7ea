"""Stored values that can't be unpacked are refused."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.store.packing import BadValue, pack_value, unpack_value

LIMIT = 1 << 20
DEEP = b"\x91" * 5000 + b"\xc0"


class Record(msgspec.Struct):
    name: str
    rows: list[int] = []


def test_packed_value_comes_back_as_it_was():
    record = Record("a", [1, 2, 3])
    assert unpack_value(pack_value(record, 1), Record, LIMIT) == record


@given(st.binary(), st.booleans())
@example(DEEP, True)
@example(b"\xdd\xff\xff\xff\xff", True)
def test_arbitrary_bytes_are_unpacked_or_refused(data, packed):
    data = zlib.compress(data) if packed else data
    for kind in (Record, list, dict):
        try:
            unpack_value(data, kind, LIMIT)
        except BadValue as error:
            assert str(error)


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(DEEP),
        zlib.compress(b"\x81\xa5other" + DEEP),
        zlib.compress(b"\xc4" * (LIMIT + 1)),
        zlib.compress(b"\x00" * (200 << 20), 9),
        zlib.compress(b"\x80")[:-1],
        b"",
    ],
    ids=["deep", "deep field", "too long", "far too long", "cut off", "empty"],
)
def test_unusable_bytes_are_refused(data):
    for kind in (Record, list):
        with pytest.raises(BadValue):
            unpack_value(data, kind, LIMIT)
