"""Invariants that the program checks on itself, always.

A broken invariant is a numbered event and a metric; in tests and in long
randomised runs it is fatal as well.
"""

from __future__ import annotations

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics


class InvariantBroken(AssertionError):
    """A promise of the program doesn't hold; raised only when fatal."""


class Invariants:
    """Checks promises and reports the broken ones.

    Args:
        events: where a broken one is logged.
        metrics: where a broken one is counted.
        fatal: whether a broken one raises `InvariantBroken`.
    """

    def __init__(self, events: EventLog, metrics: Metrics, fatal: bool) -> None:
        self._events = events
        self._metrics = metrics
        self._fatal = fatal
        self.broken = 0

    def check(self, holds: bool, promise: str, detail: str = "") -> bool:
        """Report `promise` as broken unless it `holds`; return `holds`."""
        if holds:
            return True
        self.broken += 1
        self._events.emit(Events.INVARIANT_BROKEN, promise=promise, detail=detail)
        self._metrics.count("invariant.broken")
        if self._fatal:
            raise InvariantBroken(f"{promise}: {detail}")
        return False
