"""Admission control of this instance, one limiter for each service."""

from __future__ import annotations

from walkcart.kernel.clock import Clock
from walkcart.routing.admission import Admission


class Admissions:
    """Creates one admission limiter for each service on first use and keeps it.

    Args:
        clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_service: dict[str, Admission] = {}

    def for_service(self, service: str) -> Admission:
        """Return the admission limiter of a service."""
        if service not in self._by_service:
            self._by_service[service] = Admission(self._clock)
        return self._by_service[service]

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the limit and the number of queries in progress, by service."""
        return {
            name: {"limit": item.limit, "in_progress": item.in_progress}
            for name, item in sorted(self._by_service.items())
        }
