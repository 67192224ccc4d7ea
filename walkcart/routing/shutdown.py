"""Until when an instance that stops can answer requests, and which ones it accepts.

The platform kills a stopping instance at a fixed time, so each request must have its
answer shortly before. Requests that take longer than the time that is left are rejected
while nothing of them has run, so that their callers can turn to another instance.

Examples:
    >>> deadline = ShutdownDeadline()
    >>> deadline.limit(12.0)
    12.0
    >>> deadline.set(10.0)
    >>> deadline.limit(12.0)
    10.0

See Also:
    `walkcart.entry.routedstop.RoutedStop`, which sets the deadline.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from walkcart.routing.latency import LatencyWindow

#: Quantile of the recent times by which a request must be able to end. A request that
#: must not be repeated is lost to its caller if it is broken off.
REPEATABLE_QUANTILE = 0.9
UNREPEATABLE_QUANTILE = 0.99
#: Observations below which the quantiles of the times aren't known.
MIN_OBSERVATIONS = 16


class ShutdownDeadline:
    """The time by which a stopping instance has answered all requests.

    It is infinite until the instance stops. Times are on the kernel's monotonic clock,
    in seconds.
    """

    def __init__(self) -> None:
        self.at = float("inf")
        self._listeners: set[Callable[[], None]] = set()

    @property
    def is_set(self) -> bool:
        """Whether the instance stops."""
        return self.at < float("inf")

    def set(self, at: float) -> None:
        """Set the deadline, and notify whoever works on a request."""
        self.at = at
        for listener in tuple(self._listeners):
            listener()

    def limit(self, deadline: float) -> float:
        """Return the earlier one of a request's deadline and the instance's."""
        return min(deadline, self.at)

    @contextmanager
    def notify(self, listener: Callable[[], None]) -> Iterator[None]:
        """Return a context manager within which `listener` learns of the deadline."""
        self._listeners.add(listener)
        try:
            yield
        finally:
            self._listeners.discard(listener)


class AnswerTimes:
    """Learns how long requests of each kind take until their answer.

    Examples:
        >>> times = AnswerTimes()
        >>> times.estimate("lookup", repeatable=True, now=0.0) is None
        True
        >>> for _ in range(MIN_OBSERVATIONS):
        ...     times.observe("lookup", 0.2)
        >>> times.estimate("lookup", repeatable=True, now=1.0)
        0.2
    """

    def __init__(self) -> None:
        self._windows: dict[str, LatencyWindow] = {}

    def observe(self, kind: str, elapsed: float) -> None:
        """Record the time of one answered request, in seconds."""
        window = self._windows.get(kind)
        if window is None:
            window = self._windows[kind] = LatencyWindow()
        window.observe(elapsed)

    def retain(self, kinds: frozenset[str]) -> None:
        """Forget all kinds of requests but these."""
        for kind in self._windows.keys() - kinds:
            del self._windows[kind]

    def estimate(self, kind: str, repeatable: bool, now: float) -> float | None:
        """Return the seconds in which a request most likely ends; None if unknown.

        Args:
            kind: kind of the request.
            repeatable: whether the caller may send it again if it is broken off.
            now: the current time, in seconds.
        """
        window = self._windows.get(kind)
        if window is None or len(window) < MIN_OBSERVATIONS:
            return None
        share = REPEATABLE_QUANTILE if repeatable else UNREPEATABLE_QUANTILE
        return window.quantile(now, share)
