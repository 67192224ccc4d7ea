"""The state that an instance keeps for one leaf."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from walkcart.kernel.numbers import read_number
from walkcart.routing.distance import Location
from walkcart.routing.ejection import Ejection
from walkcart.routing.latency import DecayedLatency
from walkcart.routing.leaflimiter import LeafLimiter
from walkcart.routing.successrate import SuccessRate

#: Seconds after which a leaf's reported load counts for half.
LOAD_HALF_LIFE = 0.1
#: Longest cold phase that one report of a leaf, or one configuration, can begin: cold
#: leaves take some seconds. A leaf that is cold for longer reports it with each reply.
MAX_COLD_TIME = timedelta(minutes=10)


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """One state of a shard group's data.

    Args:
        layout: epoch of the layout.
        version: index version; 0 means any version.
    """

    layout: int
    version: int

    def __str__(self) -> str:
        return f"{self.layout}:{self.version}"


#: Version of a snapshot for which replies of any version are accepted.
ANY_VERSION = 0
#: The snapshot of a request that any snapshot may answer.
UNPINNED = Snapshot(0, ANY_VERSION)


class BadSnapshot(ValueError):
    """A text that is not a valid snapshot."""


def parse_snapshot(text: str) -> Snapshot:
    """Parse ``layout:version``.

    Raises:
        BadSnapshot: the text doesn't consist of two whole numbers.
    """
    first, _, second = text.partition(":")
    layout, version = read_number(first), read_number(second)
    if layout is None or version is None:
        raise BadSnapshot(text[:40])
    return Snapshot(layout, version)


class Leaf:
    """One leaf: its place, its last report and its recent performance.

    Args:
        address: ``IP:port``.
        labels: labels from the instance list.
        slots: number of requests that it runs at once.
        id: id of its process, where leaves have one.
    """

    def __init__(
        self, address: str, labels: dict[str, str], slots: int, id: str = ""
    ) -> None:
        self.id = id
        self.address = address
        self.labels = labels
        self.slots = slots
        self.incarnation = 0
        self.outstanding = 0
        self.room = LeafLimiter(slots)
        self.latency = DecayedLatency()
        self.ejection = Ejection()
        self.replies = SuccessRate()
        self.held: frozenset[int] | None = None
        self.first_used: float | None = None
        #: Until when it is cold, by its own statement or because of an evacuation.
        self.cold_until = 0.0
        #: Send times of the requests in progress there, by attempt id, oldest first.
        self.in_flight: dict[str, float] = {}
        self.last_reply_at = 0.0
        self._reported = 0.0
        self._reported_at = 0.0

    @property
    def region(self) -> str:
        """Region of the leaf."""
        return self.labels.get("region", "")

    @property
    def data_centre(self) -> str:
        """Data centre of the leaf."""
        return self.labels.get("data-centre", "")

    @property
    def place(self) -> Location:
        """Region and data centre of the leaf."""
        return Location(self.region, self.data_centre)

    def record_load(self, now: float, outstanding: int, waiting: int = 0) -> None:
        """Record the load that the leaf reported, less this instance's own requests.

        Args:
            now: the present, in seconds.
            outstanding: number of requests that the leaf has.
            waiting: number of requests queued inside this instance for the leaf.
        """
        own = self.outstanding - waiting
        self._reported = max(0.0, float(outstanding - own))
        self._reported_at = now

    def reported_load(self, now: float) -> float:
        """Return the estimated number of requests of other instances at the leaf."""
        return self._reported * 0.5 ** ((now - self._reported_at) / LOAD_HALF_LIFE)

    def extend_cold(self, now: float, cold_time: timedelta) -> None:
        """Set the end of its cold phase, which is never moved to an earlier time."""
        until = now + min(cold_time, MAX_COLD_TIME).total_seconds()
        self.cold_until = max(self.cold_until, until)

    def age(self, now: float) -> float:
        """Return the seconds since this instance first used this incarnation of it."""
        if self.first_used is None:
            self.first_used = now
        return now - self.first_used

    def update_incarnation(self, incarnation: int) -> None:
        """Record the leaf's incarnation; a new one resets its statistics."""
        if incarnation <= self.incarnation:
            return
        if self.incarnation:
            self.first_used = None
            self.latency = DecayedLatency()
            self.held = None
        self.incarnation = incarnation
