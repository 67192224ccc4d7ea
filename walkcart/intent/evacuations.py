"""Data centres that operators have evacuated: their leaves get no requests meanwhile.

See Also:
    `walkcart.routing.eligibility`, which excludes their leaves.
    `walkcart.store.follower.PrefixFollower`, which reads them from the store.
"""

from __future__ import annotations

from collections.abc import Callable

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.store.updates import Origin

#: Receives the evacuated data centres, and those whose evacuation has just ended.
EvacuationListener = Callable[[frozenset[str], frozenset[str]], None]


class Evacuations:
    """Tracks the data centres that are evacuated now.

    Args:
        events: log of evacuations.
        metrics: receives the number of evacuated data centres.
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
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def update(self, data_centres: frozenset[str], origin: Origin) -> None:
        """Replace the set of evacuated data centres.

        Args:
            data_centres: names of all data centres that are evacuated now.
            origin: where the update came from.
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
