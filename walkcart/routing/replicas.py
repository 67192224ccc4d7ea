"""Which leaf of a shard gets a request.

With two slots a leaf, what decides is the work that already waits there, of
this instance and of others, and how fast the leaf gets through it. Health and
load that a leaf states about itself are only hints: they are capped, and a leaf
that understates its load is found out by its latency.

References:
    Wydrowski et al.: Load is not what you should balance: Introducing Prequal,
    2024, for requests in flight and latency together.

See Also:
    ``docs/design/replica-choice.md`` for the policies compared.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

#: A leaf's own word on its load counts up to this many requests.
STATED_CAP = 8.0
#: A leaf that isn't preferred looks this many times slower.
NOT_PREFERRED_FACTOR = 8.0
#: A cold leaf looks up to this many times slower; falls to 1 as it warms up.
COLD_FACTOR = 4.0
WARM_TIME = 5.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """One leaf of a shard, as its choice sees it.

    Args:
        key: names the leaf.
        outstanding: requests of this instance that wait or run there.
        reported_load: requests of others, from the leaf's last word, decayed.
        latency: expected seconds for one request.
        preferred: whether the routing intent prefers it.
        ejected: whether it failed lately.
        age: seconds since this instance first used it.
    """

    key: str
    outstanding: int
    reported_load: float
    latency: float
    preferred: bool = True
    ejected: bool = False
    age: float = WARM_TIME


class ReplicaChooser:
    """Chooses by one of the policies.

    Args:
        random: breaks ties and drives the random baseline.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._turns: dict[object, int] = {}

    def choose(
        self, policy: str, shard: object, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return the leaf for the next request, or None without candidates.

        Ejected leaves are used only when no others are left: a try that will
        likely fail is still better than a hole in the answer.

        Args:
            policy: one of `walkcart.intent.policy.REPLICA_POLICIES`.
            shard: names the shard, for round robin.
            candidates: its leaves that may get work.
        """
        usable = [item for item in candidates if not item.ejected] or candidates
        if not usable:
            return None
        if len(usable) == 1:
            return usable[0]
        match policy:
            case "random":
                return self._random.choice(usable)
            case "round_robin":
                return self._choose_next(shard, usable)
            case "outstanding":
                return self._choose_least(usable, _rank_outstanding)
            case _:
                return self._choose_least(usable, _rank_wait)

    def _choose_next(self, shard: object, usable: Sequence[Candidate]) -> Candidate:
        turn = self._turns.get(shard, -1) + 1
        self._turns[shard] = turn
        return usable[turn % len(usable)]

    def _choose_least(self, usable: Sequence[Candidate], rank) -> Candidate:
        ranks = [rank(item) for item in usable]
        least = min(ranks)
        best = [
            item for item, value in zip(usable, ranks, strict=True) if value == least
        ]
        return best[0] if len(best) == 1 else self._random.choice(best)


def _load_of(candidate: Candidate) -> float:
    return candidate.outstanding + min(candidate.reported_load, STATED_CAP)


def _rank_outstanding(candidate: Candidate) -> tuple[bool, float, float]:
    return (not candidate.preferred, _load_of(candidate), candidate.latency)


def _rank_wait(candidate: Candidate) -> float:
    """Return the time that a request would likely spend there."""
    wait = (1.0 + _load_of(candidate)) * candidate.latency
    if not candidate.preferred:
        wait *= NOT_PREFERRED_FACTOR
    if candidate.age < WARM_TIME:
        wait *= COLD_FACTOR - (COLD_FACTOR - 1.0) * candidate.age / WARM_TIME
    return wait
