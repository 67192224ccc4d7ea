"""Weighted division of requests among services.

It is a smooth weighted round robin: any sequence of requests is divided closely by the
weights, without bursts to one service.

Examples:
    >>> split = WeightedSplit()
    >>> "".join(split.choose((("a", 2.0), ("b", 1.0))) for _ in range(6))
    'abaaba'
"""

from __future__ import annotations

from collections.abc import Sequence


class WeightedSplit:
    """Divides the requests of one route.

    Args:
        offset: where the division begins, from 0 to 1, so that not all instances
            begin with the same service.
    """

    def __init__(self, offset: float = 0.0) -> None:
        self._offset = offset
        self._credits: dict[str, float] = {}

    def choose(self, parts: Sequence[tuple[str, float]]) -> str:
        """Return the service of the next request.

        Args:
            parts: services and their weights, at least one of them above 0.
        """
        total = sum(weight for _, weight in parts)
        if not self._credits:
            self._credits = self._find_initial_credits(parts, total)
        for service, weight in parts:
            self._credits[service] = self._credits.get(service, 0.0) + weight
        chosen = max(parts, key=lambda part: (self._credits[part[0]], part[1]))[0]
        self._credits[chosen] -= total
        return chosen

    def _find_initial_credits(
        self, parts: Sequence[tuple[str, float]], total: float
    ) -> dict[str, float]:
        """Return the initial credits, shifted by the offset."""
        credits = dict.fromkeys((service for service, _ in parts), 0.0)
        if self._offset:
            credits[parts[-1][0]] += total * self._offset
            credits[parts[0][0]] -= total * self._offset
        return credits
