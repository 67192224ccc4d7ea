"""The merge of the shards' records: 16 bytes each, the greatest first."""

from __future__ import annotations

from collections.abc import Iterable

#: Bytes of one record; a shorter rest of a body is none.
RECORD_SIZE = 16


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest `top` records of all bodies, falling; equal ones all count.

    Examples:
        >>> merge_records([b"a" * 16 + b"c" * 16 + b"rest", b"b" * 16], 2) == (
        ...     b"c" * 16 + b"b" * 16
        ... )
        True
    """
    records = [
        body[start : start + RECORD_SIZE]
        for body in bodies
        for start in range(0, len(body) - RECORD_SIZE + 1, RECORD_SIZE)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top])
