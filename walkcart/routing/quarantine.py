"""Quarantines requests that crash the leaves that run them.

A request that ends each leaf that runs it takes a whole service down within a few
attempts, since its callers ask again at any instance. So the crashes under a request
are remembered across attempts, by the request's fingerprint.

One crash proves little: leaves also crash for reasons of their own, many at a time, and
each of them had requests. A harmful request is recognised by crashes that happen again
to healthy leaves while no leaf ever answers. The evidence is counted in strikes, which
are independent of each other: a crash counts only if its request was sent when the
strikes before were known, or to another leaf that was seen to live after a crash. So
leaves of one service that crash together are one strike, however many equal requests
they had and from whichever instances. A request to several services may end leaves of
all of them at one try, so it gets a strike of each instance. Any answer of a leaf
proves the request harmless and voids all strikes.

* One strike changes nothing.
* After two an attempt goes to one leaf first, and to the others once that one answered.
* After three it is refused for `REFUSAL_TIME`; then it goes to one leaf first again. It
  is refused for `FIRST_REFUSAL_TIME` if all strikes lie within `ONE_CRASH_TIME`, since
  leaves may also crash shortly after each other for a reason of their own.

The number of a strike is a digest of the request and of what was known when it was sent
(`make_strike`). Crashes that don't follow one another thus have the same number at all
instances, with no clock compared. News of strikes may arrive in any order, more than
once and through any instance: sets of strikes are merged by union.

Examples:
    >>> quarantine = Quarantine()
    >>> for strike in (11, 22, 33):
    ...     quarantine.record_strike(b"request", strike, now=0.0)
    >>> quarantine.find_level(b"request", now=1.0)
    <QuarantineLevel.REFUSED: 3>
    >>> quarantine.record_answer(b"request", now=2.0)
    True
    >>> quarantine.find_level(b"request", now=2.0)
    <QuarantineLevel.USUAL: 1>
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

#: Strikes after which a request goes to one leaf first. A leaf that crashes for its own
#: reasons gives a strike to all requests it has; a second such leaf gives another one
#: to those that were sent again.
CAREFUL_STRIKES = 2
#: Strikes after which a request is refused. Where one leaf in seven goes down and up
#: each second, a request of 0.2 s loses its leaf in 3 of 100 attempts, and three times
#: in a row without an answer in 3 of 100,000 (calculated).
REFUSED_STRIKES = 3
#: Seconds for which a request is refused after its last strike. An attempt after that
#: may cost one leaf, which is some seconds of one replica of a shard: a thousandth of
#: what the replica serves.
REFUSAL_TIME = 300.0
#: Maximum number of seconds between the first and the last strike of what may be one
#: crash of many leaves. A leaf takes seconds to start again, so a leaf that crashes
#: later was running through that crash or has started since.
ONE_CRASH_TIME = 0.5
#: Seconds for which a request is refused if its strikes may be of one crash: leaves
#: that crashed are back by then, and its next strike, if any, is of another crash.
FIRST_REFUSAL_TIME = 8.0
#: Length of a strike's number in bytes: any two of a thousand have the same one by
#: chance with a probability below 1e-8.
STRIKE_BYTES = 6
#: Seconds after its last strike or answer at which a request is forgotten. Callers
#: retry for minutes; a release that repairs the leaves takes hours.
MEMORY_TIME = 1800.0
#: Maximum number of remembered requests; with their strikes they take about 100 KB
#: (calculated). A flood of different requests displaces only those with as few strikes.
MAX_ENTRIES = 256


class QuarantineLevel(Enum):
    """How a request is treated."""

    USUAL = 1
    CAREFUL = 2
    REFUSED = 3


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """The evidence about one request.

    Args:
        strikes: identifiers of its strikes, at most `REFUSED_STRIKES` of them.
        struck_at: when the last strike was recorded, in seconds.
        answered_at: when a leaf last answered it, in seconds; -inf if none did.
        began_at: when the first strike was recorded, in seconds; -inf if the strikes
            are known to be of more than one crash.
    """

    strikes: frozenset[int]
    struck_at: float
    answered_at: float = float("-inf")
    began_at: float = float("-inf")

    @property
    def latest(self) -> float:
        """Time of the last strike or answer, in seconds."""
        return max(self.struck_at, self.answered_at)

    @property
    def may_be_one_crash(self) -> bool:
        """Whether one crash of many leaves may have given all strikes."""
        return self.struck_at - self.began_at <= ONE_CRASH_TIME

    @property
    def weight(self) -> tuple[int, float]:
        """Sort key for eviction; the smallest is evicted first."""
        return len(self.strikes), self.latest


class Quarantine:
    """Remembers the requests under which leaves ended.

    Times are seconds of the kernel's monotonic clock.

    Args:
        trial_delay: seconds added to the first refusal. Where they differ between
            instances, one tries a request after it, and the others learn the result.
    """

    def __init__(self, trial_delay: float = 0.0) -> None:
        self._trial_delay = trial_delay
        self._entries: dict[bytes, StrikeRecord] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, fingerprint: bytes) -> StrikeRecord | None:
        """Return the evidence about a request, or None without any."""
        return self._entries.get(fingerprint)

    def find_level(self, fingerprint: bytes, now: float) -> QuarantineLevel:
        """Return how a request is to be treated."""
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
        if held is None:
            return 0.0
        refusal = REFUSAL_TIME
        if held.may_be_one_crash:
            refusal = FIRST_REFUSAL_TIME + self._trial_delay
        return held.struck_at + refusal - now

    def find_strikes(self, fingerprint: bytes) -> frozenset[int]:
        """Return the strikes that are known of a request."""
        held = self._entries.get(fingerprint)
        return held.strikes if held else frozenset()

    def record_strike(
        self,
        fingerprint: bytes,
        strike: int,
        now: float,
        began_at: float = float("-inf"),
    ) -> None:
        """Record a strike, identified by its number.

        Args:
            fingerprint: fingerprint of the request.
            strike: number of the strike.
            now: the current time, in seconds.
            began_at: the current time if the strikes so far may be of the same crash;
                -inf if they aren't.
        """
        told = StrikeRecord(frozenset((strike,)), now, began_at=began_at)
        self.merge(fingerprint, told, now)

    def record_answer(self, fingerprint: bytes, now: float) -> bool:
        """Record that a leaf answered a request; return whether it voided strikes."""
        held = self._entries.get(fingerprint)
        if held is None or not held.strikes:
            return False
        self._entries[fingerprint] = StrikeRecord(frozenset(), held.struck_at, now)
        return True

    def merge(self, fingerprint: bytes, told: StrikeRecord, now: float) -> bool:
        """Merge the evidence of another instance; return whether it was news."""
        if now - told.latest > MEMORY_TIME:
            return False
        held = self._entries.get(fingerprint)
        merged = told if held is None else _merge_records(held, told)
        if merged.struck_at <= merged.answered_at:
            merged = StrikeRecord(frozenset(), merged.struck_at, merged.answered_at)
        if held is not None and merged.strikes == held.strikes:
            # The times may still be newer.
            self._entries[fingerprint] = merged
            return False
        if held is None and not self._ensure_capacity(merged, now):
            return False
        self._entries[fingerprint] = merged
        return held is not None or bool(merged.strikes)

    def entries(self, now: float) -> Iterable[tuple[bytes, StrikeRecord]]:
        """Return the remembered requests with their evidence; drop expired ones."""
        self._drop_expired(now)
        return tuple(self._entries.items())

    def _ensure_capacity(self, wanted: StrikeRecord, now: float) -> bool:
        """Return whether an entry fits; evict one of lower weight if necessary."""
        if len(self._entries) < MAX_ENTRIES:
            return True
        self._drop_expired(now)
        if len(self._entries) < MAX_ENTRIES:
            return True
        lightest = min(self._entries, key=lambda item: self._entries[item].weight)
        if self._entries[lightest].weight > wanted.weight:
            return False
        del self._entries[lightest]
        return True

    def _drop_expired(self, now: float) -> None:
        expired = [
            fingerprint
            for fingerprint, held in self._entries.items()
            if now - held.latest > MEMORY_TIME
        ]
        for fingerprint in expired:
            del self._entries[fingerprint]


def make_strike(fingerprint: bytes, known: frozenset[int], source: str = "") -> int:
    """Return the number of a strike.

    Args:
        fingerprint: fingerprint of the request.
        known: the strikes that were known of it when it was sent.
        source: what makes it differ from other strikes with the same `known`: the leaf
            that crashed, if it was seen to live after a crash under the request, or
            the instance that asked several services.

    Examples:
        >>> first = make_strike(b"request", frozenset())
        >>> first == make_strike(b"request", frozenset())
        True
        >>> first == make_strike(b"request", frozenset((first,)))
        False
    """
    digest = blake2b(fingerprint, digest_size=STRIKE_BYTES)
    for strike in sorted(known):
        digest.update(b"%d," % strike)
    digest.update(source.encode())
    return int.from_bytes(digest.digest(), "big")


def _merge_records(one: StrikeRecord, other: StrikeRecord) -> StrikeRecord:
    """Return the union of two records; strikes before the last answer are void."""
    answered_at = max(one.answered_at, other.answered_at)
    valid = [item for item in (one, other) if item.struck_at > answered_at]
    strikes = frozenset().union(*(item.strikes for item in valid))
    kept = frozenset(sorted(strikes)[:REFUSED_STRIKES])
    began = [item.began_at for item in valid if item.strikes]
    return StrikeRecord(
        kept,
        max(one.struck_at, other.struck_at),
        answered_at,
        min(began, default=float("-inf")),
    )
