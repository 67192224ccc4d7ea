"""One instance's view of all instances, merged from records of any source.

Records of one instance are totally ordered by (incarnation, counter, state,
revision) and merging keeps the highest, so the order in which news arrives
makes no difference. Only an instance itself raises its counter, which is how it
refutes a suspicion.

References:
    Das, Gupta, Motivala: SWIM, 2002, for suspicion and incarnations.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import msgspec

from walkcart.wire.messages import MemberRecord


class MemberState(IntEnum):
    """What is held of an instance; of equal counters the higher wins."""

    LIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


#: Called with the old record, None for a new instance, and the new one.
Listener = Callable[[MemberRecord | None, MemberRecord], None]


def rank_record(record: MemberRecord) -> tuple[int, int, int, int]:
    """Return what orders the records of one instance."""
    return (record.incarnation, record.counter, record.state, record.revision)


class MembershipView:
    """The instances that one instance knows.

    Args:
        own: its own record.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.own = own
        self._records: dict[str, MemberRecord] = {own.name: own}
        self._listed: frozenset[str] = frozenset()
        self._listeners: list[Listener] = []
        self._selections: dict[str, tuple[MemberRecord, ...]] = {}
        #: Raised by each change of a record or of what is listed.
        self.version = 0

    def on_change(self, listener: Listener) -> None:
        """Call `listener` after each change of a record."""
        self._listeners.append(listener)

    def find(self, name: str) -> MemberRecord | None:
        """Return the record of the instance called `name`."""
        return self._records.get(name)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return all records, in the order of the names."""
        return self._select("all", lambda record: True)

    def usable_peers(self) -> tuple[MemberRecord, ...]:
        """Return the other instances that may get forwarded work."""
        usable = (MemberState.LIVE, MemberState.LEAVING)
        own = self.own.name
        return self._select(
            "usable", lambda record: record.name != own and record.state in usable
        )

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the live instances, this one included if it isn't leaving."""
        return self._select("live", lambda record: record.state == MemberState.LIVE)

    def sharing(self) -> tuple[MemberRecord, ...]:
        """Return the instances that may still hold connections to leaves.

        A dead record isn't proof: its instance may be paused or cut off with its
        connections open. It counts until the instance list drops it as well.
        """
        return self._select(
            "sharing",
            lambda record: (
                record.state != MemberState.DEAD or record.name in self._listed
            ),
        )

    def _select(
        self, name: str, wanted: Callable[[MemberRecord], bool]
    ) -> tuple[MemberRecord, ...]:
        """Return the wanted records in the order of the names.

        They are asked for many times a second and change a few times a day, so
        each selection is kept until something changes.
        """
        if name not in self._selections:
            found = (self._records[key] for key in sorted(self._records))
            self._selections[name] = tuple(item for item in found if wanted(item))
        return self._selections[name]

    def _note_change(self) -> None:
        self.version += 1
        self._selections.clear()

    def set_listed(self, names: frozenset[str]) -> None:
        """Note which instances the instance list shows as live."""
        if names != self._listed:
            self._listed = names
            self._note_change()

    def is_listed(self, name: str) -> bool:
        """Return whether the instance list shows `name` as live."""
        return name in self._listed

    def merge(self, record: MemberRecord) -> bool:
        """Take `record` if it is newer than what is held; return whether it was."""
        if record.name == self.own.name:
            return self._defend(record)
        held = self._records.get(record.name)
        if held is None and record.state == MemberState.DEAD:
            # Nothing to do for it, and taking it in would pass it round for ever.
            return False
        if held is not None and rank_record(record) <= rank_record(held):
            return False
        self._store(held, record)
        return True

    def update_own(
        self, *, state: MemberState | None = None, revision: int | None = None
    ) -> None:
        """Change this instance's own record."""
        changed = self.own
        if state is not None and state != changed.state:
            changed = msgspec.structs.replace(
                changed, state=int(state), counter=changed.counter + 1
            )
        if revision is not None:
            changed = msgspec.structs.replace(changed, revision=revision)
        if changed != self.own:
            self._store(self.own, changed)

    def raise_state(self, name: str, state: MemberState) -> bool:
        """Raise the state of another instance; return whether that changed it."""
        held = self._records.get(name)
        if held is None or name == self.own.name or held.state >= state:
            return False
        return self.merge(msgspec.structs.replace(held, state=int(state)))

    def forget(self, name: str) -> None:
        """Drop a dead instance that the instance list doesn't show any longer."""
        if name != self.own.name:
            self._records.pop(name, None)
            self._note_change()

    def _defend(self, record: MemberRecord) -> bool:
        """Refute what others hold of this instance where it is wrong."""
        if rank_record(record) <= rank_record(self.own):
            return False
        if record.incarnation > self.own.incarnation:
            # A later life with this name: not for this process to argue with.
            return False
        counter = record.counter + 1
        self._store(self.own, msgspec.structs.replace(self.own, counter=counter))
        return True

    def _store(self, old: MemberRecord | None, new: MemberRecord) -> None:
        self._records[new.name] = new
        self._note_change()
        if new.name == self.own.name:
            self.own = new
        for listener in self._listeners:
            listener(old, new)
