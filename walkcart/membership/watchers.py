"""Choice of the instances that watch the shared store, and of each instance's feeder.

See Also:
    `walkcart.membership.relaying.Relay`, which sends and receives the feeds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from walkcart.kernel.clock import Clock
from walkcart.membership.registration import Registration
from walkcart.routing.shares import rank_rendezvous

#: In fleets up to this size every instance watches the store itself: that takes few
#: calls and avoids the extra hop.
MAX_INSTANCES_ALL_WATCHING = 12
#: Instances of each data centre that watch the store in a larger fleet. Feeds normally
#: stay within the data centre.
WATCHERS_PER_DATA_CENTRE = 2
#: Further candidates for feeders, for an instance with an outdated view of the fleet,
#: and for when the store rejects the watchers: it may reject a third of all instances
#: at once.
SPARE_WATCHERS = 2
#: Seconds for which a silent feeder isn't asked again while other candidates are left.
#: This is several renewals of its lease, by which it notices that the store is back.
SILENT_TTL = 5.0
#: Seconds after which a feeder in another data centre is dropped for a near one.
MAX_FAR_TIME = 10.0

#: A receiver whose copy was last confirmed complete longer ago switches to another
#: feeder. Heartbeats come each second, and the time left until
#: `walkcart.membership.relaying.LATE` covers one check and the reply of the new feeder,
#: which takes milliseconds. So the subscribers of a dead feeder don't all read the
#: store.
SUSPECT = timedelta(seconds=1.3)


class Watchers:
    """Ranks the instances by a hash of their names, alike at each of them.

    Args:
        registration: lists the instances.
    """

    def __init__(self, registration: Registration) -> None:
        self._registration = registration
        self._order: list[str] | None = None
        registration.on_change(self._clear_order)

    def is_watcher(self) -> bool:
        """Return whether this instance should watch the store."""
        if self._all_watch():
            return True
        return (
            self._registration.own.name
            in self._rank_candidates()[:WATCHERS_PER_DATA_CENTRE]
        )

    def list_others(self) -> list[str]:
        """Return the other instances that should watch the store."""
        if self._all_watch():
            return self._list_near()
        own = self._registration.own.name
        near = self._rank_candidates()[:WATCHERS_PER_DATA_CENTRE]
        return [name for name in near if name != own] + self._list_far()

    def find_turn(self, prefix: str) -> float:
        """Return the share of the watchers that check a prefix before this instance."""
        own = rank_rendezvous(prefix, self._registration.own.name)
        others = self.list_others()
        before = sum(rank_rendezvous(prefix, name) < own for name in others)
        return before / (len(others) + 1)

    def choose_feeder(
        self, silent: Mapping[str, float], far_since: float = float("inf")
    ) -> str | None:
        """Return the instance to be fed by, or None if there is no candidate.

        The subscribers of a data centre are spread over its watchers. Watchers of other
        data centres are chosen only if all near ones are silent.

        Args:
            silent: the time at which each instance last failed to feed this one. Those
                that never failed come first, then those that failed longest ago.
            far_since: other data centres are considered if all near candidates failed
                at or after this time; infinite, so that this is never the case, while
                the store serves this instance.
        """
        own = self._registration.own.name
        near = self._list_near()
        names = near
        if all(silent.get(name, float("-inf")) >= far_since for name in near):
            names = self._list_far() or near
        spare = set(near[WATCHERS_PER_DATA_CENTRE:])

        def rank(name: str) -> tuple[float, bool, int]:
            silent_at = silent.get(name, float("-inf"))
            return silent_at, name in spare, rank_rendezvous(own, name)

        return min(names, key=rank, default=None)

    def is_far(self, name: str) -> bool:
        """Return whether a feeder is in another data centre."""
        return name not in self._list_near()

    def _list_near(self) -> list[str]:
        """Return the feeder candidates in this data centre, by rank."""
        own = self._registration.own.name
        names = self._rank_candidates()
        if not self._all_watch():
            names = names[: WATCHERS_PER_DATA_CENTRE + SPARE_WATCHERS]
            if own in names[WATCHERS_PER_DATA_CENTRE:]:
                # A spare candidate asks only those ranked before it, so that two of
                # them don't wait for each other.
                names = names[: names.index(own)]
        return [name for name in names if name != own]

    def _list_far(self) -> list[str]:
        """Return the watchers of the other data centres."""
        by_data_centre: dict[str, list[str]] = {}
        for record in self._registration.others():
            if record.data_centre != self._registration.own.data_centre:
                by_data_centre.setdefault(record.data_centre, []).append(record.name)
        found = []
        for place, names in by_data_centre.items():
            names.sort(key=lambda name: rank_rendezvous(place, name))
            found += names[:WATCHERS_PER_DATA_CENTRE]
        return found

    def _all_watch(self) -> bool:
        return len(self._registration.others()) + 1 <= MAX_INSTANCES_ALL_WATCHING

    def _clear_order(self) -> None:
        self._order = None

    def _rank_candidates(self) -> list[str]:
        """Return the instances that may watch, this one included, by rank."""
        if self._order is None:
            own = self._registration.own
            names = [
                record.name
                for record in self._registration.others()
                if record.peer_address
                and (record.data_centre == own.data_centre or self._all_watch())
            ]
            names.append(own.name)
            names.sort(key=lambda name: rank_rendezvous(own.data_centre, name))
            self._order = names
        return self._order


class FeederChoice:
    """Chooses the feeder of this instance, and another one when it fails.

    Args:
        watchers: ranks the candidates.
        clock: source of time.
        is_store_reachable: returns whether this instance can reach the store. If it
            can, it reads the store in time and doesn't load feeders in other data
            centres.
    """

    def __init__(
        self, watchers: Watchers, clock: Clock, is_store_reachable: Callable[[], bool]
    ) -> None:
        self._watchers = watchers
        self._clock = clock
        self._is_store_reachable = is_store_reachable
        self.feeder: str | None = None
        self._chosen_at = float("-inf")
        #: When each instance was last silent, late or unable to feed.
        self._silent: dict[str, float] = {}

    def is_grace_over(self) -> bool:
        """Return whether the current feeder has had enough time to answer."""
        return self._clock.monotonic() - self._chosen_at > SUSPECT.total_seconds()

    def is_far_too_long(self) -> bool:
        """Return whether the feeder is far and in use for more than `MAX_FAR_TIME`."""
        if self.feeder is None or not self._watchers.is_far(self.feeder):
            return False
        return self._clock.monotonic() - self._chosen_at > MAX_FAR_TIME

    def clear(self) -> None:
        """Stop using the current feeder."""
        self.feeder = None

    def switch_to_next(self) -> None:
        """Switch to the candidate that never failed or failed longest ago."""
        self._record_silent()
        self._switch_to(self._find_longest_silent())

    def switch_to_other(self) -> bool:
        """Switch to a candidate that hasn't just failed; return whether there is one.

        Without one, switch back to the first-ranked candidate: the watchers are the
        first to be served again.
        """
        self._record_silent()
        other = self.find_responsive()
        if other is None:
            self.feeder = self._watchers.choose_feeder({})
            return False
        self._switch_to(other)
        return True

    def find_responsive(self) -> str | None:
        """Return the next candidate, or None if it has just failed."""
        name = self._find_longest_silent()
        if name is None:
            return None
        age = self._clock.monotonic() - self._silent.get(name, float("-inf"))
        return name if age >= SUSPECT.total_seconds() else None

    def _find_longest_silent(self) -> str | None:
        """Return the candidate that never failed or failed longest ago."""
        far_since = float("inf")
        if not self._is_store_reachable():
            far_since = self._clock.monotonic() - SILENT_TTL
        return self._watchers.choose_feeder(self._silent, far_since)

    def _record_silent(self) -> None:
        if self.feeder is not None:
            self._silent[self.feeder] = self._clock.monotonic()

    def _switch_to(self, name: str | None) -> None:
        self.feeder = name
        self._chosen_at = self._clock.monotonic()
