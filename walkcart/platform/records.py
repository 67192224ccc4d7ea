"""Merges the records of several shards: 16 bytes each, in descending order."""

from __future__ import annotations

from collections.abc import Iterable

#: Length of one record in bytes; a shorter remainder of a body is ignored.
RECORD_SIZE = 16


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest `top` records of all bodies in descending order.

    Equal records aren't deduplicated.

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
