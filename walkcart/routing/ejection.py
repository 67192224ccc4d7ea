"""Ejection of leaves that fail several times in a row, for a limited time."""

from __future__ import annotations

#: Consecutive failures after which a leaf is ejected.
MAX_FAILURES = 3
#: Duration of the first ejection and its upper bound, in seconds; it doubles each time.
FIRST_DURATION = 1.0
MAX_DURATION = 15.0
#: Share of a group's leaves that may be ejected at once. If more fail, the fault is
#: likely on our side or everywhere, and ejecting more only loses coverage.
MAX_EJECTED_SHARE = 0.3


class Ejection:
    """The ejection state of one leaf.

    Times are seconds of the kernel's monotonic clock.
    """

    __slots__ = ("_duration", "_failures", "until")

    def __init__(self) -> None:
        self._failures = 0
        self._duration = FIRST_DURATION
        self.until = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether the leaf is ejected at `now`."""
        return now < self.until

    def record_success(self) -> bool:
        """Record a reply; return whether the leaf had been ejected before."""
        returned = self.until > 0.0
        self._failures = 0
        self._duration = FIRST_DURATION
        self.until = 0.0
        return returned

    def record_failure(self, now: float, may_eject: bool) -> bool:
        """Record a failure; return whether that ejects the leaf.

        Args:
            now: current time, in seconds.
            may_eject: whether one more leaf of the group may be ejected.
        """
        self._failures += 1
        if self._failures < MAX_FAILURES or not may_eject or self.is_ejected(now):
            return False
        self.until = now + self._duration
        self._duration = min(MAX_DURATION, self._duration * 2)
        return True


def may_eject(leaves: int, ejected: int) -> bool:
    """Return whether a group of `leaves` may have one more ejected."""
    return ejected + 1 <= max(1, int(leaves * MAX_EJECTED_SHARE))
