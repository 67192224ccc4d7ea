"""The observed times of each kind of request, by the distance of the leaves."""

from __future__ import annotations

from walkcart.routing.distance import Distance
from walkcart.routing.requesttimes import RequestTimes

#: Number of kinds of requests and distances whose times are kept: those that were used
#: last. Peers name kinds too, in what they ask for.
MAX_OBSERVED_KINDS = 2048
#: Number of characters by which kinds are told apart.
MAX_KIND_LENGTH = 256
#: Seconds that a request is assumed to take until one was observed, by distance.
INITIAL_TIMES = {
    Distance.SAME_DATA_CENTRE: 0.03,
    Distance.SAME_REGION: 0.032,
    Distance.OTHER_REGION: 0.05,
}


class ObservedTimes:
    """Holds the times of the kinds of requests that were used last."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, Distance], RequestTimes] = {}

    def __len__(self) -> int:
        return len(self._times)

    def find(self, kind: str, distance: Distance) -> RequestTimes:
        """Return the observed times of a kind of request at leaves at a distance."""
        key = (kind[:MAX_KIND_LENGTH], distance)
        times = self._times.pop(key, None) or RequestTimes(INITIAL_TIMES[distance])
        # The last place is that of the latest use.
        self._times[key] = times
        if len(self._times) > MAX_OBSERVED_KINDS:
            del self._times[next(iter(self._times))]
        return times
