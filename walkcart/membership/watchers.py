"""Which instances watch the shared store for the others, and whom one asks.

See Also:
    `walkcart.membership.relaying.Relay`, which feeds and is fed.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from walkcart.kernel.clock import Clock
from walkcart.membership.registration import Registration
from walkcart.routing.shares import rank_rendezvous

#: Fleets up to this size watch the store with every instance: few calls, no detour.
MAX_INSTANCES_ALL_WATCHING = 12
#: Instances of each data centre that watch the store in a larger fleet: what they pass
#: on stays inside.
WATCHERS = 2
#: Candidates besides these: for an instance whose view of the others is older, and for
#: when the store turns the watchers away, as it may a third of all instances at once.
SPARE_WATCHERS = 2
#: Seconds for which a feeder that was silent isn't asked again where others are left:
#: some renewals of its lease, by which it notices that the store serves it again.
SILENT_MEMORY = 5.0
#: Seconds after which a feeder of another data centre is left for one that is near.
FAR_TIME = 10.0

#: A receiver whose copy was surely complete longer ago turns to another feeder, which
#: answers in milliseconds: signs of life come each second, and what is left until
#: `walkcart.membership.relaying.LATE` covers a look and that answer. So the subscribers
#: of a feeder that died don't all read the store.
SUSPECT = timedelta(seconds=1.3)


class Watchers:
    """Ranks the instances by their names, the same at each of them.

    Args:
        registration: knows the instances.
    """

    def __init__(self, registration: Registration) -> None:
        self._registration = registration
        self._order: list[str] | None = None
        registration.on_change(self._forget)

    def is_own(self) -> bool:
        """Return whether this instance is one of those that watch."""
        if self._is_few():
            return True
        return self._registration.own.name in self._ranked()[:WATCHERS]

    def choose_feeder(
        self, silent: Mapping[str, float], far_since: float = float("inf")
    ) -> str | None:
        """Return who is to feed this instance, or None when there is nobody.

        The subscribers of a data centre divide themselves over its watchers. Those of
        others are turned to where the store serves neither this instance nor these.

        Args:
            silent: when each instance that didn't feed was found silent or late last;
                who was so longest ago, or never, goes first.
            far_since: others are turned to if all near were silent since then.
        """
        own = self._registration.own.name
        near = self._near()
        names = near
        if all(silent.get(name, float("-inf")) >= far_since for name in near):
            names = self._far() or near
        spare = set(near[WATCHERS:])

        def rank(name: str) -> tuple[float, bool, int]:
            silent_at = silent.get(name, float("-inf"))
            return silent_at, name in spare, rank_rendezvous(own, name)

        return min(names, key=rank, default=None)

    def is_far(self, name: str) -> bool:
        """Return whether a feeder stands in another data centre."""
        return name not in self._near()

    def _near(self) -> list[str]:
        """Return those that may feed this instance at any time, in their order."""
        own = self._registration.own.name
        names = self._ranked()
        if not self._is_few():
            names = names[: WATCHERS + SPARE_WATCHERS]
            if own in names[WATCHERS:]:
                # Spare ones don't wait for each other.
                names = names[: names.index(own)]
        return [name for name in names if name != own]

    def _far(self) -> list[str]:
        """Return the watchers of the other data centres."""
        places: dict[str, list[str]] = {}
        for record in self._registration.others():
            if record.data_centre != self._registration.own.data_centre:
                places.setdefault(record.data_centre, []).append(record.name)
        found = []
        for place, names in places.items():
            names.sort(key=lambda name: rank_rendezvous(place, name))
            found += names[:WATCHERS]
        return found

    def _is_few(self) -> bool:
        return len(self._registration.others()) + 1 <= MAX_INSTANCES_ALL_WATCHING

    def _forget(self) -> None:
        self._order = None

    def _ranked(self) -> list[str]:
        """Return the instances that may watch, this one included, in their order."""
        if self._order is None:
            me = self._registration.own
            names = [
                record.name
                for record in self._registration.others()
                if record.peer_address
                and (record.data_centre == me.data_centre or self._is_few())
            ]
            names.append(me.name)
            names.sort(key=lambda name: rank_rendezvous(me.data_centre, name))
            self._order = names
        return self._order


class FeederChoice:
    """Whom this instance asks to feed it.

    Args:
        watchers: rank the instances.
        clock: source of time.
        is_served: returns whether the store serves this instance; one that it serves
            reads in time and adds nothing to what feeders elsewhere have to do.
    """

    def __init__(
        self, watchers: Watchers, clock: Clock, is_served: Callable[[], bool]
    ) -> None:
        self._watchers = watchers
        self._clock = clock
        self._is_served = is_served
        self.feeder: str | None = None
        self._chosen_at = float("-inf")
        #: When each instance was found silent, late or not served last.
        self._silent: dict[str, float] = {}

    def is_due(self) -> bool:
        """Return whether the present feeder has had its time."""
        return self._clock.monotonic() - self._chosen_at > SUSPECT.total_seconds()

    def is_far_for_long(self) -> bool:
        """Return whether a feeder that is near should be tried again."""
        if self.feeder is None or not self._watchers.is_far(self.feeder):
            return False
        return self._clock.monotonic() - self._chosen_at > FAR_TIME

    def leave(self) -> None:
        """Ask nobody."""
        self.feeder = None

    def turn_to_next(self) -> None:
        """Turn to who was found silent longest ago, or never."""
        self._note_silent()
        self._turn_to(self._find_next())

    def turn_to_other(self) -> bool:
        """Turn to one that wasn't found silent just now; return whether there is one.

        Without one, go back to those that watch first: they are served again first.
        """
        self._note_silent()
        other = self.find_other()
        if other is None:
            self.feeder = self._watchers.choose_feeder({})
            return False
        self._turn_to(other)
        return True

    def find_other(self) -> str | None:
        """Return who is to be asked next, unless it was found silent just now."""
        name = self._find_next()
        if name is None:
            return None
        age = self._clock.monotonic() - self._silent.get(name, float("-inf"))
        return name if age >= SUSPECT.total_seconds() else None

    def _find_next(self) -> str | None:
        far_since = float("inf")
        if not self._is_served():
            far_since = self._clock.monotonic() - SILENT_MEMORY
        return self._watchers.choose_feeder(self._silent, far_since)

    def _note_silent(self) -> None:
        if self.feeder is not None:
            self._silent[self.feeder] = self._clock.monotonic()

    def _turn_to(self, name: str | None) -> None:
        self.feeder = name
        self._chosen_at = self._clock.monotonic()
