"""Tracks exhausted shares of a rate limit, and passes them on between instances.

When a team is far above its limit and its requests come to many instances, each
instance would ask all accountants before it refuses a request. So requests to
accountants and their replies list the exhausted shares and when they may recover, and
fewer accountants have to be asked.

Examples:
    >>> full = ExhaustedShares()
    >>> full.note(1, 0.4, now=10.0)
    >>> full.find_open((0, 1, 2), now=10.1)
    [0, 2]
    >>> other = ExhaustedShares()
    >>> other.take(full.tell(now=10.1), now=50.0)
    >>> other.find_open((0, 1, 2), now=50.2), other.find_open((0, 1, 2), now=50.4)
    ([0, 2], [0, 1, 2])
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

#: Longest time for which an exhausted share isn't asked again, in seconds: a limit may
#: be raised, and a new accountant may take the share.
MAX_SKIP_TIME = 1.0
#: Maximum number of shares that are passed on.
MAX_SENT = 8

#: Exhausted shares, each with the seconds until it may recover.
ShareWaits = tuple[tuple[int, float], ...]


class ExhaustedShares:
    """The shares of one team's limit that were recently exhausted."""

    __slots__ = ("_open_at",)

    def __init__(self) -> None:
        self._open_at: dict[int, float] = {}

    def note(self, share: int, wait: float, now: float) -> None:
        """Record that a share is exhausted for `wait` seconds."""
        self._open_at[share] = now + min(wait, MAX_SKIP_TIME)

    def forget(self, share: int) -> None:
        """Record that a share is no longer exhausted."""
        self._open_at.pop(share, None)

    def find_open(self, shares: Iterable[int], now: float) -> list[int]:
        """Return those of `shares` that may grant requests."""
        return [share for share in shares if self._open_at.get(share, 0.0) <= now]

    def find_room(self, now: float) -> float:
        """Return the seconds until the first exhausted share may recover, 0 if none."""
        left = [at - now for at in self._open_at.values() if at > now]
        return min(left, default=0.0)

    def tell(self, now: float) -> ShareWaits:
        """Return the exhausted shares, to be sent to another instance."""
        found = [(share, at - now) for share, at in self._open_at.items() if at > now]
        return tuple(found[:MAX_SENT])

    def take(self, told: ShareWaits, now: float) -> None:
        """Record the exhausted shares that another instance sent."""
        for share, wait in told[:MAX_SENT]:
            if isfinite(wait) and wait > 0.0:
                self.note(share, wait, now)
