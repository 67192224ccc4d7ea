"""Which instances watch the shared store for the others of their data centre.

See Also:
    `walkcart.membership.relaying.Relay`, which feeds and is fed.
"""

from __future__ import annotations

from collections.abc import Mapping

from walkcart.membership.registration import Registration
from walkcart.routing.shares import rank_rendezvous

#: Fleets up to this size watch the store with every instance: few calls, no detour.
FEW_INSTANCES = 12
#: Instances of each data centre that watch the store in a larger fleet: what they pass
#: on stays inside.
WATCHERS = 2
#: Candidates besides these, for an instance whose view of the others is older.
SPARE_WATCHERS = 1
#: Seconds for which one that didn't feed isn't hoped for: some renewals of its lease,
#: by which it notices that the store serves it again.
SILENT_MEMORY = 5.0


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
        names = [name for name in self._ranked() if name != own]
        return names if self._is_few() else names[: WATCHERS + SPARE_WATCHERS]

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
        return len(self._registration.others()) + 1 <= FEW_INSTANCES

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
