"""The routing document in force at this instance.

It is replaced only by one of a higher version, whoever brings it, so that what was
in force never comes back.

See Also:
    `walkcart.store.follower.PrefixFollower`, which brings stored documents.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite

from walkcart.intent.routes import RouteTable, RoutingDocument
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.routing.eligibility import Regions
from walkcart.store.updates import Origin

#: Told the new table; must not wait.
RouteListener = Callable[[RouteTable], None]


class RouteKeeper:
    """Holds the routing document in force.

    Args:
        clock: source of time.
        events: where changes are logged.
        metrics: where the version in force and its delay are shown.
        regions: that there are; None where that isn't known.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        regions: frozenset[str] | None = None,
    ) -> None:
        self._regions = regions
        self._unknown: set[str] = set()
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._listeners: list[RouteListener] = []
        self.table = RouteTable(RoutingDocument(0))
        self.applied_at = clock.monotonic()

    @property
    def known(self) -> bool:
        """Whether any document is in force."""
        return self.table.document.version > 0

    def on_change(self, listener: RouteListener) -> None:
        """Call `listener` with each new table."""
        self._listeners.append(listener)

    def apply(self, document: RoutingDocument, origin: Origin) -> bool:
        """Put `document` in force if it is newer; return whether it was.

        Args:
            document: a routing document.
            origin: who brought it, and how long after it was read from the store.
        """
        held = self.table.document.version
        if document.version <= held:
            self._events.emit(
                Events.ROUTES_IGNORED,
                version=document.version,
                held=held,
                source=origin.source,
            )
            return False
        known = isfinite(origin.delay)
        self.table = RouteTable(document)
        self.applied_at = self._clock.monotonic()
        self._events.emit(
            Events.ROUTES_IN_FORCE,
            version=document.version,
            replaced=held,
            routes=len(document.routes),
            services=len(document.services),
            teams=None if document.teams is None else len(document.teams),
            source=origin.source,
            delay_ms=round(origin.delay * 1000, 1) if known else None,
        )
        self._metrics.gauge("intent.revision", document.version)
        if known:
            self._metrics.time("intent.delay", origin.delay * 1000)
        self._note_unknown_regions(document)
        for listener in self._listeners:
            listener(self.table)
        return True

    def _note_unknown_regions(self, document: RoutingDocument) -> None:
        """Log regions that no data centre is in, once each: they serve nothing."""
        if self._regions is None:
            return
        for route in document.routes:
            for region in self._find_unknown(route.regions):
                self._events.emit(
                    Events.ROUTE_REGION_UNKNOWN, region=region, route=route.name
                )
        for team in document.teams or ():
            for region in self._find_unknown(team.regions):
                self._events.emit(
                    Events.TEAM_REGION_UNKNOWN, region=region, team=team.name
                )

    def _find_unknown(self, regions: Regions) -> list[str]:
        """Return the regions that no data centre is in and that weren't logged yet."""
        named = regions.names or frozenset()
        unknown = sorted(named - (self._regions or frozenset()) - self._unknown)
        self._unknown.update(unknown)
        return unknown
