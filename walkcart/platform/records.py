"""Merges the records of several shards: 16 bytes each, in descending order."""

from __future__ import annotations

from collections.abc import Iterable

#: Length of one record in bytes; a shorter remainder of a body is ignored.
RECORD_SIZE = 16
#: Number of records that are held at once. As an object of its own, a record takes
#: several times its length.
MAX_RECORDS = 65536
#: Number of bytes of a body that are split into records at once.
PIECE_SIZE = RECORD_SIZE * MAX_RECORDS


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest `top` records of all bodies in descending order.

    Equal records aren't deduplicated.

    Examples:
        >>> merge_records([b"a" * 16 + b"c" * 16 + b"rest", b"b" * 16], 2) == (
        ...     b"c" * 16 + b"b" * 16
        ... )
        True
    """
    records: list[bytes] = []
    # Records up to this one can't be among the greatest any more.
    least = b""
    for body in bodies:
        end = len(body) - RECORD_SIZE + 1
        for first in range(0, end, PIECE_SIZE):
            starts = range(first, min(first + PIECE_SIZE, end), RECORD_SIZE)
            piece = [body[start : start + RECORD_SIZE] for start in starts]
            records += [item for item in piece if item > least] if least else piece
            if len(records) >= max(MAX_RECORDS, 2 * top):
                records.sort(reverse=True)
                del records[top:]
                least = records[-1] if top else b""
    records.sort(reverse=True)
    return b"".join(records[:top])
