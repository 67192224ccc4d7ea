"""Listens on addresses that may not be available yet.

The previous process of an instance may still be ending, a port may be in use by another
program, and the machine's address may come up late. None of these is a reason to end,
and neither is any other error: a process that ended would be started again, and fail
again, without a chance to serve what it can.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events

T = TypeVar("T")

#: Delay of the first retry, which doubles with each further one.
MIN_DELAY = timedelta(seconds=0.1)
#: Longest delay for an address that the instance needs to serve: short against the
#: grace time of a predecessor.
MAX_DELAY = timedelta(seconds=0.5)
#: Longest delay for an address that it doesn't need.
MAX_OPTIONAL_DELAY = timedelta(seconds=10)
#: Bounds of the time between two log lines about one address, which doubles.
MIN_LOG_INTERVAL = timedelta(seconds=1)
MAX_LOG_INTERVAL = timedelta(seconds=60)

Listener = trio.abc.Listener[trio.abc.Stream]


@dataclass(frozen=True, slots=True)
class ListenTools:
    """What retries need.

    Args:
        clock: source of time.
        events: log for addresses that are busy, and that are listened on.
    """

    clock: Clock
    events: EventLog


@dataclass(frozen=True, slots=True)
class Place:
    """Where to listen.

    Args:
        purpose: who connects there.
        address: the address or addresses, for log lines.
        required: whether the instance can't serve without it. If not, it's tried again
            less often.
    """

    purpose: str
    address: str
    required: bool = True


async def retry_listen(
    listen: Callable[[], Awaitable[T]], place: Place, tools: ListenTools
) -> T:
    """Listen, and try again after each error until it succeeds."""
    clock = tools.clock
    start = clock.monotonic()
    delay, log_interval, log_at = MIN_DELAY, MIN_LOG_INTERVAL, start
    while True:
        try:
            return await listen()
        except OSError as error:
            if clock.monotonic() >= log_at:
                _log_busy(place, tools, error, clock.monotonic() - start)
                log_at = clock.monotonic() + log_interval.total_seconds()
                log_interval = min(log_interval * 2, MAX_LOG_INTERVAL)
        await clock.sleep(delay)
        limit = MAX_DELAY if place.required else MAX_OPTIONAL_DELAY
        delay = min(delay * 2, limit)


def log_listening(place: Place, tools: ListenTools) -> None:
    """Log that an address is listened on."""
    tools.events.emit(Events.LISTENING, purpose=place.purpose, address=place.address)


def _log_busy(place: Place, tools: ListenTools, error: OSError, waited: float) -> None:
    tools.events.emit(
        Events.ADDRESS_BUSY,
        purpose=place.purpose,
        address=place.address,
        detail=str(error),
        waited_ms=round(waited * 1000),
    )


class PendingListener(Listener):
    """A listener whose address is still busy; `accept` waits until it isn't.

    Args:
        listen: listens, or raises an `OSError`.
        place: where it listens.
        tools: what retries need.
    """

    def __init__(
        self,
        listen: Callable[[], Awaitable[Listener]],
        place: Place,
        tools: ListenTools,
    ) -> None:
        self._listen = listen
        self._place = place
        self._tools = tools
        self._listener: Listener | None = None

    @property
    def is_open(self) -> bool:
        """Whether it listens now."""
        return self._listener is not None

    async def accept(self) -> trio.abc.Stream:
        """Accept a connection."""
        if self._listener is None:
            self._listener = await retry_listen(self._listen, self._place, self._tools)
            log_listening(self._place, self._tools)
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Close the listener, if it listens."""
        if self._listener is not None:
            await self._listener.aclose()


def is_listening(listener: Listener) -> bool:
    """Return whether connections are accepted."""
    return not isinstance(listener, PendingListener) or listener.is_open


async def listen_soon(
    listen: Callable[[], Awaitable[Listener]], place: Place, tools: ListenTools
) -> Listener:
    """Listen at once if possible, or else return a listener that does so later."""
    try:
        listener = await listen()
    except OSError:
        # The listener tries again and logs the error.
        return PendingListener(listen, place, tools)
    log_listening(place, tools)
    return listener
