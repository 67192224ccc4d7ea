"""A copy of all items under a prefix, kept by watches or by another instance.

The copy only moves forward: an item is replaced by a later revision alone. Changes that
the store has forgotten are made good by a full reading. While the store can't be
reached the copy stands; while an instance feeds it, the store isn't watched.

See Also:
    `walkcart.store.items.SharedStore`, which is followed.
    `walkcart.membership.relaying.Relay`, which feeds copies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.currency import Currency
from walkcart.store.history import ChangeHistory
from walkcart.store.items import (
    Change,
    Changes,
    HistoryLost,
    Item,
    Removal,
    SharedStore,
)
from walkcart.store.reading import read_prefix
from walkcart.store.updates import STORE, Origin, Update, UpdateListener

#: How long one watch waits; a call each, so long is cheap. That its connection went
#: silent is found by probes (`walkcart.store.calls.PROBE_INTERVAL`), not by this.
WATCH_WAIT = timedelta(seconds=20)
#: Pause after a watch returned with changes: a burst of changes is taken at once.
BURST_PAUSE = timedelta(milliseconds=250)
#: Times as long a pause after a watch that brought only changes that matter to nobody:
#: leafs that start together change their entries each second or so.
IDLE_PAUSE_FACTOR = 1.25

#: Longest pause between the first reading and the first watch, unless this instance is
#: known to be one that watches: one that another one feeds is fed by then, also where
#: all start at once, and needs no watch.
FIRST_WATCH_PAUSE = timedelta(seconds=3)

#: Longest wait, after a failure, until some other call is served: the renewals of the
#: lease try the service again at a tenth of a call. Past it the copy tries for itself.
RECOVERY_WAIT = timedelta(seconds=15)
#: Pause after the service came back, for whoever doesn't watch for others: those that
#: do read at once and pass on what they read, so that not all read everything.
FEED_WAIT = timedelta(seconds=1)

#: Told the old and the new value of an item; whether the difference matters to anyone.
DifferenceTest = Callable[[bytes, bytes], bool]


def differ(old: bytes, new: bytes) -> bool:
    """Return whether two values differ at all."""
    return old != new


class PrefixFollower:
    """Keeps a copy of a prefix.

    Args:
        store: the service.
        calls: tells when the service is back after a failure.
        prefix: start of the keys.
        clock: source of time.
        backoff: waits after failures.
        events: where a lost history is logged.
        listener: told each change of the copy, and once when it was first read.
        pause: after a watch that brought changes.
        matters: whether a new value of an item is a change; one that isn't is kept
            and neither told nor passed on.
        read_past: a copy that was current longer ago is read anew, not watched from
            where it is, which would bring all versions since; None to watch always.
        first_fresh: whether the first reading must be of the present; one that may be
            seconds old costs a tenth, and the first watch or feed makes it good.
    """

    def __init__(
        self,
        store: SharedStore,
        calls: StoreCalls,
        prefix: str,
        clock: Clock,
        backoff: Backoff,
        events: EventLog,
        listener: UpdateListener,
        pause: timedelta = BURST_PAUSE,
        matters: DifferenceTest = differ,
        read_past: timedelta | None = None,
        first_fresh: bool = True,
    ) -> None:
        self._store = store
        self._calls = calls
        self._clock = clock
        self._backoff = backoff
        self._events = events
        self._listener = listener
        self._pause = pause
        self._is_significant = matters
        self._reread_after = read_past
        self._fresh_first_read = first_fresh
        self._items: dict[str, Item] = {}
        self._history = ChangeHistory()
        self._needs_read = True
        self._work_scope: trio.CancelScope | None = None
        self._currency = Currency(calls, clock)
        self._fed = False
        self._feed_lost = trio.Event()
        self._watch_requested = trio.Event()
        self.prefix = prefix
        self.revision = 0
        self.known = False
        self.on_change: Callable[[PrefixFollower], None] = lambda follower: None
        #: Called after a watch has brought all that was stored.
        self.on_current: Callable[[], None] = lambda: None
        #: Called when the next watch begins after a pause.
        self.on_resumed: Callable[[], None] = lambda: None
        calls.on_back(self.restart_watch)

    def items(self) -> Iterable[Item]:
        """Return the items of the copy."""
        return self._items.values()

    @property
    def latest_change(self) -> int:
        """Revision of the latest change: a copy that has it lacks nothing."""
        return self._history.latest

    @property
    def current_at(self) -> float:
        """Time at which the copy surely held all that was stored."""
        return self._currency.find()

    def find_age(self) -> float:
        """Return the seconds since then; infinite before the first reading."""
        return self._clock.monotonic() - self.current_at

    def note_current(self, revision: int, at: float) -> None:
        """Note that the copy held all that was stored at a time, up to a revision."""
        self.revision = max(self.revision, revision)
        self._currency.note(at)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the latest change of each key after a revision; None if unknown."""
        return self._history.changes_after(revision) if self.known else None

    def restart_watch(self) -> None:
        """Give up the present watch: its connection may have gone silent.

        A reading goes on: each of its calls has a time limit.
        """
        if self._work_scope is not None and self._currency.waiting:
            self._work_scope.cancel()

    def begin_watching(self) -> None:
        """Watch from now on, also soon after the first reading."""
        self._watch_requested.set()

    def set_fed(self, fed: bool) -> None:
        """Note whether another instance feeds the copy."""
        if fed == self._fed:
            return
        self._fed = fed
        if fed:
            if self._work_scope is not None:
                self._work_scope.cancel()
        else:
            self._feed_lost.set()
            self._feed_lost = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow until cancelled."""
        task_status.started()
        while True:
            if self._fed:
                await self._feed_lost.wait()
                continue
            with trio.CancelScope() as self._work_scope:
                await self._work()
            self._work_scope = None

    async def _work(self) -> None:
        """Read everything if that is needed, then watch once."""
        await self._wait_for_service()
        try:
            if not self.known:
                await self._read_all(fresh=self._fresh_first_read)
                with trio.move_on_after(FIRST_WATCH_PAUSE.total_seconds()):
                    await self._watch_requested.wait()
            elif self._needs_read or self._is_behind():
                await self._read_all(fresh=True)
            result = await self._watch()
            self._backoff.reset()
            await self._process_result(result)
        except StoreUnavailable:
            # Logged by the calls, which know whether it is the first failure.
            await trio.sleep(self._backoff.advance().total_seconds())

    async def _wait_for_service(self) -> None:
        """Wait until it is worth to call again."""
        if not self.known or self._calls.reachable:
            return
        with trio.move_on_after(RECOVERY_WAIT.total_seconds()):
            await self._calls.wait_reachable()
            with trio.move_on_after(FEED_WAIT.total_seconds()):
                await self._watch_requested.wait()

    def _is_behind(self) -> bool:
        """Return whether so much may have changed that a reading is shorter."""
        if self._reread_after is None:
            return False
        age = self._clock.monotonic() - self.current_at
        return age > self._reread_after.total_seconds()

    async def _watch(self) -> Changes | HistoryLost:
        with self._currency.watch():
            return await self._store.watch(self.prefix, self.revision, WATCH_WAIT)

    async def _read_all(self, fresh: bool) -> None:
        """Read everything and take it as the copy."""
        started_at = self._clock.monotonic()
        reading = await read_prefix(self._store, self.prefix, fresh)
        if fresh:
            # Before listeners hear of it: they pass on what is current.
            self._currency.note(started_at)
        self.replace(reading.items, reading.revision)

    def replace(
        self, found: Mapping[str, Item], revision: int, origin: Origin = Origin()
    ) -> None:
        """Take a full copy; an item known from a later revision is kept.

        What differs from the copy so far is kept as changes, to be passed on.
        """
        changes: list[Change] = [
            item for item in found.values() if self._is_newer(item)
        ]
        for key, item in self._items.items():
            if key not in found and item.revision <= revision:
                # When exactly it was removed isn't known: by then at the latest.
                changes.append(Removal(key, revision))
        self._record_full_copy(revision)
        self._needs_read = False
        newly_known = not self.known
        self.known = True
        self._apply_changes(changes, revision, origin, always_notify=newly_known)

    def _record_full_copy(self, revision: int) -> None:
        """Note that a full copy was taken at a revision."""
        if not self.known:
            self._history.start_at(revision)
        elif revision > self.revision:
            self._history.add_gap(self.revision, revision)

    def _is_newer(self, item: Item) -> bool:
        held = self._items.get(item.key)
        return held is None or held.revision < item.revision

    async def _process_result(self, result: Changes | HistoryLost) -> None:
        match result:
            case HistoryLost():
                self._events.emit(
                    Events.STORE_HISTORY_LOST,
                    prefix=self.prefix,
                    revision=self.revision,
                )
                self._needs_read = True
            case Changes(changes, revision):
                is_complete = self._currency.take(changes)
                pause = self._pause.total_seconds()
                if not self.apply(changes, revision):
                    pause *= IDLE_PAUSE_FACTOR
                if is_complete:
                    self.on_current()
                if changes and is_complete:
                    await trio.sleep(pause)
                    self.on_resumed()

    def apply(
        self, changes: Iterable[Change], revision: int, origin: Origin = Origin()
    ) -> bool:
        """Take changes in order; return whether any was news.

        Args:
            changes: all since the copy's revision.
            revision: of the copy afterwards.
            origin: of the changes.
        """
        if origin.source != STORE:
            # All up to the copy's revision is in it: what is older may be removed
            # since, and a feeder that is behind must not bring it back.
            changes = [item for item in changes if item.revision > self.revision]
        return self._apply_changes(changes, revision, origin, always_notify=False)

    def _apply_changes(
        self,
        changes: Iterable[Change],
        revision: int,
        origin: Origin,
        always_notify: bool,
    ) -> bool:
        """Take changes in order, and tell of them or anyway; return whether any was."""
        changed = set()
        for change in changes:
            is_news = self._apply_change(change, from_feeder=origin.source != STORE)
            if is_news:
                changed.add(change.key)
            if is_news or isinstance(change, Removal):
                # A removal is passed on even if a full copy had shown it already:
                # whom this copy is passed on to may not have seen that one. If the
                # key was stored anew since, that is what is passed on.
                self._history.add(self._items.get(change.key, change))
        self.revision = max(self.revision, revision)
        if changed or always_notify:
            self._listener(Update(self._items, frozenset(changed), origin))
            self.on_change(self)
        return bool(changed)

    def _apply_change(self, change: Change, from_feeder: bool) -> bool:
        """Take one change; return whether it is news.

        What a feeder passes on was news to it, compared with values that this copy may
        never have had: a leaf that became cold for 1.8 s after 3 s and none.
        """
        held = self._items.get(change.key)
        if held is not None and held.revision >= change.revision:
            return False
        match change:
            case Item():
                self._items[change.key] = change
                if held is None or from_feeder:
                    return held is None or held.value != change.value
                return self._is_significant(held.value, change.value)
            case Removal():
                return self._items.pop(change.key, None) is not None
