"""A sink for log lines that never blocks its writer.

Lines go to a file descriptor that is set to non-blocking. Lines that it doesn't accept
at once are buffered. When the buffer is full, whole lines are dropped and counted, and
the count is written as soon as there is room.

References:
    POSIX write(2) on a pipe with O_NONBLOCK.
"""

from __future__ import annotations

import os
from collections import deque

#: Maximum size of the buffer, in bytes: holds the lines of a few seconds at the maximum
#: rate of the event log.
BUFFER_LIMIT = 256 * 1024


class LogSink:
    """A stream for whole lines, which buffers what the descriptor doesn't accept.

    Args:
        descriptor: file descriptor of a file, pipe or terminal.
        limit: maximum size of the buffer, in bytes.
    """

    def __init__(self, descriptor: int, limit: int = BUFFER_LIMIT) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or buffer one or more whole lines; drop them if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > self._limit:
            self.dropped += 1
            self._unreported += 1
        else:
            self._enqueue(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end: nobody will read these lines.
                self._drop_all()
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()
        if self._unreported:
            unreported, self._unreported = self._unreported, 0
            self._enqueue(b'{"event": "log_lines_dropped", "count": %d}\n' % unreported)

    def _enqueue(self, data: bytes) -> None:
        self._pending.append(data)
        self._pending_bytes += len(data)

    def _drop_all(self) -> None:
        self.dropped += len(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
