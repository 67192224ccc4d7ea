"""Leaves that fail in a row are left out for a while, then tried again."""

from __future__ import annotations

FAILURES = 3
FIRST_TIME = 1.0
LONGEST_TIME = 15.0
#: Share of a group's leaves that may be ejected at once; past that the fault is
#: likely on our side or everywhere, and ejecting more only loses coverage.
GROUP_SHARE = 0.3


class Ejection:
    """Whether one leaf is ejected.

    Times are seconds of the kernel's monotonic clock.
    """

    __slots__ = ("_failures", "_time", "until")

    def __init__(self) -> None:
        self._failures = 0
        self._time = FIRST_TIME
        self.until = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether the leaf is left out at `now`."""
        return now < self.until

    def record_success(self) -> bool:
        """Note a reply; return whether the leaf had been ejected before."""
        returned = self.until > 0.0
        self._failures = 0
        self._time = FIRST_TIME
        self.until = 0.0
        return returned

    def record_failure(self, now: float, may_eject: bool) -> bool:
        """Note a failure; return whether that ejects the leaf.

        Args:
            now: the present.
            may_eject: whether the group may lose one more leaf.
        """
        self._failures += 1
        if self._failures < FAILURES or not may_eject or self.is_ejected(now):
            return False
        self.until = now + self._time
        self._time = min(LONGEST_TIME, self._time * 2)
        return True


def may_eject(leaves: int, ejected: int) -> bool:
    """Return whether a group of `leaves` may have one more ejected."""
    return ejected + 1 <= max(1, int(leaves * GROUP_SHARE))
