"""How much of an instance's work a leaf gets at once, and what is kept for the urgent.

The load it answers: leafs that take several times as long as usual. What waits in such
a leaf's own queue can't be put in order any more, so what would come too late from
there for its objective is kept inside this instance. Where a single long request would
make an urgent one miss its objective, one slot is left to the urgent. Neither binds at
a leaf that works at its usual pace with little to do.

Examples:
    >>> room = LeafLimiter(slots=2)
    >>> busy = SlotRequest(rank=1, left=0.17, time=0.02)
    >>> room.allows(busy, sent=1, others=0.0, now=0.0)
    True
    >>> room.record_urgent(rank=0, objective=0.09, now=0.0)
    >>> slow = SlotRequest(rank=1, left=0.17, time=0.2)
    >>> room.allows(slow, sent=1, others=0.0, now=0.0)
    False
    >>> room.allows(SlotRequest(rank=0, left=0.09, time=0.06), 1, 0.0, now=0.0)
    True
"""

from __future__ import annotations

from dataclasses import dataclass

#: Share of an urgent kind's objective that it may wait for a slow leaf's slot: the
#: other half is for the work, the way and the merge.
WAIT_SHARE = 0.5
#: Slots that requests of lower urgency leave free for urgent ones at a slow leaf.
RESERVED_SLOTS = 1
#: Seconds after which an urgent kind that wasn't asked for is no longer expected: the
#: reserve would cost the others a slot for nothing.
EXPECTED_TIME = 2.0
#: Factor by which an expected delay may be too long: a request is refused for want of
#: room only when it surely comes too late.
DELAY_MARGIN = 1.5


def estimate_queue_delay(ahead: int, slots: int, time: float) -> float:
    """Return the seconds until a request gets its turn at a leaf.

    Args:
        ahead: requests that go before it.
        slots: requests that the leaf runs at once.
        time: seconds that one takes there of late.

    Examples:
        >>> estimate_queue_delay(ahead=6, slots=2, time=0.2)
        0.8
    """
    return (ahead + slots) / max(1, slots) * time


def is_too_late(delay: float, left: float) -> bool:
    """Return whether a request surely can't be served any more.

    Args:
        delay: seconds until its turn, as expected.
        left: seconds until its caller leaves.
    """
    return delay / DELAY_MARGIN > left


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that is to be sent to a leaf.

    Args:
        rank: 0 is the most urgent.
        left: seconds to the end of its objective; infinite where it has none.
        time: seconds that such a request takes at this leaf of late.
    """

    rank: int
    left: float
    time: float


@dataclass(frozen=True, slots=True)
class _Expected:
    """An urgent kind that may come: its objective and when it was seen last."""

    objective: float
    at: float


class LeafLimiter:
    """What one leaf may be sent by this instance.

    Args:
        slots: requests that the leaf runs at once.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._expected: dict[int, _Expected] = {}

    def record_urgent(self, rank: int, objective: float, now: float) -> None:
        """Note that requests of a rank come, with so many seconds of objective."""
        self._expected[rank] = _Expected(objective, now)

    def allows(
        self, request: SlotRequest, sent: int, others: float, now: float
    ) -> bool:
        """Return whether a request may be sent now, or else waits here.

        Args:
            request: the request.
            sent: requests of this instance that the leaf has.
            others: requests of other instances that it likely has.
            now: the present, in seconds.
        """
        if not sent:
            # Its reply is what tells that there is room again.
            return True
        load = sent + others
        if load + 1 > self._slots - self._reserved(request, now):
            return self._may_queue(request, load, now)
        return True

    def _may_queue(self, demand: SlotRequest, load: float, now: float) -> bool:
        """Return whether a request comes in time from the leaf's own queue."""
        if self._reserved(demand, now):
            return False
        ahead = load + 1 - self._slots
        wait = ahead / self._slots * demand.time
        return wait + demand.time <= demand.left

    def _reserved(self, demand: SlotRequest, now: float) -> int:
        """Return the slots that a request leaves to more urgent ones."""
        wait = demand.time / self._slots
        for rank, expected in self._expected.items():
            if rank >= demand.rank or now - expected.at > EXPECTED_TIME:
                continue
            if wait > WAIT_SHARE * expected.objective:
                return RESERVED_SLOTS
        return 0
