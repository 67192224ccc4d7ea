"""The leafs of each service, from their entries in the shared store.

An entry that vanishes while the store was away, or just after its return, may only
have lapsed: the leaf stores it again shortly if it lives. Until then it is kept.

See Also:
    `walkcart.store.follower.PrefixFollower`, which brings the entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.leaves.leaf import Leaf
from walkcart.routing.distance import Location
from walkcart.routing.eligibility import (
    NO_DATA_CENTRES,
    LeafState,
    Obstacle,
    Regions,
    find_obstacle,
)

#: How long after the store's return a lapsed entry is kept: living leafs have stored
#: theirs again by then, as the platform's operators state.
LAPSE_TIME = timedelta(seconds=2.2)
#: Lives that answered for another one are remembered; bounds their number.
REPLACED_LIMIT = 4096


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """What a leaf says about itself in the shared store.

    Args:
        id: of its process life.
        service: that it serves.
        address: ``IP:port``.
        data_centre: where it stands.
        region: of that data centre.
        slots: requests that it runs at once.
        leaving: whether it is about to end and wants no new work.
        cold_time: how much longer it is cold, counted from when the entry was read.
        incarnation: of its process life, where a leaf keeps its id when it starts
            again; 0 where it doesn't say.
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
        """What tells this life of the leaf, where it is now, from all others."""
        return self.id, self.incarnation, self.address


class LeafDirectory:
    """Knows the leafs that may get work, by service.

    Args:
        clock: source of time.
        events: where changes are logged.
        store_back_at: returns when the store was reached again last; the present
            while it isn't.
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
        self._lapsed: dict[str, float] = {}
        self._replaced: dict[tuple[str, int, str], None] = {}
        self._evacuated = NO_DATA_CENTRES
        self._listeners: list[Callable[[], None]] = []
        self.known = False

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after leafs came, went or changed."""
        self._listeners.append(listener)

    def leaves_of(self, service: str) -> tuple[Leaf, ...]:
        """Return the leafs of a service that may get new work."""
        return self._by_service.get(service, ())

    def places_of(self, service: str) -> frozenset[Location]:
        """Return the places where a service has leafs that may get new work."""
        return self._places.get(service, frozenset())

    def entries(self) -> Iterable[LeafEntry]:
        """Return all entries, of leaving leafs too."""
        return self._entries.values()

    def leaves(self) -> Iterable[Leaf]:
        """Return the accounts of all leafs, of leaving ones too."""
        return self._leaves.values()

    def find(self, id: str) -> Leaf | None:
        """Return the account of the leaf with this id, or None."""
        return self._leaves.get(id)

    def find_obstacle(self, leaf: Leaf, regions: Regions) -> Obstacle | None:
        """Return why a request may not go to a leaf now, or None when it may.

        Args:
            leaf: as it was chosen; another life of it may have begun since.
            regions: that the request may be served in.
        """
        entry = self._entries.get(leaf.id)
        if entry is None or self._leaves.get(leaf.id) is not leaf:
            return Obstacle.GONE
        return find_obstacle(self._describe(entry), regions, self._evacuated)

    def _describe(self, entry: LeafEntry) -> LeafState:
        replaced = entry.life in self._replaced
        return LeafState(entry.region, entry.data_centre, entry.leaving, replaced)

    def mark_replaced(self, leaf: Leaf) -> None:
        """Take note that another leaf answers at the address of this one."""
        entry = self._entries.get(leaf.id)
        if entry is None or self._leaves.get(leaf.id) is not leaf:
            # It has started again since, or is gone.
            return
        if entry.life in self._replaced:
            return
        while len(self._replaced) >= REPLACED_LIMIT:
            del self._replaced[next(iter(self._replaced))]
        self._replaced[entry.life] = None
        self._events.emit(Events.LEAF_REMOVED, leaf=leaf.id, reason="replaced")
        self._rebuild()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Take the data centres whose leafs get nothing."""
        self._evacuated = data_centres
        self._rebuild()

    def set_entries(self, entries: Iterable[LeafEntry]) -> None:
        """Take all entries that are stored now."""
        self.known = True
        found = {entry.id: entry for entry in entries}
        for id in found:
            self._lapsed.pop(id, None)
        now = self._clock.monotonic()
        lapsing = now - self._store_back_at() < LAPSE_TIME.total_seconds()
        for id in [id for id in self._entries if id not in found]:
            if lapsing and not self._entries[id].leaving:
                if id not in self._lapsed:
                    self._lapsed[id] = now
                    self._events.emit(Events.LEAF_HELD, leaf=id)
                found[id] = self._entries[id]
            else:
                self._lapsed.pop(id, None)
                self._events.emit(Events.LEAF_REMOVED, leaf=id, reason="entry gone")
        self._note_news(found)
        before, self._entries = self._entries, found
        self._rebuild()
        for id, entry in found.items():
            if before.get(id) is not entry and entry.cold_time:
                # A leaf may become cold again at any moment of its life.
                until = now + entry.cold_time.total_seconds()
                self._leaves[id].note_cold(until)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Drop entries that stay lapsed, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(LAPSE_TIME.total_seconds() / 8)
            self._drop_lapsed()

    def _drop_lapsed(self) -> None:
        now = self._clock.monotonic()
        if now - self._store_back_at() < LAPSE_TIME.total_seconds():
            return
        gone = [id for id in self._lapsed if id in self._entries]
        if not gone:
            return
        self._lapsed.clear()
        for id in gone:
            del self._entries[id]
            self._events.emit(Events.LEAF_REMOVED, leaf=id, reason="lapsed")
        self._rebuild()

    def _note_news(self, found: dict[str, LeafEntry]) -> None:
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
        """Work out the leafs of each service anew."""
        by_service: dict[str, list[Leaf]] = {}
        leaves: dict[str, Leaf] = {}
        now = self._clock.monotonic()
        for id, entry in self._entries.items():
            leaf = self._leaves.get(id)
            if leaf is None or not _is_life_of(leaf, entry):
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
            leaf.note_cold(now + entry.cold_time.total_seconds())
        leaf.incarnation = entry.incarnation
        return leaf


def _is_life_of(leaf: Leaf, entry: LeafEntry) -> bool:
    """Return whether an entry is of the life of a leaf that an account is kept of.

    One that started again knows nothing of before: what was learned of it, and the
    connections to it, are of no more use.
    """
    return (leaf.incarnation, leaf.address) == (entry.incarnation, entry.address)
