"""A copy of all items under a prefix, kept by watches.

The copy only moves forward: an item is replaced by a later revision alone. When the
store has forgotten the changes since the last watch, or nothing was heard for a
while, everything is read anew. While the store can't be reached the copy stands.

See Also:
    `walkcart.store.items.SharedStore`, which is followed.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.items import Changes, HistoryLost, Item, Removal, SharedStore

#: How long one watch waits; a call each, so long is cheap. A connection that went
#: silent is noticed by the renewals of the lease, not by this.
WATCH_WAIT = timedelta(seconds=20)
#: Pause after a watch returned with changes: a burst of changes is taken at once.
BURST_PAUSE = timedelta(milliseconds=100)

#: Told the whole copy and the keys that changed; must not wait.
CopyListener = Callable[[Mapping[str, Item], frozenset[str]], None]


class PrefixFollower:
    """Keeps a copy of a prefix.

    Args:
        store: the service.
        calls: tells when the service is back after a failure.
        prefix: start of the keys.
        backoff: waits after failures.
        events: where a lost history is logged.
        listener: told the copy after each change, and once when it was first read.
    """

    def __init__(
        self,
        store: SharedStore,
        calls: StoreCalls,
        prefix: str,
        backoff: Backoff,
        events: EventLog,
        listener: CopyListener,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._backoff = backoff
        self._events = events
        self._listener = listener
        self._items: dict[str, Item] = {}
        self._revision = 0
        self._must_read = True
        self._watching: trio.CancelScope | None = None
        self.known = False
        calls.on_back(self.watch_anew)

    def watch_anew(self) -> None:
        """Give up the present watch: its connection may have gone silent."""
        if self._watching is not None:
            self._watching.cancel()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow until cancelled."""
        task_status.started()
        while True:
            try:
                if self._must_read:
                    await self._read_all()
                await self._watch()
                self._backoff.reset()
            except StoreUnavailable:
                # Logged by the calls, which know whether it is the first failure.
                await trio.sleep(self._backoff.advance().total_seconds())

    async def _read_all(self) -> None:
        """Read every page and take it as the copy.

        Pages are read at different revisions, so watching goes on from the first.
        """
        found: dict[str, Item] = {}
        first = 0
        after = ""
        while True:
            page = await self._store.list_items(self._prefix, after, fresh=True)
            first = first or page.revision
            found.update((item.key, item) for item in page.items)
            if page.last or not page.items:
                break
            after = page.items[-1].key
        changed = self._replace(found, first)
        self._revision = max(first, self._revision)
        self._must_read = False
        newly_known = not self.known
        self.known = True
        if changed or newly_known:
            self._listener(self._items, changed)

    def _replace(self, found: dict[str, Item], first: int) -> frozenset[str]:
        """Take a full reading; an item known from a later revision is kept."""
        changed = set()
        for key, item in found.items():
            held = self._items.get(key)
            if held is None or held.revision < item.revision:
                self._items[key] = item
                changed.add(key)
        for key in [key for key in self._items if key not in found]:
            if self._items[key].revision <= first:
                del self._items[key]
                changed.add(key)
        return frozenset(changed)

    async def _watch(self) -> None:
        with trio.CancelScope() as self._watching:
            result = await self._store.watch(self._prefix, self._revision, WATCH_WAIT)
            self._watching = None
            await self._take(result)
            return
        self._watching = None

    async def _take(self, result: Changes | HistoryLost) -> None:
        match result:
            case HistoryLost():
                self._events.emit(
                    Events.STORE_HISTORY_LOST,
                    prefix=self._prefix,
                    revision=self._revision,
                )
                self._must_read = True
            case Changes(changes, revision):
                changed = frozenset(
                    change.key for change in changes if self._apply(change)
                )
                self._revision = max(self._revision, revision)
                if changed:
                    self._listener(self._items, changed)
                    await trio.sleep(BURST_PAUSE.total_seconds())

    def _apply(self, change: Item | Removal) -> bool:
        """Apply one change; return whether it was news."""
        held = self._items.get(change.key)
        if held is not None and held.revision >= change.revision:
            return False
        match change:
            case Item():
                self._items[change.key] = change
                return True
            case Removal():
                return self._items.pop(change.key, None) is not None
