"""Which requests are kept from leafs, because leafs ended whenever they ran them.

A request that ends each leaf that runs it takes a whole service down within a few
tries: its callers ask again, at whichever instance. So what leafs ended under it is
kept from one try to the next, by the request's fingerprint.

One loss proves little: leafs also crash for reasons of their own, many at a time, and
each such leaf had requests. What tells the request apart is that it happens again to
leafs that were well, and that no leaf ever answers. So the evidence is counted in
strikes, each of them independent of the others: leafs that ended together under one
try are one strike, a leaf that was asked by itself and ended is one. Any answer of a
leaf proves the request harmless and voids all of them.

* One strike changes nothing.
* After two a try goes to one leaf first, and to the others once that one answered.
* After three it is refused, for a while; then it goes to one leaf first again.

Strikes are named by random numbers, so that news of them may come in any order, and
more than once, by way of any instance: they are sets, and sets are united.

Examples:
    >>> quarantine = Quarantine()
    >>> for strike in (11, 22, 33):
    ...     quarantine.record_strike(b"request", strike, now=0.0)
    >>> quarantine.find_level(b"request", now=1.0)
    <Standing.REFUSED: 3>
    >>> quarantine.record_answer(b"request", now=2.0)
    True
    >>> quarantine.find_level(b"request", now=2.0)
    <Standing.USUAL: 1>
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

#: Strikes after which a request goes to one leaf first. A leaf that crashes for its own
#: reasons strikes whichever requests it has, a second one those that were sent again.
CAREFUL_STRIKES = 2
#: Strikes after which it is refused. Where one leaf in seven goes down and up each
#: second, a request of 0.2 s loses its leaf in 3 of 100 tries: three times in turn,
#: with no answer in between, in 3 of 100,000 (worked out).
REFUSED_STRIKES = 3
#: Seconds for which it is refused after the last strike. A try after that costs one
#: leaf, some seconds of one of a shard's replicas: a thousandth of what it serves.
REFUSAL_TIME = 300.0
#: Seconds after its last strike, or its answer, at which a request is forgotten.
#: Callers come back for minutes; a release that mends the leafs takes hours.
MEMORY_TIME = 1800.0
#: Requests that are remembered. With their strikes 100 KB (worked out); a flood of
#: different requests displaces only those with as few strikes.
MAX_ENTRIES = 256


class QuarantineLevel(Enum):
    """What a request may do."""

    USUAL = 1
    CAREFUL = 2
    REFUSED = 3


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """What is known of one request.

    Args:
        strikes: numbers that name them, `REFUSED_STRIKES` at the most.
        struck_at: when the last one was noted, in seconds.
        answered_at: when a leaf answered it last; infinitely long ago if none did.
    """

    strikes: frozenset[int]
    struck_at: float
    answered_at: float = float("-inf")

    @property
    def latest(self) -> float:
        """When it was heard of last."""
        return max(self.struck_at, self.answered_at)

    @property
    def weight(self) -> tuple[int, float]:
        """What decides which one stays where there is room for one only."""
        return len(self.strikes), self.latest


class Quarantine:
    """Remembers the requests under which leafs ended.

    Times are seconds of the kernel's monotonic clock.
    """

    def __init__(self) -> None:
        self._entries: dict[bytes, StrikeRecord] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, fingerprint: bytes) -> StrikeRecord | None:
        """Return what is known of a request."""
        return self._entries.get(fingerprint)

    def find_level(self, fingerprint: bytes, now: float) -> QuarantineLevel:
        """Return what a request may do."""
        held = self._entries.get(fingerprint)
        if held is None or now - held.latest > MEMORY_TIME:
            return QuarantineLevel.USUAL
        if len(held.strikes) < CAREFUL_STRIKES:
            return QuarantineLevel.USUAL
        if len(held.strikes) < REFUSED_STRIKES or self.find_wait(fingerprint, now) <= 0:
            return QuarantineLevel.CAREFUL
        return QuarantineLevel.REFUSED

    def find_wait(self, fingerprint: bytes, now: float) -> float:
        """Return the seconds until a refused request may be tried again."""
        held = self._entries.get(fingerprint)
        return held.struck_at + REFUSAL_TIME - now if held else 0.0

    def record_strike(self, fingerprint: bytes, strike: int, now: float) -> None:
        """Note a strike, named by a random number."""
        self.merge(fingerprint, StrikeRecord(frozenset((strike,)), now), now)

    def record_answer(self, fingerprint: bytes, now: float) -> bool:
        """Note that a leaf answered a request; return whether that is news."""
        held = self._entries.get(fingerprint)
        if held is None or not held.strikes:
            return False
        self._entries[fingerprint] = StrikeRecord(frozenset(), held.struck_at, now)
        return True

    def merge(self, fingerprint: bytes, told: StrikeRecord, now: float) -> bool:
        """Take in what another instance knows; return whether that is news."""
        if now - told.latest > MEMORY_TIME:
            return False
        held = self._entries.get(fingerprint)
        merged = told if held is None else _unite(held, told)
        if merged.struck_at <= merged.answered_at:
            merged = StrikeRecord(frozenset(), merged.struck_at, merged.answered_at)
        if held is not None and merged.strikes == held.strikes:
            # Its times may still have moved on.
            self._entries[fingerprint] = merged
            return False
        if held is None and not self._make_room(merged, now):
            return False
        self._entries[fingerprint] = merged
        return held is not None or bool(merged.strikes)

    def entries(self, now: float) -> Iterable[tuple[bytes, StrikeRecord]]:
        """Return what is remembered, forgetting what is old."""
        self._forget_old(now)
        return tuple(self._entries.items())

    def _make_room(self, wanted: StrikeRecord, now: float) -> bool:
        """Return whether there is room, or one that weighs less gave way."""
        if len(self._entries) < MAX_ENTRIES:
            return True
        self._forget_old(now)
        if len(self._entries) < MAX_ENTRIES:
            return True
        least = min(self._entries, key=lambda item: self._entries[item].weight)
        if self._entries[least].weight > wanted.weight:
            return False
        del self._entries[least]
        return True

    def _forget_old(self, now: float) -> None:
        old = [
            fingerprint
            for fingerprint, held in self._entries.items()
            if now - held.latest > MEMORY_TIME
        ]
        for fingerprint in old:
            del self._entries[fingerprint]


def _unite(one: StrikeRecord, other: StrikeRecord) -> StrikeRecord:
    """Return what two instances know together; strikes before an answer are void."""
    answered_at = max(one.answered_at, other.answered_at)
    strikes: frozenset[int] = frozenset()
    for item in (one, other):
        if item.struck_at > answered_at:
            strikes |= item.strikes
    kept = frozenset(sorted(strikes)[:REFUSED_STRIKES])
    return StrikeRecord(kept, max(one.struck_at, other.struck_at), answered_at)
