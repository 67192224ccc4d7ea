"""Requests that come while the instance is still starting.

The balancer uses all instances of a place when none is ready, so an instance gets
requests as soon as it listens, some ten milliseconds before it has read what is to be
done with them. Those wait for that moment: told to come back they would miss their
objective. When the store can't be reached nobody knows how long it takes, and they are
refused soon.

See Also:
    `walkcart.entry.routed.RoutedHandler`, which asks here first.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import trio

#: How long a request waits for the first configuration. From the start of listening to
#: the configuration take 10 to 45 ms where the store answers in 4 ms; four times that
#: covers a store that is slow or refuses a first call.
START_PATIENCE = timedelta(milliseconds=200)


class StartupGate:
    """Holds requests until what serves them is known.

    Args:
        is_known: returns whether all is known that requests need.
    """

    def __init__(self, is_known: Callable[[], bool]) -> None:
        self._is_known = is_known
        self._changed = trio.Event()

    def recheck(self) -> None:
        """Look again whether all is known."""
        if self._is_known():
            self._changed.set()

    async def wait(self) -> bool:
        """Wait until all is known; return False when that takes too long."""
        if not self._is_known():
            with trio.move_on_after(START_PATIENCE.total_seconds()):
                await self._changed.wait()
        return self._is_known()
