"""Delays requests that arrive while the instance is still starting.

The load balancer uses all instances of a data centre when none is ready. So an instance
gets requests as soon as it listens, some ten milliseconds before it has read the routes
and the leaves. Such requests wait: if they were refused and sent again later, they
would miss their objective. If the store can't be reached, the wait has no foreseeable
end, so they are refused after a short time.

See Also:
    `walkcart.entry.routed.RoutedHandler`, which waits here first.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import trio

#: Longest wait of a request for the first configuration. From the start of listening it
#: takes 10 to 45 ms until the configuration is read, with a store that answers in 4 ms;
#: four times that covers a store that is slow or refuses a first call.
STARTUP_TIMEOUT = timedelta(milliseconds=200)


class StartupGate:
    """Delays requests until the data that they are served by is known.

    Args:
        is_known: returns whether all of it is known.
    """

    def __init__(self, is_known: Callable[[], bool]) -> None:
        self._is_known = is_known
        self._ready = trio.Event()

    def recheck(self) -> None:
        """Check whether all data is known now, and if so, wake the waiting requests."""
        if self._is_known():
            self._ready.set()

    async def wait(self) -> bool:
        """Wait until all data is known; return False if that takes too long."""
        if not self._is_known():
            with trio.move_on_after(STARTUP_TIMEOUT.total_seconds()):
                await self._ready.wait()
        return self._is_known()
