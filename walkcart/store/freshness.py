"""At which time a copy surely held all that was stored.

See Also:
    `walkcart.store.follower.PrefixFollower`, whose copies these are.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from contextlib import contextmanager

from walkcart.kernel.clock import Clock
from walkcart.store.calls import StoreCalls
from walkcart.store.items import Change, Item

#: Changes of one watch, or bytes of their values, from which on the store may have cut
#: them off: what is left is asked for at once. Both are below the store's own bounds.
FULL_CHANGES = 400
FULL_BYTES = 512 << 10
#: Seconds that a watch waits before it shows that the one before wasn't cut off.
CUT_OFF_TIME = 0.5


def is_full(changes: Collection[Change]) -> bool:
    """Return whether one watch may have brought a part of what changed."""
    size = sum(len(item.value) for item in changes if isinstance(item, Item))
    return len(changes) >= FULL_CHANGES or size >= FULL_BYTES


class CopyFreshness:
    """Knows when a copy was surely complete.

    Args:
        calls: tell when the store has served this instance.
        clock: source of time.
    """

    def __init__(self, calls: StoreCalls, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock
        self._noted_at = float("-inf")
        self._watch_began = float("-inf")
        self._cut_off = False
        self._interrupted = False
        #: Whether a watch waits.
        self.waiting = False

    def find_complete_time(self) -> float:
        """Return the latest time at which the copy was surely complete."""
        if not self.waiting:
            return self._noted_at
        # Nothing came by the watch, and the store answered some call.
        if self._calls.last_success <= self._find_least():
            return self._noted_at
        return max(self._noted_at, self._calls.last_success)

    def _find_least(self) -> float:
        """Return the time after which a call must have been served to say anything.

        A watch that began anew may bring all that changed since the one before, which
        it hasn't yet when a call was served just before it.
        """
        if self._cut_off:
            return self._watch_began + CUT_OFF_TIME
        return self._watch_began if self._interrupted else float("-inf")

    def record_complete(self, at: float) -> None:
        """Note that the copy was complete at a time."""
        self._noted_at = max(self._noted_at, at)

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Note that a watch waits within the block."""
        self.waiting = True
        self._watch_began = self._clock.monotonic()
        try:
            yield
        except BaseException:
            self._interrupted = True
            raise
        finally:
            self.waiting = False

    def record_changes(self, changes: Collection[Change]) -> bool:
        """Note what a watch has brought; return whether that was surely all."""
        self._cut_off = is_full(changes)
        self._interrupted = False
        if not self._cut_off:
            self.record_complete(self._clock.monotonic())
        return not self._cut_off
