"""How far one routed question has come at one service."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.leaves.attempts import Replied
from walkcart.leaves.leaf import Leaf
from walkcart.routing.distance import Location
from walkcart.wire.verdicts import NotRun, Reason


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt under way.

    Args:
        leaf: that has it.
        at: when it was sent, in seconds.
        hedge_at: when a second one is due beside it.
        last_hedge_at: until when that one may wait for a leaf with a free slot.
        again: whether the leaf may have run the question before.
    """

    leaf: Leaf
    at: float
    hedge_at: float
    last_hedge_at: float = float("-inf")
    again: bool = False


@dataclass(slots=True)
class ServiceProgress:
    """One service of one question.

    Args:
        service: its name.
        reply: accepted.
        delegated: whether another instance is at work on it.
        gathered: whether another instance gathered its part.
        failure: last reply that told of a failure.
        under_way: attempts by id.
        tried: ids of leafs that got it, in order.
        arrived: attempts that may have reached a leaf.
        ran: leafs that may have run it, whether asked from here or elsewhere.
        ran_at: ids of those among them that were asked from here.
        lost_at: ids of those among these that live and whose answer was lost.
        closed: whether no leaf may get it any longer that didn't have it.
        ended: leafs that ended under it.
        next_at: when the next attempt is due; None when none is.
        given_up: whether no further attempt will be made.
        held_back: whether an attempt was not made to leave the budget's reserve alone.
        reason: why there is no reply yet.
        refusal: the last word that an attempt did not run.
        places: where it was asked.
        left: whether it waits to be asked for in another region with other late ones;
            the budget of repeats holds the request.
        may_repeat: whether the budget holds a request that another instance may send.
        regrouped: whether it was asked for there.
        awaited: whether another instance still waits for an attempt of its own.
        part: that such an attempt brought.
    """

    service: str
    reply: Replied | None = None
    delegated: bool = False
    gathered: bool = False
    failure: Replied | None = None
    under_way: dict[str, Sent] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    arrived: int = 0
    ran: int = 0
    ran_at: set[str] = field(default_factory=set)
    lost_at: set[str] = field(default_factory=set)
    closed: bool = False
    ended: int = 0
    next_at: float | None = None
    given_up: bool = False
    held_back: bool = False
    reason: Reason = Reason.DEADLINE
    refusal: NotRun | None = None
    places: set[Location] = field(default_factory=set)
    left: bool = False
    may_repeat: bool = False
    regrouped: bool = False
    awaited: bool = False
    part: MergedAnswer | None = None

    @property
    def why_missing(self) -> Reason:
        """Why there is no part; a leaf that ended outweighs what came after."""
        return Reason.LEAF_ENDED if self.ended else self.reason

    @property
    def covered(self) -> bool:
        """Whether its part is in."""
        return self.gathered or self.reply is not None or self.part is not None

    @property
    def open(self) -> bool:
        """Whether its part may still come."""
        if self.covered:
            return False
        if self.delegated or self.left or self.awaited:
            return True
        return bool(self.under_way) or self.next_at is not None

    @property
    def may_run(self) -> int:
        """Leafs that ran it, may have run it, or may run it yet.

        One that another instance asks counts, also beside one of this instance's. A
        leaf that gets it once more counts once.
        """
        first = sum(1 for sent in self.under_way.values() if not sent.again)
        return self.ran + first + int(self.delegated)

    def note_ran(self, leaf_id: str) -> None:
        """Note that a leaf that was asked from here may have run it."""
        if leaf_id not in self.ran_at:
            self.ran_at.add(leaf_id)
            self.ran += 1
