"""Chooses the leaf of a shard for a request.

With two slots per leaf, the decisive factors are the requests that already wait
there, from this instance and from others, and how fast the leaf processes them.
Health and load that a leaf reports about itself are only hints: they are capped, and
a leaf that reports too little load is detected by its latency.

References:
    Wydrowski et al.: Load is not what you should balance: Introducing Prequal,
    2024, for requests in flight and latency together.

See Also:
    ``docs/design/replica-choice.md`` for the policies compared.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter
from random import Random

#: Upper bound of the load that a leaf reports, in requests.
MAX_REPORTED_LOAD = 8.0
#: Factor on the estimated time of a leaf that isn't preferred.
NOT_PREFERRED_FACTOR = 8.0
#: Factor on the estimated time of a new leaf; falls to 1 over the warm-up time.
COLD_FACTOR = 4.0
#: Warm-up time of a leaf, in seconds.
WARM_UP_TIME = 5.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """The properties of a leaf of a shard that decide the choice.

    Args:
        key: identifies the leaf.
        outstanding: number of requests of this instance that wait or run there.
        reported_load: requests of others that the leaf last reported, decayed by time.
        latency: expected time of one request, in seconds.
        preferred: whether the routing intent prefers the leaf.
        ejected: whether it is ejected after recent failures.
        age: seconds since this instance first used it.
    """

    key: str
    outstanding: int
    reported_load: float
    latency: float
    preferred: bool = True
    ejected: bool = False
    age: float = WARM_UP_TIME


class ReplicaChooser:
    """Chooses a leaf by one of several policies.

    Args:
        random: breaks ties, and makes the choice of the random policy.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._turns: dict[object, int] = {}

    def choose(
        self, policy: str, shard: object, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the leaf for the next request, or None without candidates.

        Ejected leaves are used only when no others are left: an attempt that will
        likely fail is still better than a missing part of the answer. The order of the
        candidates doesn't matter.

        Args:
            policy: one of `walkcart.intent.policy.REPLICA_POLICIES`.
            shard: identifies the shard, for round robin.
            candidates: the leaves of the shard that may get requests.
        """
        usable = [item for item in candidates if not item.ejected] or candidates
        if not usable:
            return None
        usable = sorted(usable, key=attrgetter("key"))
        if len(usable) == 1:
            return usable[0]
        match policy:
            case "random":
                return self._random.choice(usable)
            case "round_robin":
                return self._choose_next(shard, usable)
            case "outstanding":
                return self._choose_lowest(usable, _rank_outstanding)
            case _:
                return self._choose_lowest(usable, _rank_expected_time)

    def _choose_next(self, shard: object, usable: Sequence[Candidate]) -> Candidate:
        turn = self._turns.get(shard, -1) + 1
        self._turns[shard] = turn
        return usable[turn % len(usable)]

    def _choose_lowest(self, usable: Sequence[Candidate], rank) -> Candidate:
        ranks = [rank(item) for item in usable]
        lowest = min(ranks)
        best = [
            item for item, value in zip(usable, ranks, strict=True) if value == lowest
        ]
        return best[0] if len(best) == 1 else self._random.choice(best)


def _find_load(candidate: Candidate) -> float:
    return candidate.outstanding + min(candidate.reported_load, MAX_REPORTED_LOAD)


def _rank_outstanding(candidate: Candidate) -> tuple[bool, float, float]:
    return (not candidate.preferred, _find_load(candidate), candidate.latency)


def _rank_expected_time(candidate: Candidate) -> float:
    """Return the estimated time of a request at a leaf, with its penalties."""
    wait = (1.0 + _find_load(candidate)) * candidate.latency
    if not candidate.preferred:
        wait *= NOT_PREFERRED_FACTOR
    if candidate.age < WARM_UP_TIME:
        wait *= COLD_FACTOR - (COLD_FACTOR - 1.0) * candidate.age / WARM_UP_TIME
    return wait
