"""The admission of each service at this instance."""

from __future__ import annotations

from walkcart.kernel.clock import Clock
from walkcart.routing.admission import Admission


class Admissions:
    """Makes and keeps one admission for each service.

    Args:
        clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_service: dict[str, Admission] = {}

    def of(self, service: str) -> Admission:
        """Return the admission of a service."""
        if service not in self._by_service:
            self._by_service[service] = Admission(self._clock)
        return self._by_service[service]

    def describe(self) -> dict[str, dict[str, int]]:
        """Return limit and queries in progress by service."""
        return {
            name: {"limit": item.limit, "in_progress": item.in_progress}
            for name, item in sorted(self._by_service.items())
        }
