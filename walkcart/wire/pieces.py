"""Splits long messages between instances into pieces, and joins them again.

The transport reserves memory for a whole message once its length is stated, for each
connection. So the longest message that it accepts is short, and what is longer is sent
in pieces. Each piece states the id of its message, its number and how many there are.
Unfinished messages have a limit for all senders together.
"""

from __future__ import annotations

import secrets
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

from walkcart.wire.codec import MAX_ENVELOPE_BYTES, BadMessage

#: Longest message that the transport accepts, in bytes.
MAX_PIECE_BYTES = 64 << 10
#: First byte of a piece; no envelope begins with it.
PIECE_MARK = b"\xc7"
_ID_BYTES = 8
_HEAD = struct.Struct(f">c{_ID_BYTES}sHH")
_CONTENT_BYTES = MAX_PIECE_BYTES - _HEAD.size
#: Largest number of pieces of one message.
MAX_PIECES = -(-MAX_ENVELOPE_BYTES // _CONTENT_BYTES)
#: Limits of the messages that are unfinished at once: their number, and their bytes.
MAX_UNFINISHED = 64
MAX_UNFINISHED_BYTES = 2 * MAX_ENVELOPE_BYTES


def split_message(data: bytes) -> Iterator[bytes]:
    """Yield what is sent for a message: itself, or its pieces in order.

    Args:
        data: the message, of at most `MAX_ENVELOPE_BYTES`.
    """
    if len(data) <= MAX_PIECE_BYTES:
        yield data
        return
    id = secrets.token_bytes(_ID_BYTES)
    count = -(-len(data) // _CONTENT_BYTES)
    for number in range(count):
        start = number * _CONTENT_BYTES
        content = data[start : start + _CONTENT_BYTES]
        yield _HEAD.pack(PIECE_MARK, id, number, count) + content


@dataclass(slots=True)
class _Unfinished:
    """What has come of a message, and in how many pieces."""

    data: bytearray = field(default_factory=bytearray)
    pieces: int = 0


class PieceJoiner:
    """Joins the pieces of messages.

    Examples:
        >>> joiner = PieceJoiner()
        >>> joiner.add(b"short")
        b'short'
        >>> message = b"x" * 100_000
        >>> [joiner.add(piece) == message for piece in split_message(message)]
        [False, True]
    """

    def __init__(self) -> None:
        #: What has come of each unfinished message, the one that
        #: has waited longest for a piece first.
        self._unfinished: dict[bytes, _Unfinished] = {}
        #: Bytes that the unfinished messages take.
        self.unfinished_bytes = 0

    @property
    def unfinished(self) -> int:
        """Number of unfinished messages."""
        return len(self._unfinished)

    def add(self, data: bytes) -> bytes | None:
        """Add what was received; return a message that is complete, or None.

        While too much is unfinished, those that have waited longest are
        dropped.

        Raises:
            BadMessage: `data` is a piece that doesn't continue a message.
        """
        if data[:1] != PIECE_MARK:
            return data
        id, number, count = _read_head(data)
        message = self._unfinished.pop(id, None) or _Unfinished()
        self.unfinished_bytes -= len(message.data)
        if number != message.pieces:
            raise BadMessage(f"piece {number} of {count} comes after {message.pieces}")
        message.data += data[_HEAD.size :]
        message.pieces += 1
        if message.pieces == count:
            return bytes(message.data)
        self._unfinished[id] = message
        self.unfinished_bytes += len(message.data)
        self._drop_oldest()
        return None

    def _drop_oldest(self) -> None:
        while (
            len(self._unfinished) > MAX_UNFINISHED
            or self.unfinished_bytes > MAX_UNFINISHED_BYTES
        ):
            oldest = self._unfinished.pop(next(iter(self._unfinished)))
            self.unfinished_bytes -= len(oldest.data)


def _read_head(data: bytes) -> tuple[bytes, int, int]:
    """Return the id of a piece's message, the piece's number and their count."""
    try:
        _, id, number, count = _HEAD.unpack_from(data)
    except struct.error:
        raise BadMessage("a piece is cut short") from None
    if not number < count <= MAX_PIECES:
        raise BadMessage(f"piece {number} of {count}, where {MAX_PIECES} are allowed")
    return id, number, count
