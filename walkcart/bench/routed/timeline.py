"""A scheduler of callbacks, without a task for each of them."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

import trio


class Timeline:
    """Calls functions at set times on trio's clock, in the order of time."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._wakeup = trio.Event()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `time`; callbacks for one time run in the order added."""
        heapq.heappush(self._due, (time, next(self._numbers), callback))
        if self._due[0][2] is callback:
            self._wakeup.set()

    def call_after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `seconds` seconds from now."""
        self.call_at(trio.current_time() + seconds, callback)

    async def run(self) -> None:
        """Run the callbacks until cancelled."""
        while True:
            while self._due and self._due[0][0] <= trio.current_time():
                heapq.heappop(self._due)[2]()
            self._wakeup = trio.Event()
            with trio.move_on_at(self._due[0][0] if self._due else float("inf")):
                await self._wakeup.wait()
