"""Limits the requests that one instance sends to a leaf at once.

It matters when leaves take several times as long as usual. Requests in a leaf's own
queue can't be reordered any more, so a request that would miss its objective there
waits inside this instance instead. Where a single long request would make an urgent
one miss its objective, one slot is reserved for urgent requests. Neither rule has an
effect at a leaf that works at its usual speed with little load.

Examples:
    >>> limiter = LeafLimiter(slots=2)
    >>> busy = SlotRequest(rank=1, left=0.17, time=0.02)
    >>> limiter.allows(busy, sent=1, others=0.0, now=0.0)
    True
    >>> limiter.record_urgent(rank=0, objective=0.09, now=0.0)
    >>> slow = SlotRequest(rank=1, left=0.17, time=0.2)
    >>> limiter.allows(slow, sent=1, others=0.0, now=0.0)
    False
    >>> limiter.allows(SlotRequest(rank=0, left=0.09, time=0.06), 1, 0.0, now=0.0)
    True
"""

from __future__ import annotations

from dataclasses import dataclass

#: Share of an urgent request's objective that it may wait for a slot of a slow leaf.
#: The other half is for the work itself, the network and the merge.
MAX_WAIT_SHARE = 0.5
#: Slots of a slow leaf that less urgent requests leave free for urgent ones.
RESERVED_SLOTS = 1
#: Seconds after its last request at which an urgent rank is no longer expected.
#: Reserving for it any longer would cost the others a slot for nothing.
EXPECTED_TIME = 2.0
#: Factor by which an expected delay may be overestimated: a request is refused for
#: lack of capacity only when it is certain to be late.
DELAY_MARGIN = 1.5


def estimate_queue_delay(ahead: int, slots: int, time: float) -> float:
    """Return the seconds until a request gets its turn at a leaf.

    Args:
        ahead: number of requests that go before it.
        slots: number of requests that the leaf runs at once.
        time: recent service time of a request there, in seconds.

    Examples:
        >>> estimate_queue_delay(ahead=6, slots=2, time=0.2)
        0.8
    """
    return (ahead + slots) / max(1, slots) * time


def is_too_late(delay: float, left: float) -> bool:
    """Return whether a request is certain to be served too late.

    Args:
        delay: expected seconds until its turn.
        left: seconds until its caller stops waiting.
    """
    return delay / DELAY_MARGIN > left


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that is to be sent to a leaf.

    Args:
        rank: urgency; 0 is the most urgent.
        left: seconds to the end of its objective; infinite without an objective.
        time: recent service time of such a request at this leaf, in seconds.
    """

    rank: int
    left: float
    time: float


@dataclass(frozen=True, slots=True)
class _ExpectedRank:
    """The objective of a rank that may come, and when it was last seen."""

    objective: float
    at: float


class LeafLimiter:
    """Decides what this instance may send to one leaf.

    Args:
        slots: number of requests that the leaf runs at once.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._expected: dict[int, _ExpectedRank] = {}

    def record_urgent(self, rank: int, objective: float, now: float) -> None:
        """Record that requests of a rank arrive.

        Args:
            rank: urgency; 0 is the most urgent.
            objective: seconds within which they are to be answered.
            now: current time, in seconds.
        """
        self._expected[rank] = _ExpectedRank(objective, now)

    def allows(
        self, request: SlotRequest, sent: int, others: float, now: float
    ) -> bool:
        """Return whether a request may be sent now; otherwise it waits here.

        Args:
            request: the request.
            sent: number of requests of this instance at the leaf.
            others: estimated number of requests of other instances at the leaf.
            now: current time, in seconds.
        """
        if not sent:
            # One request may always go: its reply shows when there is capacity again.
            return True
        load = sent + others
        if load + 1 > self._slots - self._reserved(request, now):
            return self._may_queue(request, load, now)
        return True

    def _may_queue(self, request: SlotRequest, load: float, now: float) -> bool:
        """Return whether a request meets its objective from the leaf's own queue."""
        if self._reserved(request, now):
            return False
        ahead = load + 1 - self._slots
        wait = ahead / self._slots * request.time
        return wait + request.time <= request.left

    def _reserved(self, request: SlotRequest, now: float) -> int:
        """Return the number of slots that a request leaves to more urgent ones."""
        wait = request.time / self._slots
        for rank, expected in self._expected.items():
            if rank >= request.rank or now - expected.at > EXPECTED_TIME:
                continue
            if wait > MAX_WAIT_SHARE * expected.objective:
                return RESERVED_SLOTS
        return 0
