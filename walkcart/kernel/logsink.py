"""A sink for log lines that never blocks its writer.

Lines go to a file descriptor that is set to non-blocking. What it doesn't take at once
waits in a bounded buffer; past the bound whole lines are dropped, counted, and the
count is written once there is room.

References:
    POSIX write(2) on a pipe with O_NONBLOCK.
"""

from __future__ import annotations

import os
from collections import deque

#: Bytes that wait at the most: some seconds of lines at the event log's own bound.
BUFFER_LIMIT = 256 * 1024


class LogSink:
    """Takes whole lines and writes as much as the descriptor takes.

    Args:
        descriptor: of a file, pipe or terminal.
        limit: bytes that wait at the most.
    """

    def __init__(self, descriptor: int, limit: int = BUFFER_LIMIT) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._untold = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one or more whole lines."""
        data = text.encode("utf-8", "replace")
        if self._size + len(data) > self._limit:
            self.dropped += 1
            self._untold += 1
        else:
            self._put(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: nobody will ever read these lines.
                self._drop_all()
                return
            self._size -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
        if self._untold:
            untold, self._untold = self._untold, 0
            self._put(b'{"event": "log_lines_dropped", "count": %d}\n' % untold)

    def _put(self, data: bytes) -> None:
        self._waiting.append(data)
        self._size += len(data)

    def _drop_all(self) -> None:
        self.dropped += len(self._waiting)
        self._waiting.clear()
        self._size = 0
