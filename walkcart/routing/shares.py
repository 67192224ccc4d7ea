"""Which instances hold connections to a leaf, and how many each.

A leaf takes a fixed number of connections from all instances together. They are
divided over its holders, chosen by rendezvous hash over the instances, those of
the leaf's own region first. While there are few instances all of them hold some;
in a large fleet only some do and the others reach the leaf through those. It is
one rule at both sizes.

References:
    Thaler, Ravishankar: A name-based mapping scheme for rendezvous, 1996.

Examples:
    >>> shares = ConnectionShares(cap=25)
    >>> shares.holders("leaf", {"a": "north", "b": "north"}, "north")
    ('a', 'b')
    >>> shares.connections_per_holder(holders=7)
    3
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

#: Share of the cap that is given out; the rest is for views that disagree.
GIVEN_OUT = 0.85
#: A holder has at least so many connections: fewer can't carry a leaf's slots.
LEAST_SHARE = 2


@dataclass(frozen=True, slots=True)
class ConnectionShares:
    """The division of one leaf's connections.

    Args:
        cap: connections that the leaf takes.
    """

    cap: int

    def holders(
        self, leaf: str, instances: Mapping[str, str], region: str
    ) -> tuple[str, ...]:
        """Return the instances that hold connections to `leaf`, sorted.

        Args:
            leaf: names the leaf.
            instances: region by name of all instances that may hold any.
            region: of the leaf.
        """
        ranked = sorted(
            rank_holder(leaf, region, name, own) for name, own in instances.items()
        )
        count = self.holder_count(len(instances))
        return tuple(sorted(name for _, _, name in ranked[:count]))

    def connections_per_holder(self, holders: int) -> int:
        """Return how many connections each of `holders` instances may have."""
        return max(1, int(self.cap * GIVEN_OUT / max(1, holders)))

    def connections_per_gatherer(self, gatherers: int) -> int:
        """Return how many connections each instance that gathers for others may have.

        Half of those that are given out are theirs; the others rarely need one.
        """
        return self.connections_per_holder(max(1, 2 * gatherers))

    @property
    def most_holders(self) -> int:
        """Holders that there are in a large fleet."""
        return max(1, int(self.cap * GIVEN_OUT / LEAST_SHARE))

    def holder_count(self, instances: int) -> int:
        """Return how many of `instances` hold connections."""
        return min(instances, self.most_holders)


_MASK = (1 << 64) - 1


@lru_cache(maxsize=1 << 14)
def _hash_name(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def mix_hashes(one: int, other: int) -> int:
    """Return a 64-bit hash of two; the finaliser of SplitMix64.

    Much cheaper than hashing the joined names for each pair.
    """
    value = (one ^ other) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def rank_holder(
    leaf: str, leaf_region: str, name: str, region: str
) -> tuple[bool, int, str]:
    """Return the rank of an instance for a leaf; the lowest hold connections.

    A region that isn't known puts nobody last: an instance would rank itself, whose
    region it does know, behind all that it hasn't heard of yet.
    """
    far = bool(region and leaf_region) and region != leaf_region
    return (far, rank_rendezvous(leaf, name), name)


def rank_rendezvous(key: str, name: str) -> int:
    """Return the rank of `name` for `key`; the lowest comes first."""
    return mix_hashes(_hash_name(key), _hash_name(name))


def rank_by_weight(key: str, name: str, weight: float) -> float:
    """Return the rank of `name` for `key`; the lowest comes first.

    Over many keys each name comes first as often as its share of the weights.

    Examples:
        >>> weights = {"small": 0.5, "large": 2.0}
        >>> def choose(key):
        ...     return min(weights, key=lambda n: rank_by_weight(key, n, weights[n]))
        >>> 760 < sum(choose(str(key)) == "large" for key in range(1000)) < 840
        True
    """
    share = (rank_rendezvous(key, name) + 1) / (_MASK + 2)
    return -math.log(share) / weight


def choose_rendezvous(key: str, names: list[str]) -> str | None:
    """Return the name that ranks first for `key`, or None without names."""
    return min(names, key=lambda name: rank_rendezvous(key, name), default=None)
