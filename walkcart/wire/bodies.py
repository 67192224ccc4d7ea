"""Collects bodies of requests and replies within bounds on their size and cost."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

#: Largest number of pieces of one body. Parsing a piece takes time however short it is,
#: so a body of many short ones would cost far more time than its bytes.
MAX_PIECES = 32768
#: Number of pieces that are parsed before other tasks get their turn.
PIECES_PER_TURN = 256
#: Size up to which a body takes nothing of a budget, in bytes. So small requests are
#: served while long bodies have used up all memory; their number is limited by that of
#: connections.
SMALL_BODY = 16384
#: Memory of a machine whose size isn't known, in bytes.
DEFAULT_MEMORY = 300 << 20
#: Parts of the memory for the bodies of requests and replies: an eighth and a quarter.
#: What a parser holds, copies while a reply is put together, and unread bytes in the
#: kernel take about as much again.
REQUEST_DIVISOR, REPLY_DIVISOR = 8, 4
#: Part of the memory for what one message of another instance is unpacked to. Several
#: times as much is taken while it is decoded.
RELAY_DIVISOR = 16
#: Time after which a request may be sent again that found no memory for its body.
MEMORY_RETRY_DELAY = timedelta(seconds=1)
#: Size from which a body is sent apart from its head, in bytes: joining them copies it.
MIN_SEPARATE_BODY = 16384


def join_parts(head: bytes, body: bytes) -> list[bytes]:
    """Return the parts in which a message is sent.

    A short body goes out with its head. A long one isn't copied, so that requests with
    the same body, one to each of many leaves, share it.
    """
    return [head + body] if len(body) < MIN_SEPARATE_BODY else [head, body]


class BodyTooLong(Exception):
    """A body has too many bytes, or comes in too many pieces."""


class NoMemory(Exception):
    """The memory for bodies is used up by others."""


class MemoryBudget:
    """Limits the memory that all bodies of one kind take together.

    Args:
        limit: largest number of bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def try_take(self, size: int) -> bool:
        """Take `size` bytes; return False, and take none, if there aren't as many."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def give_back(self, size: int) -> None:
        """Give back `size` bytes."""
        self.used -= size


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How much of a machine's memory bodies may take.

    Args:
        total: memory of the machine, in bytes.
    """

    total: int = DEFAULT_MEMORY

    @property
    def requests(self) -> int:
        """Bytes for the bodies of callers' requests."""
        return self.total // REQUEST_DIVISOR

    @property
    def replies(self) -> int:
        """Bytes for the bodies of leaves' replies."""
        return self.total // REPLY_DIVISOR

    @property
    def relays(self) -> int:
        """Bytes that one message with relayed values is unpacked to at most."""
        return self.total // RELAY_DIVISOR


class MemoryShare:
    """The part of a budget that one body takes, for as long as this object lives.

    Whatever keeps the body keeps its share, so the memory is given back with the last
    of them, wherever the body went.

    Args:
        budget: the budget.
    """

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._size = 0

    def try_grow_to(self, size: int) -> bool:
        """Take what is missing to `size` bytes; return whether there was as much."""
        missing = size - self._size
        if missing > 0:
            if not self._budget.try_take(missing):
                return False
            self._size = size
        return True

    @property
    def size(self) -> int:
        """Number of bytes that it takes."""
        return self._size

    def release(self) -> None:
        """Give the memory back."""
        size, self._size = self._size, 0
        self._budget.give_back(size)

    def __del__(self) -> None:
        """Give the memory back."""
        self.release()


class BodyBuffer:
    """Collects the pieces of one body.

    Args:
        limit: largest size of the body, in bytes.
        budget: limits the memory of all bodies together; None sets no limit.
    """

    def __init__(self, limit: int, budget: MemoryBudget | None = None) -> None:
        self._limit = limit
        #: The body's part of the budget; None without one.
        self.share = None if budget is None else MemoryShare(budget)
        self._pieces = 0
        # Not a list of pieces: a short one takes many times its length in memory.
        self._data = bytearray()

    async def append(self, data: bytes, pieces: int = 0) -> None:
        """Add some data.

        Other tasks get their turn now and then, however many pieces one read brought.

        Args:
            data: the data, of one piece or several.
            pieces: number of pieces so far, with those of the data; 0 if it is one.

        Raises:
            BodyTooLong: the body is longer than allowed, or in too many pieces.
            NoMemory: the budget has no memory for it.
        """
        before, self._pieces = self._pieces, pieces or self._pieces + 1
        size = len(self._data) + len(data)
        if size > self._limit or self._pieces > MAX_PIECES:
            raise BodyTooLong
        if size > SMALL_BODY and self.share and not self.share.try_grow_to(size):
            raise NoMemory
        self._data += data
        if self._pieces // PIECES_PER_TURN > before // PIECES_PER_TURN:
            await trio.lowlevel.checkpoint()

    def record_head(self, size: int) -> None:
        """Record how much has come of the head, which takes of the same budget.

        Raises:
            NoMemory: the budget has no memory for it.
        """
        if size > SMALL_BODY and self.share and not self.share.try_grow_to(size):
            raise NoMemory

    def discard(self) -> None:
        """Keep nothing of the body, and give its memory back."""
        self._data = bytearray()
        if self.share:
            self.share.release()

    def finish(self) -> bytes:
        """Return the whole body, and keep none of it."""
        data = bytes(self._data)
        self._data = bytearray()
        return data
