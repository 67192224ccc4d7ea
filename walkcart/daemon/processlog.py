"""Logs when and why a process starts and ends.

See Also:
    ``docs/OPERATIONS.md``, "Why did a process end, or not start?".
"""

from __future__ import annotations

import os
import platform
import resource
import time
from datetime import UTC, datetime, timedelta
from traceback import format_exception
from typing import TextIO

from walkcart import __version__
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.taskerrors import DETAIL_LIMIT, TRACEBACK_LIMIT

#: Where the error output goes.
STDERR = 2


class SystemClock:
    """The clock of the system, which works without an event loop."""

    def now(self) -> datetime:
        """Return the time of day, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back."""
        return time.monotonic()

    async def sleep(self, duration: timedelta) -> None:
        """Not needed, since nothing waits while the event loop doesn't run."""
        raise NotImplementedError


class ProcessLog:
    """Logs the start and the end of a process, also outside of the event loop.

    Args:
        stream: the stream for log lines.
        instance: name of the instance, if it's known.
    """

    def __init__(self, stream: TextIO, instance: str = "") -> None:
        self.stream = stream
        self.events = EventLog(instance, SystemClock(), stream)

    def set_instance(self, name: str) -> None:
        """Name the instance, which isn't known before the settings are read."""
        self.events = EventLog(name, SystemClock(), self.stream)

    def log_start(self, settings_path: str | None) -> None:
        """Log that the process began, and its limits."""
        self.events.emit(
            Events.PROCESS_STARTED,
            pid=os.getpid(),
            version=__version__,
            python=platform.python_version(),
            settings=settings_path,
            max_descriptors=_find_limit(resource.RLIMIT_NOFILE),
            max_address_space=_find_limit(resource.RLIMIT_AS),
        )

    def log_end(self, reason: str, exit_code: int, serving: bool) -> None:
        """Log that the process ends as it was told to.

        Args:
            reason: the name of a signal.
            exit_code: exit code of the process.
            serving: whether the start was complete.
        """
        self.events.emit(
            Events.PROCESS_ENDED,
            pid=os.getpid(),
            reason=reason,
            exit_code=exit_code,
            serving=serving,
        )

    def log_error(self, error: BaseException, exit_code: int) -> None:
        """Log an error that escaped the event loop, with the end of its traceback.

        The interpreter may then write the traceback to the error output.
        """
        self.events.emit(
            Events.PROCESS_FAILED,
            pid=os.getpid(),
            reason="error",
            detail=repr(error)[:DETAIL_LIMIT],
            exit_code=exit_code,
            traceback="".join(format_exception(error))[-TRACEBACK_LIMIT:],
        )
        unblock_error_output()


def unblock_error_output() -> None:
    """Keep a process that ends from waiting for the reader of a full pipe."""
    try:
        os.set_blocking(STDERR, False)
    except OSError:
        # It is closed, so that nothing is written to it.
        return


def _find_limit(number: int) -> int | None:
    """Return a limit of the process; None if there is none or it isn't known."""
    try:
        limit, _ = resource.getrlimit(number)
    except OSError:
        return None
    return None if limit == resource.RLIM_INFINITY else limit
