"""Collects bodies of requests and replies within bounds on their size and cost."""

from __future__ import annotations

import trio

#: Largest number of pieces of one body. Parsing a piece takes time however short it is,
#: so a body of many short ones would cost far more time than its bytes.
MAX_PIECES = 32768
#: Number of pieces that are parsed before other tasks get their turn.
PIECES_PER_TURN = 256
#: Size from which a body is sent apart from its head, in bytes: joining them copies it.
MIN_SEPARATE_BODY = 16384


def join_parts(head: bytes, body: bytes) -> list[bytes]:
    """Return the parts in which a message is sent.

    A short body goes out with its head. A long one isn't copied, so that requests with
    the same body, one to each of many leaves, share it.
    """
    return [head + body] if len(body) < MIN_SEPARATE_BODY else [head, body]


class BodyBuffer:
    """Collects the pieces of one body.

    Args:
        limit: largest size of the body, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._pieces = 0
        # Not a list of pieces: a short one takes many times its length in memory.
        self._data = bytearray()

    async def append(self, piece: bytes) -> bool:
        """Add a piece; return False if the body is too long or has too many pieces.

        Other tasks get their turn now and then, however many pieces one read brought.
        """
        self._pieces += 1
        if len(self._data) + len(piece) > self._limit or self._pieces > MAX_PIECES:
            return False
        self._data += piece
        if self._pieces % PIECES_PER_TURN == 0:
            await trio.lowlevel.checkpoint()
        return True

    def finish(self) -> bytes:
        """Return the whole body, and keep none of it."""
        data = bytes(self._data)
        self._data = bytearray()
        return data
