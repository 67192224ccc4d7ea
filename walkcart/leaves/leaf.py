"""What an instance knows of one leaf."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.kernel.numbers import read_number
from walkcart.routing.distance import Place
from walkcart.routing.ejection import Ejection
from walkcart.routing.latency import DecayedLatency
from walkcart.routing.leafroom import LeafRoom
from walkcart.routing.replyshare import ReplyShare

#: Seconds after which half of a leaf's stated load is forgotten.
LOAD_HALF_LIFE = 0.1


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """One state of a shard group's data.

    Args:
        layout: epoch of the layout.
        version: index version; 0 stands for "any".
    """

    layout: int
    version: int

    def __str__(self) -> str:
        return f"{self.layout}:{self.version}"


ANY_VERSION = 0
#: The snapshot of a request that leaves it to the leaf.
UNPINNED = Snapshot(0, ANY_VERSION)


class BadSnapshot(ValueError):
    """A text that is no snapshot."""


def parse_snapshot(text: str) -> Snapshot:
    """Read ``layout:version``.

    Raises:
        BadSnapshot: not two whole numbers.
    """
    first, _, second = text.partition(":")
    layout, version = read_number(first), read_number(second)
    if layout is None or version is None:
        raise BadSnapshot(text[:40])
    return Snapshot(layout, version)


class Leaf:
    """One leaf: its place, what it said last, and how it has been doing.

    Args:
        address: ``IP:port``.
        labels: as the instance list gives them.
        slots: requests that it runs at once.
        id: of its process life, where leafs name theirs.
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
        self.room = LeafRoom(slots)
        self.latency = DecayedLatency()
        self.ejection = Ejection()
        self.replies = ReplyShare()
        self.held: frozenset[int] | None = None
        self.first_used: float | None = None
        #: Until when it is cold, as it said itself or as follows from an evacuation.
        self.cold_until = 0.0
        #: When the oldest requests under way there were sent, by attempt.
        self.in_flight: dict[str, float] = {}
        self.last_reply_at = 0.0
        self._reported = 0.0
        self._reported_at = 0.0

    @property
    def region(self) -> str:
        """Region that it stands in."""
        return self.labels.get("region", "")

    @property
    def data_centre(self) -> str:
        """Data centre that it stands in."""
        return self.labels.get("data-centre", "")

    @property
    def place(self) -> Place:
        """Where it stands."""
        return Place(self.region, self.data_centre)

    def note_stated(self, now: float, outstanding: int, waiting: int = 0) -> None:
        """Take in the leaf's word on its load; this instance's part is taken off.

        Args:
            now: the present, in seconds.
            outstanding: requests that the leaf has.
            waiting: requests that wait inside this instance for the leaf.
        """
        own = self.outstanding - waiting
        self._reported = max(0.0, float(outstanding - own))
        self._reported_at = now

    def stated_load(self, now: float) -> float:
        """Return the requests of others that likely are there still."""
        return self._reported * 0.5 ** ((now - self._reported_at) / LOAD_HALF_LIFE)

    def extend_cold(self, until: float) -> None:
        """Take in until when it is cold; it never becomes warm sooner than it said."""
        self.cold_until = max(self.cold_until, until)

    def age(self, now: float) -> float:
        """Return the seconds since this instance first used this life of it."""
        if self.first_used is None:
            self.first_used = now
        return now - self.first_used

    def update_incarnation(self, incarnation: int) -> None:
        """Take in the life that the leaf stated; a new one starts cold."""
        if incarnation <= self.incarnation:
            return
        if self.incarnation:
            self.first_used = None
            self.latency = DecayedLatency()
            self.held = None
        self.incarnation = incarnation
