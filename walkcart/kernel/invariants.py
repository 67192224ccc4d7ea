"""Invariants that the program checks at run time.

A broken invariant is reported as a numbered event and a metric. In tests and in long
randomised runs it is fatal as well.
"""

from __future__ import annotations

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics


class InvariantBroken(AssertionError):
    """An invariant of the program doesn't hold; only raised if that is fatal."""


class Invariants:
    """Checks invariants and reports the broken ones.

    Args:
        events: logs each broken invariant.
        metrics: counts the broken invariants.
        fatal: whether a broken invariant raises `InvariantBroken`.
    """

    def __init__(self, events: EventLog, metrics: Metrics, fatal: bool) -> None:
        self._events = events
        self._metrics = metrics
        self._fatal = fatal
        self.broken = 0

    def check(self, holds: bool, promise: str, detail: str = "") -> bool:
        """Report an invariant as broken unless it holds.

        Args:
            holds: whether the invariant holds.
            promise: the invariant, in words.
            detail: the values that break it.

        Returns:
            `holds`.

        Raises:
            InvariantBroken: it doesn't hold, and that is fatal.
        """
        if holds:
            return True
        self.broken += 1
        self._events.emit(Events.INVARIANT_BROKEN, promise=promise, detail=detail)
        self._metrics.count("invariant.broken")
        if self._fatal:
            raise InvariantBroken(f"{promise}: {detail}")
        return False
