"""Limits on what this instance sends to cold leaves.

A cold leaf has just started or returned from an evacuation and can serve only a low
rate of requests. The instances share this rate.

See Also:
    `walkcart.routing.coldleaves`, which makes the decisions.
    `walkcart.membership.coldshares`, which assigns the shares of the rate.
"""

from __future__ import annotations

from collections.abc import Callable

from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import ServiceSpec
from walkcart.kernel.clock import Clock
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.leaf import Leaf
from walkcart.routing.coldleaves import (
    ColdBound,
    ColdShare,
    SendLog,
    find_offered_share,
)

#: Returns this instance's present share of the rates that the cold leaves of a data
#: centre can serve; None when it holds none.
FindShare = Callable[[str], ColdShare | None]


class ColdLimiter:
    """Keeps requests to cold leaves within this instance's share of their limits.

    Args:
        directory: the leaves.
        keeper: the services, with the rates that their cold leaves can serve.
        bound: converts such a rate into a limit on requests.
        clock: source of time.
    """

    def __init__(
        self,
        directory: LeafDirectory,
        keeper: RouteKeeper,
        bound: ColdBound,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._keeper = keeper
        self._bound = bound
        self._clock = clock
        self._logs: dict[str, SendLog] = {}
        self._find_share: FindShare = lambda data_centre: None

    def set_share_source(self, find_share: FindShare) -> None:
        """Use `find_share` to find this instance's shares."""
        self._find_share = find_share

    def wait(self, leaf: Leaf, now: float) -> float:
        """Return the seconds until a request may go to a leaf; 0 if it may go now."""
        max_requests = self._find_max_requests(leaf, now)
        if max_requests is None:
            return 0.0
        until_warm = leaf.cold_until - now
        share = self._find_share(leaf.data_centre)
        if share is None:
            return until_warm
        return min(
            until_warm,
            self._send_log_of(leaf).wait(now, share.find_limit(max_requests)),
        )

    def try_acquire(self, leaf: Leaf, now: float) -> bool:
        """Count a request that is sent now; return False if the limit forbids it."""
        max_requests = self._find_max_requests(leaf, now)
        if max_requests is None:
            self._logs.pop(leaf.id, None)
            return True
        share = self._find_share(leaf.data_centre)
        return share is not None and self._send_log_of(leaf).try_send(
            now, share.find_limit(max_requests)
        )

    def find_offered_share(self, leaf: Leaf, now: float) -> float:
        """Return the share of selections that include a leaf after its cold phase."""
        if not leaf.cold_until or now < leaf.cold_until:
            # It never was cold, or it still is and the limit applies.
            return 1.0
        spec = self._spec_of(leaf)
        if spec is None or self._bound.max_requests(spec.cold_rate) is None:
            return 1.0
        cold_time = spec.cold_time.total_seconds()
        return find_offered_share(now, leaf.cold_until, cold_time)

    def mark_cold(self, data_centres: frozenset[str]) -> None:
        """Treat the leaves of data centres that return from evacuation as cold."""
        now = self._clock.monotonic()
        for leaf in self._directory.leaves():
            spec = self._spec_of(leaf)
            if spec is not None and leaf.data_centre in data_centres:
                leaf.extend_cold(now, spec.cold_time)

    def find_bounded(self) -> frozenset[str]:
        """Return the data centres with leaves that are limited while they are cold."""
        if not self._has_bounds():
            return frozenset()
        return frozenset(
            leaf.data_centre
            for leaf in self._directory.leaves()
            if (spec := self._spec_of(leaf)) is not None and spec.cold_rate > 0.0
        )

    def find_cold(self) -> frozenset[str]:
        """Return the data centres with leaves that are cold now and limited."""
        if not self._has_bounds():
            return frozenset()
        now = self._clock.monotonic()
        return frozenset(
            leaf.data_centre
            for leaf in self._directory.leaves()
            if self._find_max_requests(leaf, now) is not None
        )

    def _has_bounds(self) -> bool:
        """Return whether any service limits its cold leaves; called twice a second."""
        services = self._keeper.table.services.values()
        return any(spec.cold_rate > 0.0 for spec in services)

    def _find_max_requests(self, leaf: Leaf, now: float) -> int | None:
        """Return the limit of a leaf over all instances; None if it has none now."""
        if now >= leaf.cold_until:
            return None
        spec = self._spec_of(leaf)
        return None if spec is None else self._bound.max_requests(spec.cold_rate)

    def _spec_of(self, leaf: Leaf) -> ServiceSpec | None:
        return self._keeper.table.services.get(leaf.labels["service"])

    def _send_log_of(self, leaf: Leaf) -> SendLog:
        if leaf.id not in self._logs:
            self._logs[leaf.id] = SendLog()
        return self._logs[leaf.id]
