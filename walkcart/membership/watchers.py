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
#: Candidates besides these: for an instance whose view of the others is older, and for
#: when the store turns the watchers away, as it may a third of all instances at once.
SPARE_WATCHERS = 2


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

    def choose_feeder(self, silent: Mapping[str, float]) -> str | None:
        """Return who is to feed this instance, or None when there is nobody.

        The subscribers of a data centre divide themselves over its watchers.

        Args:
            silent: when each instance that didn't feed was found silent or late last;
                who was so longest ago, or never, goes first.
        """
        own = self._registration.own.name
        names = self._ranked()
        if not self._is_few():
            names = names[: WATCHERS + SPARE_WATCHERS]
            if own in names[WATCHERS:]:
                # Spare ones don't wait for each other.
                names = names[: names.index(own)]
        names = [name for name in names if name != own]
        spare = set(names[WATCHERS:])

        def rank(name: str) -> tuple[float, bool, int]:
            silent_at = silent.get(name, float("-inf"))
            return silent_at, name in spare, rank_rendezvous(own, name)

        return min(names, key=rank, default=None)

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
