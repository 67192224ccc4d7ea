"""Until when a copy of stored items is known to have been complete.

See Also:
    `walkcart.store.follower.PrefixFollower`, which keeps such a copy.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from contextlib import contextmanager

from walkcart.kernel.clock import Clock
from walkcart.store.calls import StoreCalls
from walkcart.store.items import Change, Item

#: Number of changes of one watch, and size of their values in bytes, from which on the
#: store may have cut the reply off: the rest is then requested at once. Both are below
#: the store's own limits.
FULL_CHANGES = 400
FULL_BYTES = 512 << 10
#: Seconds for which a watch is taken to work after it began, or after the copy was last
#: confirmed. The store may lose the reply of a watch and serve all other calls.
MAX_UNCONFIRMED_TIME = 5.0
#: Seconds after which a watch that still waits shows that the reply of the watch before
#: it was not cut off.
CUT_OFF_TIME = 0.5


def is_full(changes: Collection[Change]) -> bool:
    """Return whether the changes of one watch may be only a part of all changes."""
    size = sum(len(item.value) for item in changes if isinstance(item, Item))
    return len(changes) >= FULL_CHANGES or size >= FULL_BYTES


class CopyFreshness:
    """Finds the latest time at which a copy was complete.

    Args:
        calls: tells when the store last served a call of this instance.
        clock: source of time.
    """

    def __init__(self, calls: StoreCalls, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock
        self._complete_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._watch_started_at = float("-inf")
        self._cut_off = False
        self._interrupted = False
        #: Whether a watch is waiting for changes.
        self.waiting = False

    @property
    def confirmed_at(self) -> float:
        """Latest time at which a reply showed that the copy was complete."""
        return self._confirmed_at

    @property
    def complete_at(self) -> float:
        """Latest time at which a reply, or a feeder, showed the copy to be complete."""
        return self._complete_at

    def is_waiting_since(self, time: float) -> bool:
        """Return whether the present watch has waited since a time or longer."""
        return self.waiting and self._watch_started_at <= time

    def find_complete_time(self) -> float:
        """Return the latest time at which the copy is known to have been complete."""
        if not self.waiting:
            return self._complete_at
        # While a watch works and waits without changes, the copy was complete whenever
        # the store served some call.
        served_at = self._calls.last_success
        shown_at = max(self._complete_at, self._watch_started_at)
        if served_at > shown_at + MAX_UNCONFIRMED_TIME:
            return self._complete_at
        if served_at <= self._find_min_call_time():
            return self._complete_at
        return max(self._complete_at, self._calls.last_shown)

    def _find_min_call_time(self) -> float:
        """Return the time after which a served call proves that the copy is complete.

        After an interruption a call that was served before the new watch began proves
        nothing: the watch may still bring changes made since the previous watch. After
        a reply that may have been cut off, the same holds for the first moments of the
        new watch.
        """
        if self._cut_off:
            return self._watch_started_at + CUT_OFF_TIME
        return self._watch_started_at if self._interrupted else float("-inf")

    def record_complete(self, at: float) -> None:
        """Record that a feeder holds the copy to have been complete at a time."""
        self._complete_at = max(self._complete_at, at)

    def record_confirmed(self, at: float) -> None:
        """Record that a reply showed that the copy was complete at a time."""
        self._confirmed_at = max(self._confirmed_at, at)
        self.record_complete(at)

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Return a context manager within which a watch is taken to wait."""
        self.waiting = True
        self._watch_started_at = self._clock.monotonic()
        try:
            yield
        except BaseException:
            self._interrupted = True
            raise
        finally:
            self.waiting = False

    def record_changes(self, changes: Collection[Change]) -> bool:
        """Record the changes of a watch; return whether they are surely all."""
        self._cut_off = is_full(changes)
        self._interrupted = False
        if not self._cut_off:
            self.record_confirmed(self._clock.monotonic())
        return not self._cut_off
