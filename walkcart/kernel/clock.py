"""The clock as an interface, so that tests and simulations can replace it.

See Also:
    `walkcart.kernel.registry.Kernel`, the registry of the services that use it.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

#: Maximum time that the event loop sleeps at once, in seconds. A sleep that is
#: interrupted by a suspension of the machine continues after it for its remaining time,
#: so deadlines that passed meanwhile are noticed after this time at the latest. Even in
#: an idle instance its loops wake up more often than this.
MAX_WAIT = 0.5


class Clock(Protocol):
    """A source of time."""

    def now(self) -> datetime:
        """Return the time of day, in UTC."""
        ...

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back; its zero is arbitrary."""
        ...

    async def sleep(self, duration: timedelta) -> None:
        """Wait for `duration`."""
        ...


def read_boot_time() -> float:
    """Return the seconds since the machine was started, including suspended time.

    On a system without such a clock suspended time isn't included.
    """
    return time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


class BootClock(trio.abc.Clock):
    """Trio clock of the programs, which advances while the machine is suspended.

    Trio's default clock stops during a suspension. After one, everything that the
    instance holds would look as fresh as before: copies of the store, questions that
    waited in its sockets, leases, deadlines of callers that are gone.

    Args:
        read: returns seconds on a clock that never steps back.
    """

    def __init__(self, read: Callable[[], float] = read_boot_time) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing, since the clock already runs."""

    def current_time(self) -> float:
        """Return the current time, in seconds."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long the event loop may sleep for `deadline`, in seconds."""
        return min(MAX_WAIT, deadline - self._read())


class TrioClock:
    """The clock of the current trio run, which is `BootClock` in the programs.

    The time of day is that at the start plus the time that this clock has advanced
    since, so a jump of the machine's time of day has no effect.

    Under `trio.testing.MockClock` the time of day follows the mocked time, so runs with
    the same seed see the same dates.

    Args:
        epoch: time of day at the creation; the machine's time of day if None.
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
