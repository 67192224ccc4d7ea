"""Logs unexpected errors in tasks that serve one message, request or connection.

An error in such a task must never end more than that task: the task logs it here and
ends, and the instance goes on. Tasks that all work depends on (copies of the store,
listeners) are not protected in this way, since an instance without them had better be
restarted.
"""

from __future__ import annotations

from traceback import format_exception

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events

#: Maximum length of the error, and of the end of its traceback, in a log line, in
#: characters.
DETAIL_LIMIT = 500
TRACEBACK_LIMIT = 2000


def log_task_error(events: EventLog, task: str, error: Exception) -> None:
    """Log an unexpected error that ended a task, with the end of its traceback.

    Args:
        events: the event log.
        task: what the task was doing, and for whom.
        error: the error that ended the task.
    """
    events.emit(
        Events.TASK_FAILED,
        task=task,
        detail=repr(error)[:DETAIL_LIMIT],
        traceback="".join(format_exception(error))[-TRACEBACK_LIMIT:],
    )
