"""Time as an interface, so that tests and long runs choose their own.

See Also:
    `walkcart.kernel.registry.Kernel`, which hands the clock to each service.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """What the program may ask of time."""

    def now(self) -> datetime:
        """Return the time of day, in UTC."""
        ...

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back; its zero means nothing."""
        ...

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`."""
        ...


class TrioClock:
    """The clock of the current trio run.

    Under `trio.testing.MockClock` the time of day follows the mocked time, so a
    run with the same seed sees the same dates.

    Args:
        epoch: time of day at the moment of building; the machine's when None.
    """

    def __init__(self, epoch: datetime | None = None) -> None:
        self._epoch = epoch or datetime.now(UTC)
        self._start = trio.current_time()

    def now(self) -> datetime:
        """Return the time of day, in UTC."""
        return self._epoch + timedelta(seconds=trio.current_time() - self._start)

    def monotonic(self) -> float:
        """Return trio's current time, in seconds."""
        return trio.current_time()

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`."""
        await trio.sleep(duration.total_seconds())
