"""Which shares of a rate limit had no room, told from one instance to the next.

The load this answers: a team far above its limit, whose requests come to many
instances. Each would ask all accountants before it refuses one. So asks and answers
tell which shares had no room and until when, and fewer have to be asked.

Examples:
    >>> full = FullShares()
    >>> full.note(1, 0.4, now=10.0)
    >>> full.find_open((0, 1, 2), now=10.1)
    [0, 2]
    >>> other = FullShares()
    >>> other.take(full.tell(now=10.1), now=50.0)
    >>> other.find_open((0, 1, 2), now=50.2), other.find_open((0, 1, 2), now=50.4)
    ([0, 2], [0, 1, 2])
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

#: Longest time for which a share that had no room isn't asked again, in seconds: a
#: limit may be raised, and another accountant may start anew.
LONGEST_SKIP = 1.0
#: What is told at the most.
MOST_TOLD = 8

#: Shares and the seconds until they may have room.
Told = tuple[tuple[int, float], ...]


class FullShares:
    """The shares of one team's limit that had no room of late."""

    __slots__ = ("_room_at",)

    def __init__(self) -> None:
        self._room_at: dict[int, float] = {}

    def note(self, share: int, wait: float, now: float) -> None:
        """Note that a share has no room for some seconds."""
        self._room_at[share] = now + min(wait, LONGEST_SKIP)

    def forget(self, share: int) -> None:
        """Note that a share had room."""
        self._room_at.pop(share, None)

    def find_open(self, shares: Iterable[int], now: float) -> list[int]:
        """Return those shares that may have room."""
        return [share for share in shares if self._room_at.get(share, 0.0) <= now]

    def find_room(self, now: float) -> float:
        """Return the seconds until a share that was full may have room."""
        left = [at - now for at in self._room_at.values() if at > now]
        return min(left, default=0.0)

    def tell(self, now: float) -> Told:
        """Return what is known, for another instance."""
        found = [(share, at - now) for share, at in self._room_at.items() if at > now]
        return tuple(found[:MOST_TOLD])

    def take(self, told: Told, now: float) -> None:
        """Take what another instance told."""
        for share, wait in told[:MOST_TOLD]:
            if isfinite(wait) and wait > 0.0:
                self.note(share, wait, now)
