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
from walkcart.store.freshness import CopyFreshness
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
#: silent is found by probes (`walkcart.store.calls.PROBE`), not by this.
WATCH_WAIT = timedelta(seconds=20)
#: Pause after a watch returned with changes: a burst of changes is taken at once.
BURST_PAUSE = timedelta(milliseconds=250)
#: Times as long a pause after a watch that brought only changes that matter to nobody:
#: leafs that start together change their entries each second or so.
IDLE_PAUSES = 1.25

#: Longest pause between the first reading and the first watch, unless this instance is
#: known to be one that watches: one that another one feeds is fed by then, also where
#: all start at once, and needs no watch.
FIRST_WATCH_PAUSE = timedelta(seconds=3)

#: Longest wait, after a failure, until some other call is served: the renewals of the
#: lease try the service again at a tenth of a call. Past it the copy tries for itself.
RETURN_PATIENCE = timedelta(seconds=15)
#: Pause after the service came back, for whoever doesn't watch for others: those that
#: do read at once and pass on what they read, so that not all read everything.
FEED_PATIENCE = timedelta(seconds=1)

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
        is_significant: whether a new value of an item is a change; one that isn't is kept
            and neither told nor passed on.
        reread_after: a copy that was current longer ago is read anew, not watched from
            where it is, which would bring all versions since; None to watch always.
        fresh_first_read: whether the first reading must be of the present; one that may be
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
        is_significant: DifferenceTest = differ,
        reread_after: timedelta | None = None,
        fresh_first_read: bool = True,
    ) -> None:
        self._store = store
        self._calls = calls
        self._clock = clock
        self._backoff = backoff
        self._events = events
        self._listener = listener
        self._pause = pause
        self._matters = is_significant
        self._read_past = reread_after
        self._first_fresh = fresh_first_read
        self._items: dict[str, Item] = {}
        self._history = ChangeHistory()
        self._must_read = True
        self._working: trio.CancelScope | None = None
        self._currency = CopyFreshness(calls, clock)
        self._fed = False
        self._feed_lost = trio.Event()
        self._wanted = trio.Event()
        self.prefix = prefix
        self.revision = 0
        self.known = False
        self.on_change: Callable[[PrefixFollower], None] = lambda follower: None
        #: Called after a watch has brought all that was stored.
        self.on_current: Callable[[], None] = lambda: None
        #: Called when the next watch begins after a pause.
        self.on_watch_resumed: Callable[[], None] = lambda: None
        calls.on_recovered(self.watch_anew)

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
        return self._currency.find_complete_time()

    def find_age(self) -> float:
        """Return the seconds since then; infinite before the first reading."""
        return self._clock.monotonic() - self.current_at

    def record_current(self, revision: int, at: float) -> None:
        """Note that the copy held all that was stored at a time, up to a revision."""
        self.revision = max(self.revision, revision)
        self._currency.record_complete(at)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the latest change of each key after a revision; None if unknown."""
        return self._history.changes_after(revision) if self.known else None

    def watch_anew(self) -> None:
        """Give up the present watch: its connection may have gone silent.

        A reading goes on: each of its calls has a time limit.
        """
        if self._working is not None and self._currency.waiting:
            self._working.cancel()

    def begin_watching(self) -> None:
        """Watch from now on, also soon after the first reading."""
        self._wanted.set()

    def set_fed(self, fed: bool) -> None:
        """Note whether another instance feeds the copy."""
        if fed == self._fed:
            return
        self._fed = fed
        if fed:
            if self._working is not None:
                self._working.cancel()
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
            with trio.CancelScope() as self._working:
                await self._work()
            self._working = None

    async def _work(self) -> None:
        """Read everything if that is needed, then watch once."""
        await self._wait_for_service()
        try:
            if not self.known:
                await self._read_all(fresh=self._first_fresh)
                with trio.move_on_after(FIRST_WATCH_PAUSE.total_seconds()):
                    await self._wanted.wait()
            elif self._must_read or self._is_behind():
                await self._read_all(fresh=True)
            result = await self._watch()
            self._backoff.reset()
            await self._take(result)
        except StoreUnavailable:
            # Logged by the calls, which know whether it is the first failure.
            await trio.sleep(self._backoff.next_delay().total_seconds())

    async def _wait_for_service(self) -> None:
        """Wait until it is worth to call again."""
        if not self.known or self._calls.reachable:
            return
        with trio.move_on_after(RETURN_PATIENCE.total_seconds()):
            await self._calls.wait_reachable()
            with trio.move_on_after(FEED_PATIENCE.total_seconds()):
                await self._wanted.wait()

    def _is_behind(self) -> bool:
        """Return whether so much may have changed that a reading is shorter."""
        if self._read_past is None:
            return False
        age = self._clock.monotonic() - self.current_at
        return age > self._read_past.total_seconds()

    async def _watch(self) -> Changes | HistoryLost:
        with self._currency.watch():
            return await self._store.watch(self.prefix, self.revision, WATCH_WAIT)

    async def _read_all(self, fresh: bool) -> None:
        """Read everything and take it as the copy."""
        began_at = self._clock.monotonic()
        reading = await read_prefix(self._store, self.prefix, fresh)
        if fresh:
            # Before listeners hear of it: they pass on what is current.
            self._currency.record_complete(began_at)
        self.replace(reading.items, reading.revision)

    def replace(
        self, found: Mapping[str, Item], revision: int, origin: Origin = Origin()
    ) -> None:
        """Take a full copy; an item known from a later revision is kept.

        What differs from the copy so far is kept as changes, to be passed on.
        """
        changes: list[Change] = [
            item for item in found.values() if self._is_later(item)
        ]
        for key, item in self._items.items():
            if key not in found and item.revision <= revision:
                # When exactly it was removed isn't known: by then at the latest.
                changes.append(Removal(key, revision))
        self._note_gap(revision)
        self._must_read = False
        newly_known = not self.known
        self.known = True
        self._take_changes(changes, revision, origin, tell=newly_known)

    def _note_gap(self, revision: int) -> None:
        """Note that a full copy was taken at a revision."""
        if not self.known:
            self._history.begin(revision)
        elif revision > self.revision:
            self._history.note_gap(self.revision, revision)

    def _is_later(self, item: Item) -> bool:
        held = self._items.get(item.key)
        return held is None or held.revision < item.revision

    async def _take(self, result: Changes | HistoryLost) -> None:
        match result:
            case HistoryLost():
                self._events.emit(
                    Events.STORE_HISTORY_LOST,
                    prefix=self.prefix,
                    revision=self.revision,
                )
                self._must_read = True
            case Changes(changes, revision):
                whole = self._currency.record_changes(changes)
                pause = self._pause.total_seconds()
                if not self.apply(changes, revision):
                    pause *= IDLE_PAUSES
                if whole:
                    self.on_current()
                if changes and whole:
                    await trio.sleep(pause)
                    self.on_watch_resumed()

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
        return self._take_changes(changes, revision, origin, tell=False)

    def _take_changes(
        self, changes: Iterable[Change], revision: int, origin: Origin, tell: bool
    ) -> bool:
        """Take changes in order, and tell of them or anyway; return whether any was."""
        changed = set()
        for change in changes:
            news = self._apply_one(change, passed_on=origin.source != STORE)
            if news:
                changed.add(change.key)
            if news or isinstance(change, Removal):
                # A removal is passed on even if a full copy had shown it already:
                # whom this copy is passed on to may not have seen that one. If the
                # key was stored anew since, that is what is passed on.
                self._history.add(self._items.get(change.key, change))
        self.revision = max(self.revision, revision)
        if changed or tell:
            self._listener(Update(self._items, frozenset(changed), origin))
            self.on_change(self)
        return bool(changed)

    def _apply_one(self, change: Change, passed_on: bool) -> bool:
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
                if held is None or passed_on:
                    return held is None or held.value != change.value
                return self._matters(held.value, change.value)
            case Removal():
                return self._items.pop(change.key, None) is not None
