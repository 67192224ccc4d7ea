"""Division of a leaf's connections among the instances.

A leaf accepts a fixed number of connections from all instances together. They are
divided among its holders, which are chosen by rendezvous hashing with instances of
the leaf's own region first. In a small fleet all instances hold connections. In a
large one only some do, and the others reach the leaf through those. The same rule
applies at both sizes.

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

#: Share of the cap that is assigned; the rest covers different views of the fleet.
ASSIGNED_SHARE = 0.85
#: Minimum connections of a holder; fewer can't make use of a leaf's slots.
MIN_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class ConnectionShares:
    """The division of one leaf's connections.

    Args:
        cap: number of connections that the leaf accepts.
    """

    cap: int

    def holders(
        self, leaf: str, instances: Mapping[str, str], region: str
    ) -> tuple[str, ...]:
        """Return the sorted names of the instances that hold connections to `leaf`.

        Args:
            leaf: identifies the leaf.
            instances: region by name of all instances that may hold connections.
            region: region of the leaf.
        """
        ranked = sorted(
            rank_holder(leaf, region, name, own) for name, own in instances.items()
        )
        count = self.holder_count(len(instances))
        return tuple(sorted(name for _, _, name in ranked[:count]))

    def connections_per_holder(self, holders: int) -> int:
        """Return how many connections each of `holders` instances may hold."""
        return max(1, int(self.cap * ASSIGNED_SHARE / max(1, holders)))

    def connections_per_gatherer(self, gatherers: int) -> int:
        """Return how many connections each instance that gathers for others may hold.

        Half of the assigned connections are theirs; other instances rarely need one.
        """
        return self.connections_per_holder(max(1, 2 * gatherers))

    @property
    def max_holders(self) -> int:
        """Maximum number of holders, reached in a large fleet."""
        return max(1, int(self.cap * ASSIGNED_SHARE / MIN_CONNECTIONS))

    def holder_count(self, instances: int) -> int:
        """Return how many of `instances` hold connections."""
        return min(instances, self.max_holders)


_MASK = (1 << 64) - 1


@lru_cache(maxsize=1 << 14)
def _hash_name(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def mix_hashes(one: int, other: int) -> int:
    """Return a 64-bit hash of two hashes, by the finaliser of SplitMix64.

    It is much cheaper than hashing the joined names of each pair.
    """
    value = (one ^ other) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def rank_holder(
    leaf: str, leaf_region: str, name: str, region: str
) -> tuple[bool, int, str]:
    """Return the rank of an instance for a leaf; the lowest ranks hold connections.

    An unknown region doesn't lower the rank. Otherwise an instance, which knows its own
    region, would rank itself behind all instances that it hasn't heard from yet.
    """
    far = bool(region and leaf_region) and region != leaf_region
    return (far, rank_rendezvous(leaf, name), name)


def rank_rendezvous(key: str, name: str) -> int:
    """Return the rank of `name` for `key`; the lowest comes first."""
    return mix_hashes(_hash_name(key), _hash_name(name))


def rank_by_weight(key: str, name: str, weight: float) -> float:
    """Return the rank of `name` for `key`; the lowest comes first.

    Over many keys each name comes first in proportion to its weight.

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
