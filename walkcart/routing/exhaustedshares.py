"""Tracks exhausted shares of a rate limit, and passes them on between instances.

When a team is far above its limit and its requests come to many instances, each
instance would ask all accountants before it refuses a request. So requests to
accountants and their replies list the exhausted shares and when they may recover, and
fewer accountants have to be asked.

Examples:
    >>> exhausted = ExhaustedShares()
    >>> exhausted.record(1, 0.4, now=10.0)
    >>> exhausted.find_available((0, 1, 2), now=10.1)
    [0, 2]
    >>> other = ExhaustedShares()
    >>> other.merge_waits(exhausted.list_waits(now=10.1), now=50.0)
    >>> [other.find_available((0, 1, 2), now=time) for time in (50.2, 50.4)]
    [[0, 2], [0, 1, 2]]
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

#: Longest time for which an exhausted share isn't asked again, in seconds: a limit may
#: be raised, and a new accountant may take the share.
MAX_SKIP_TIME = 1.0
#: Maximum number of exhausted shares that one message passes on.
MAX_SENT = 8

#: Exhausted shares, each with the seconds until it may recover.
ShareWaits = tuple[tuple[int, float], ...]


class ExhaustedShares:
    """The shares of one team's limit that were recently exhausted."""

    __slots__ = ("_recovers_at",)

    def __init__(self) -> None:
        self._recovers_at: dict[int, float] = {}

    def record(self, share: int, wait: float, now: float) -> None:
        """Record that a share is exhausted for `wait` seconds."""
        self._recovers_at[share] = now + min(wait, MAX_SKIP_TIME)

    def forget(self, share: int) -> None:
        """Record that a share is no longer exhausted."""
        self._recovers_at.pop(share, None)

    def find_available(self, shares: Iterable[int], now: float) -> list[int]:
        """Return the items of `shares` that aren't known to be exhausted."""
        return [share for share in shares if self._recovers_at.get(share, 0.0) <= now]

    def find_min_wait(self, now: float) -> float:
        """Return the seconds until the first exhausted share may recover, 0 if none."""
        left = [at - now for at in self._recovers_at.values() if at > now]
        return min(left, default=0.0)

    def list_waits(self, now: float) -> ShareWaits:
        """Return the exhausted shares with their waits, to send to another instance."""
        found = [
            (share, at - now) for share, at in self._recovers_at.items() if at > now
        ]
        return tuple(found[:MAX_SENT])

    def merge_waits(self, told: ShareWaits, now: float) -> None:
        """Record the exhausted shares that another instance sent."""
        for share, wait in told[:MAX_SENT]:
            if isfinite(wait) and wait > 0.0:
                self.record(share, wait, now)
