"""Things that happen at set times, without a task for each."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

import trio


class Timeline:
    """Calls functions at their times, in order, on trio's clock."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._wakeup = trio.Event()

    def call_at(self, time: float, act: Callable[[], None]) -> None:
        """Call `act` at a time; what was added first goes first among equals."""
        heapq.heappush(self._due, (time, next(self._numbers), act))
        if self._due[0][2] is act:
            self._wakeup.set()

    def call_after(self, seconds: float, act: Callable[[], None]) -> None:
        """Call `act` some seconds from now."""
        self.call_at(trio.current_time() + seconds, act)

    async def run(self) -> None:
        """Act until cancelled."""
        while True:
            while self._due and self._due[0][0] <= trio.current_time():
                heapq.heappop(self._due)[2]()
            self._wakeup = trio.Event()
            with trio.move_on_at(self._due[0][0] if self._due else float("inf")):
                await self._wakeup.wait()
