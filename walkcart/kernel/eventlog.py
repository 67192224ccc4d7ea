"""The event log: numbered events as JSON lines.

See Also:
    `walkcart.kernel.events.Events`, the catalogue.
"""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from walkcart.kernel.clock import Clock
from walkcart.kernel.events import Event

#: Lines of one event that are written in one second; the rest are only counted,
#: so that a storm of failures doesn't cost the callers their processor time.
LINES_PER_SECOND = 20


class EventLog:
    """Writes numbered events, and counts every one of them.

    Args:
        instance: name of the instance, written in each line.
        clock: source of the lines' time.
        stream: where lines go; standard error when None.
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
        self._window: dict[int, tuple[int, int]] = {}
        self.counts: dict[str, int] = {}

    def emit(self, event: Event, **fields: Any) -> None:
        """Write `event` with its fields as one JSON line."""
        self.counts[event.name] = self.counts.get(event.name, 0) + 1
        if not self._logger.isEnabledFor(event.level):
            return
        if not self._admit(event):
            return
        record = {
            "time": self._clock.now().isoformat(),
            "instance": self._instance,
            "number": event.number,
            "event": event.name,
            "level": logging.getLevelName(event.level),
            **fields,
        }
        self._logger.log(event.level, event.help, extra=record)

    def _admit(self, event: Event) -> bool:
        second = int(self._clock.monotonic())
        last, lines = self._window.get(event.number, (second, 0))
        if last != second:
            lines = 0
        self._window[event.number] = (second, lines + 1)
        return lines < LINES_PER_SECOND
