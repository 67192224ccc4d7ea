"""Errors that nobody expected, in a task that serves one piece of work.

One message, request or connection must never end more than itself: its task notes the
error here and ends, and the instance goes on. What all work needs (the store's copies,
the listeners) isn't held so: without it the instance had better start anew.
"""

from __future__ import annotations

from traceback import format_exception

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events

#: Longest error and end of its traceback that a line holds, in characters.
DETAIL_LIMIT = 500
TRACEBACK_LIMIT = 2000


def log_task_error(events: EventLog, task: str, error: Exception) -> None:
    """Log an error that ended one piece of work, with where it was raised.

    Args:
        events: the log, which counts them too.
        task: what was being done, and for whom.
        error: that ended it.
    """
    events.emit(
        Events.TASK_FAILED,
        task=task,
        detail=repr(error)[:DETAIL_LIMIT],
        traceback="".join(format_exception(error))[-TRACEBACK_LIMIT:],
    )
