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
    >>> shares.share_of(holders=7)
    3
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
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
        count = self._holder_count(len(instances))
        if count >= len(instances):
            return tuple(sorted(instances))
        ranked = sorted(
            instances,
            key=lambda name: (instances[name] != region, rank_rendezvous(leaf, name)),
        )
        return tuple(sorted(ranked[:count]))

    def share_of(self, holders: int) -> int:
        """Return how many connections each of `holders` instances may have."""
        return max(1, int(self.cap * GIVEN_OUT / max(1, holders)))

    def _holder_count(self, instances: int) -> int:
        most = max(1, int(self.cap * GIVEN_OUT / LEAST_SHARE))
        return min(instances, most)


def rank_rendezvous(key: str, name: str) -> bytes:
    """Return the rank of `name` for `key`; the lowest comes first."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def choose_rendezvous(key: str, names: list[str]) -> str | None:
    """Return the name that ranks first for `key`, or None without names."""
    return min(names, key=lambda name: rank_rendezvous(key, name), default=None)
