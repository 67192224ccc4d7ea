"""Passes on what libraries log, such as the event loop when descriptors are scarce.

Without a handler, Python's logging writes such records to standard error with their
tracebacks, ten a second for each listener that can't accept a connection.

See Also:
    `walkcart.kernel.eventlog.EventLog`, which bounds the lines of an event.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events

#: Maximum length of a record's text in a log line, in characters.
DETAIL_LIMIT = 500


class _EventHandler(logging.Handler):
    """Emits an event for each record; libraries may log from threads of their own."""

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events = events
        self._token = trio.lowlevel.current_trio_token()

    def emit(self, record: logging.LogRecord) -> None:
        """Emit the event in the event loop."""
        detail = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            detail = f"{detail}: {record.exc_info[1]!r}"
        try:
            self._token.run_sync_soon(self._report, record.name, detail)
        except trio.RunFinishedError:
            # The event loop has ended; nobody reads the event log any longer.
            return

    def _report(self, library: str, detail: str) -> None:
        self._events.emit(
            Events.LIBRARY_WARNING, library=library, detail=detail[:DETAIL_LIMIT]
        )


@contextmanager
def forward_library_logs(events: EventLog) -> Iterator[None]:
    """While the context is open, emit events for what libraries log."""
    handler = _EventHandler(events)
    root = logging.getLogger()
    root.addHandler(handler)
    try:
        yield
    finally:
        root.removeHandler(handler)
