"""Stops the requests of a question whose caller has left.

The end of a question is noticed by the event loop. While the processor is busy, the
tasks that send may run before it.
"""

from __future__ import annotations

from walkcart.fanout.delegationtools import receive_pending_messages
from walkcart.kernel.clock import Clock

#: Seconds since the last look after which the event loop gets a few turns before a
#: request is sent.
MAX_UNCHECKED_TIME = 0.1


class CallerPresence:
    """Whether the caller of a question is still there.

    Args:
        clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._checked_at = clock.monotonic()
        self._ended = False

    def end(self) -> None:
        """Record that the question has ended."""
        self._ended = True

    async def is_wanted(self) -> bool:
        """Return whether the question goes on; may wait for turns of the event loop."""
        if self._clock.monotonic() - self._checked_at >= MAX_UNCHECKED_TIME:
            await receive_pending_messages()
            self._checked_at = self._clock.monotonic()
        return not self._ended
