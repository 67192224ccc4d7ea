"""The leaves of each service, from their entries in the shared store.

An entry that vanishes during an outage of the store, or just after its return, may only
have lapsed: a living leaf stores it again shortly, so it is kept for a while.

See Also:
    `walkcart.store.follower.PrefixFollower`, which reads the entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.leaves.leaf import MAX_COLD_TIME, Leaf
from walkcart.routing.distance import Location
from walkcart.routing.eligibility import (
    NO_DATA_CENTRES,
    LeafState,
    Obstacle,
    Regions,
    find_obstacle,
)

#: Time after the store's return for which a lapsed entry is kept: living leaves have
#: stored theirs again by then, as the platform's operators state.
LAPSE_GRACE = timedelta(seconds=2.2)
#: Maximum time for which one lapsed entry is kept, not counting outages: the store may
#: return and fail again before `LAPSE_GRACE` is over.
MAX_HELD_TIME = 2 * LAPSE_GRACE
#: Time between two checks of the lapsed entries.
LAPSE_CHECK_INTERVAL = LAPSE_GRACE / 8
#: Largest number of replaced leaf processes that are remembered.
MAX_REPLACED = 4096


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """A leaf's own entry in the shared store.

    Args:
        id: id of its process.
        service: service that it serves.
        address: ``IP:port``.
        data_centre: its data centre.
        region: region of that data centre.
        slots: number of requests that it runs at once.
        leaving: whether it is about to end and wants no new work.
        cold_time: remaining time of its cold phase when the entry was read.
        incarnation: number of its process, where a leaf keeps its id over restarts;
            0 where it doesn't state one.
    """

    id: str
    service: str
    address: str
    data_centre: str
    region: str
    slots: int
    leaving: bool
    cold_time: timedelta = timedelta()
    incarnation: int = 0

    @property
    def life(self) -> tuple[str, int, str]:
        """Key of this process of the leaf at its present address."""
        return self.id, self.incarnation, self.address


class LeafDirectory:
    """Keeps the leaves that may get work, by service.

    Args:
        clock: source of time.
        events: log of changes.
        store_back_at: returns when the store returned from its last outage; the
            present during an outage.
    """

    def __init__(
        self, clock: Clock, events: EventLog, store_back_at: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._events = events
        self._store_back_at = store_back_at
        self._entries: dict[str, LeafEntry] = {}
        self._leaves: dict[str, Leaf] = {}
        self._by_service: dict[str, tuple[Leaf, ...]] = {}
        self._places: dict[str, frozenset[Location]] = {}
        #: Seconds for which each lapsed entry was kept, not counting outages.
        self._lapsed: dict[str, float] = {}
        self._replaced: dict[tuple[str, int, str], None] = {}
        self._evacuated = NO_DATA_CENTRES
        self._listeners: list[Callable[[], None]] = []
        #: Whether the entries have been read from the store.
        self.known = False

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after leaves are added, removed or changed."""
        self._listeners.append(listener)

    def leaves_of(self, service: str) -> tuple[Leaf, ...]:
        """Return the leaves of a service that may get new work, sorted by id."""
        return self._by_service.get(service, ())

    def places_of(self, service: str) -> frozenset[Location]:
        """Return the places where a service has leaves that may get new work."""
        return self._places.get(service, frozenset())

    def entries(self) -> Iterable[LeafEntry]:
        """Return the entries of all leaves, including those that are leaving."""
        return self._entries.values()

    def leaves(self) -> Iterable[Leaf]:
        """Return all leaves, including those that are leaving."""
        return self._leaves.values()

    def find(self, id: str) -> Leaf | None:
        """Return the leaf with this id, or None."""
        return self._leaves.get(id)

    def find_obstacle(self, leaf: Leaf, regions: Regions) -> Obstacle | None:
        """Return why a request may not go to a leaf now, or None if it may.

        Args:
            leaf: the leaf as it was chosen; it may have been restarted since.
            regions: regions that may serve the request.
        """
        entry = self._entries.get(leaf.id)
        if entry is None or self._leaves.get(leaf.id) is not leaf:
            return Obstacle.GONE
        return find_obstacle(self._describe(entry), regions, self._evacuated)

    def _describe(self, entry: LeafEntry) -> LeafState:
        replaced = entry.life in self._replaced
        return LeafState(entry.region, entry.data_centre, entry.leaving, replaced)

    def mark_replaced(self, leaf: Leaf) -> None:
        """Record that another leaf now answers at the address of this one."""
        entry = self._entries.get(leaf.id)
        if entry is None or self._leaves.get(leaf.id) is not leaf:
            # It was restarted since, or is gone.
            return
        if entry.life in self._replaced:
            return
        while len(self._replaced) >= MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]
        self._replaced[entry.life] = None
        self._events.emit(Events.LEAF_REMOVED, leaf=leaf.id, reason="replaced")
        self._rebuild()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the evacuated data centres, whose leaves get no requests."""
        self._evacuated = data_centres
        self._rebuild()

    def set_entries(self, entries: Iterable[LeafEntry]) -> None:
        """Replace all entries by those that are stored now."""
        self.known = True
        found = {entry.id: entry for entry in entries}
        for id in found:
            self._lapsed.pop(id, None)
        now = self._clock.monotonic()
        lapsing = now - self._store_back_at() < LAPSE_GRACE.total_seconds()
        for id in [id for id in self._entries if id not in found]:
            if lapsing and not self._entries[id].leaving:
                if id not in self._lapsed:
                    self._lapsed[id] = 0.0
                    self._events.emit(Events.LEAF_HELD, leaf=id)
                found[id] = self._entries[id]
            else:
                self._lapsed.pop(id, None)
                self._events.emit(Events.LEAF_REMOVED, leaf=id, reason="entry gone")
        self._log_changes(found)
        before, self._entries = self._entries, found
        self._rebuild()
        for id, entry in found.items():
            if before.get(id) is not entry and entry.cold_time:
                # A leaf may become cold again at any time.
                self._extend_cold(id, now, entry.cold_time)

    def _extend_cold(self, id: str, now: float, cold_time: timedelta) -> None:
        if cold_time > MAX_COLD_TIME:
            self._events.emit(
                Events.LEAF_COLD_BOUNDED,
                leaf=id,
                stated_s=cold_time.total_seconds(),
                used_s=MAX_COLD_TIME.total_seconds(),
            )
        self._leaves[id].extend_cold(now, cold_time)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Remove entries that stay lapsed, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(LAPSE_CHECK_INTERVAL.total_seconds())
            self._drop_lapsed()

    def _drop_lapsed(self) -> None:
        back_for = self._clock.monotonic() - self._store_back_at()
        if back_for <= 0:
            return
        for id in self._lapsed:
            self._lapsed[id] += LAPSE_CHECK_INTERVAL.total_seconds()
        is_over = back_for >= LAPSE_GRACE.total_seconds()
        gone = [
            id
            for id, held_for in self._lapsed.items()
            if is_over or held_for >= MAX_HELD_TIME.total_seconds()
        ]
        if not gone:
            return
        for id in gone:
            del self._lapsed[id], self._entries[id]
            self._events.emit(Events.LEAF_REMOVED, leaf=id, reason="lapsed")
        self._rebuild()

    def _log_changes(self, found: dict[str, LeafEntry]) -> None:
        for id, entry in found.items():
            held = self._entries.get(id)
            if held is None or held.life != entry.life:
                self._events.emit(
                    Events.LEAF_ADDED,
                    leaf=id,
                    service=entry.service,
                    address=entry.address,
                    leaving=entry.leaving,
                )
            elif entry.leaving and not held.leaving:
                self._events.emit(Events.LEAF_LEAVING, leaf=id, service=entry.service)

    def _rebuild(self) -> None:
        """Recompute the leaves of each service and notify the listeners."""
        by_service: dict[str, list[Leaf]] = {}
        leaves: dict[str, Leaf] = {}
        now = self._clock.monotonic()
        # Entries come in the order of a set of keys; choices must not depend on it.
        for id, entry in sorted(self._entries.items()):
            leaf = self._leaves.get(id)
            if leaf is None or not _is_same_process(leaf, entry):
                leaf = self._make_leaf(entry, now)
            leaves[id] = leaf
            standing = self._describe(entry)
            if find_obstacle(standing, evacuated=self._evacuated) is None:
                by_service.setdefault(entry.service, []).append(leaf)
        self._leaves = leaves
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        self._places = {
            name: frozenset(leaf.place for leaf in found)
            for name, found in by_service.items()
        }
        for listener in self._listeners:
            listener()

    def _make_leaf(self, entry: LeafEntry, now: float) -> Leaf:
        labels = {
            "id": entry.id,
            "service": entry.service,
            "data-centre": entry.data_centre,
            "region": entry.region,
        }
        leaf = Leaf(entry.address, labels, entry.slots, id=entry.id)
        if entry.cold_time:
            leaf.extend_cold(now, entry.cold_time)
        leaf.incarnation = entry.incarnation
        return leaf


def _is_same_process(leaf: Leaf, entry: LeafEntry) -> bool:
    """Return whether an entry belongs to the process that `leaf` describes.

    After a restart, the statistics of the former process and the connections to it
    are of no use.
    """
    return (leaf.incarnation, leaf.address) == (entry.incarnation, entry.address)
