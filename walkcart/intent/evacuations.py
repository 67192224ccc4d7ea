"""Data centres whose leafs operators want to get nothing, for a while.

See Also:
    `walkcart.routing.eligibility`, which decides by them.
    `walkcart.store.follower.PrefixFollower`, whose copy brings them.
"""

from __future__ import annotations

from collections.abc import Callable

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.store.updates import Origin

#: Told the evacuated data centres, and those that have just been taken back.
EvacuationListener = Callable[[frozenset[str], frozenset[str]], None]


class Evacuations:
    """Holds the data centres that are evacuated now.

    Args:
        events: where they are logged.
        metrics: where their number is shown.
        known: names of all data centres; others are logged as unknown.
    """

    def __init__(
        self, events: EventLog, metrics: Metrics, known: frozenset[str]
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._known = known
        self._listeners: list[EvacuationListener] = []
        self.data_centres: frozenset[str] = frozenset()

    def on_change(self, listener: EvacuationListener) -> None:
        """Call `listener` with each change."""
        self._listeners.append(listener)

    def take(self, data_centres: frozenset[str], origin: Origin) -> None:
        """Take all evacuations that stand now.

        Args:
            data_centres: that are evacuated.
            origin: who brought the news.
        """
        before, self.data_centres = self.data_centres, data_centres
        if data_centres == before:
            return
        ended = before - data_centres
        for name in sorted(data_centres - before):
            self._events.emit(
                Events.EVACUATED,
                data_centre=name,
                known=name in self._known,
                source=origin.source,
            )
        for name in sorted(ended):
            self._events.emit(
                Events.EVACUATION_ENDED, data_centre=name, source=origin.source
            )
        self._metrics.gauge("intent.evacuated", len(data_centres))
        for listener in self._listeners:
            listener(data_centres, ended)
