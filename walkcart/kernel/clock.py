"""Time as an interface, so that tests and long runs choose their own.

See Also:
    `walkcart.kernel.registry.Kernel`, which hands the clock to each service.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

#: Longest time for which the event loop waits at once, in seconds. A wait that was
#: begun before the machine was suspended goes on after it for what it then had left;
#: what became due meanwhile is seen after this at the latest. The loops of an instance
#: that does nothing wake it more often anyway.
MAX_WAIT = 0.5


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


def read_boot_time() -> float:
    """Return the seconds since the machine started, those suspended included.

    Where the system has no such clock, those aren't.
    """
    return time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


class BootClock(trio.abc.Clock):
    """Trio's clock for programs: it goes on while the machine is suspended.

    The clock that trio takes by itself stands still then. Everything that an instance
    knows would look as new after some seconds' suspension as before: copies of the
    store, questions that waited in its sockets, leases, deadlines of callers that left.

    Args:
        read: returns seconds that never step back.
    """

    def __init__(self, read: Callable[[], float] = read_boot_time) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing: it runs already."""

    def current_time(self) -> float:
        """Return the present, in seconds."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return for how long to wait at once for `deadline`, in seconds."""
        return min(MAX_WAIT, deadline - self._read())


class TrioClock:
    """The clock of the current trio run, which is `BootClock` in the programs.

    The time of day is that of the start and what this clock shows since: where the
    machine's time of day jumps, nothing here does.

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
