"""Progress of one routed question at one service."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.leaves.attempts import Replied
from walkcart.leaves.leaf import Leaf
from walkcart.routing.distance import Location
from walkcart.wire.verdicts import NotRun, Reason


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt under way. Times are on the kernel's monotonic clock, in seconds.

    Args:
        leaf: the leaf that got it.
        at: time at which it was sent.
        hedge_at: time from which a hedge is due.
        last_hedge_at: time until which the hedge may wait for a leaf with a free slot.
        to_same_leaf: whether the leaf may have run the question before.
    """

    leaf: Leaf
    at: float
    hedge_at: float
    last_hedge_at: float = float("-inf")
    to_same_leaf: bool = False


@dataclass(slots=True)
class ServiceProgress:
    """The state of one question at one service.

    Args:
        service: name of the service.
        reply: the accepted reply, or None.
        delegated: whether another instance is gathering the part.
        gathered: whether the part is in an answer that another instance merged.
        failure: the last failure reply of a leaf.
        under_way: attempts under way, by id.
        tried: ids of the leaves that this instance asked, in order.
        lost_elsewhere: ids of the leaves whose answers other instances lost, one for
            each request.
        arrived: number of attempts that may have reached a leaf.
        ran: number of leaves that may have run it, asked by any instance.
        ran_leaf_ids: ids of those leaves that are known here: this instance asked them,
            or another instance lost their answers.
        lost_leaf_ids: ids of those among them that are alive and whose answer was
            lost.
        closed: whether only leaves that have already had the question may get it.
        ended: number of leaves that crashed under it.
        next_at: time at which the next attempt is due; None when none is planned.
        given_up: whether no further attempt will be made.
        held_back: whether an attempt wasn't made, to spare the budget's reserve.
        reason: why there is no reply yet.
        refusal: the last verdict that an attempt did not run.
        places: places in which it was asked.
        deferred: whether it waits to be requested in another region together with
            other late parts; the repeat budget already accounts for the request.
        may_repeat: whether the budget accounts for a request that the asking instance
            may send.
        regrouped: whether it was requested in another region with other late parts.
        awaited: whether another instance still waits for its own attempt.
        part: the late part that such an attempt brought.
    """

    service: str
    reply: Replied | None = None
    delegated: bool = False
    gathered: bool = False
    failure: Replied | None = None
    under_way: dict[str, Sent] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    lost_elsewhere: list[str] = field(default_factory=list)
    arrived: int = 0
    ran: int = 0
    ran_leaf_ids: set[str] = field(default_factory=set)
    lost_leaf_ids: set[str] = field(default_factory=set)
    closed: bool = False
    ended: int = 0
    next_at: float | None = None
    given_up: bool = False
    held_back: bool = False
    reason: Reason = Reason.DEADLINE
    refusal: NotRun | None = None
    places: set[Location] = field(default_factory=set)
    deferred: bool = False
    may_repeat: bool = False
    regrouped: bool = False
    awaited: bool = False
    part: MergedAnswer | None = None

    @property
    def why_missing(self) -> Reason:
        """Why the part is missing; a leaf's crash outranks later reasons."""
        return Reason.LEAF_ENDED if self.ended else self.reason

    @property
    def covered(self) -> bool:
        """Whether the part has arrived."""
        return self.gathered or self.reply is not None or self.part is not None

    @property
    def open(self) -> bool:
        """Whether the part may still arrive."""
        if self.covered:
            return False
        if self.delegated or self.deferred or self.awaited:
            return True
        return bool(self.under_way) or self.next_at is not None

    @property
    def may_run(self) -> int:
        """Number of leaves that ran it, may have run it or may still run it.

        A leaf that another instance asks counts too, also beside one that this
        instance asks. A leaf that gets it twice counts once.
        """
        first = sum(1 for sent in self.under_way.values() if not sent.to_same_leaf)
        return self.ran + first + int(self.delegated)

    @property
    def known_sends(self) -> list[str]:
        """Ids of the leaves that are known to have been asked, one for each request."""
        return self.tried + self.lost_elsewhere

    @property
    def lost_sends(self) -> tuple[str, ...]:
        """Ids of the leaves whose answers were lost, one for each request."""
        return tuple(id for id in self.known_sends if id in self.lost_leaf_ids)

    def record_missing(self, part: MissingPart) -> None:
        """Record what another instance reported about a part that it didn't get."""
        self.reason = part.reason
        self.ran += part.ran
        self.arrived += part.ran
        self.lost_elsewhere.extend(part.lost)
        self.ran_leaf_ids.update(part.lost)
        self.lost_leaf_ids.update(part.lost)

    def record_run(self, leaf_id: str) -> None:
        """Record that a leaf that this instance asked may have run it."""
        if leaf_id not in self.ran_leaf_ids:
            self.ran_leaf_ids.add(leaf_id)
            self.ran += 1
