"""The event log: numbered events, written as JSON lines.

See Also:
    `walkcart.kernel.events.Events`, the catalogue of events.
"""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from walkcart.kernel.clock import Clock
from walkcart.kernel.events import Event

#: Maximum number of lines of one event that are written in a second. Further ones are
#: only counted, so that a storm of failures doesn't take processor time from callers.
#: The next line of that event reports their number in `dropped_lines`.
MAX_LINES_PER_SECOND = 20


class _Window:
    """Counts the lines of one event in the current second."""

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self._unreported = 0

    def admit(self, second: int) -> bool:
        """Count a line of a second; return whether it may be written."""
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_SECOND:
            return True
        self._unreported += 1
        return False

    def reset_unreported(self) -> int:
        """Return the number of dropped lines that were not reported yet; reset it."""
        unreported, self._unreported = self._unreported, 0
        return unreported


class EventLog:
    """Writes numbered events, and counts all of them.

    Args:
        instance: name of the instance, written to each line.
        clock: source of time.
        stream: the stream to write to; standard error if None.
        level: lowest `logging` level that is written.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        stream: TextIO | None = None,
        level: int = logging.INFO,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._logger = logging.Logger("walkcart", level)
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(JsonFormatter())
        self._logger.addHandler(handler)
        self._windows: dict[int, _Window] = {}
        self.counts: dict[str, int] = {}

    def emit(self, event: Event, **fields: Any) -> None:
        """Count `event`, and write it with its fields as one JSON line.

        The line is dropped if the event's level is too low or if the event has had
        `MAX_LINES_PER_SECOND` lines in this second.
        """
        self.counts[event.name] = self.counts.get(event.name, 0) + 1
        if not self._logger.isEnabledFor(event.level):
            return
        window = self._windows.setdefault(event.number, _Window())
        if not window.admit(int(self._clock.monotonic())):
            return
        record = {
            "time": self._clock.now().isoformat(),
            "instance": self._instance,
            "number": event.number,
            "event": event.name,
            "level": logging.getLevelName(event.level),
            **fields,
        }
        if unreported := window.reset_unreported():
            record["dropped_lines"] = unreported
        self._logger.log(event.level, event.help, extra=record)
