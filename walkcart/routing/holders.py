"""Incremental ranking of the instances that hold connections to each leaf.

Ranking every instance for every leaf is too expensive at each change of a large fleet.
So only the best few instances of each leaf are kept. A new instance is ranked once for
each leaf, and one that has left is dropped. A leaf is ranked anew only when its spare
candidates are used up.

See Also:
    `walkcart.routing.shares.ConnectionShares`, which defines the ranking.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Mapping
from dataclasses import dataclass

from walkcart.routing.shares import ConnectionShares, rank_holder

#: Number of spare candidates that are kept for each holder.
SPARES = 2


@dataclass(frozen=True, slots=True)
class SharedLeaf:
    """A leaf whose connections are divided among instances.

    Args:
        address: address that identifies the leaf.
        region: region of the leaf.
        shares: rule by which its connections are divided.
    """

    address: str
    region: str
    shares: ConnectionShares


class HolderTable:
    """The instances that hold connections to each leaf."""

    def __init__(self) -> None:
        self._regions: dict[str, str] = {}
        self._leaves: dict[str, SharedLeaf] = {}
        self._ranked: dict[str, list[tuple[bool, int, str]]] = {}

    def leaves(self) -> tuple[SharedLeaf, ...]:
        """Return the leaves."""
        return tuple(self._leaves.values())

    def set_leaves(self, leaves: list[SharedLeaf]) -> None:
        """Replace the leaves; only new and changed ones are ranked."""
        wanted = {leaf.address: leaf for leaf in leaves}
        for address in [item for item in self._leaves if item not in wanted]:
            del self._leaves[address]
            del self._ranked[address]
        for address, leaf in wanted.items():
            if self._leaves.get(address) != leaf:
                self._leaves[address] = leaf
                self._rank(leaf)

    def set_instances(self, instances: Mapping[str, str]) -> bool:
        """Replace the instances; return whether they changed.

        Args:
            instances: region of each instance by its name.
        """
        if instances == self._regions:
            return False
        gone = [
            name
            for name, region in self._regions.items()
            if instances.get(name) != region
        ]
        added = [
            name
            for name, region in instances.items()
            if self._regions.get(name) != region
        ]
        self._regions = dict(instances)
        for leaf in self._leaves.values():
            self._update(leaf, gone, added)
        return True

    def holders(self, address: str) -> tuple[str, ...]:
        """Return the sorted names of the instances that hold connections to a leaf."""
        leaf = self._leaves.get(address)
        if leaf is None:
            return ()
        count = leaf.shares.holder_count(len(self._regions))
        return tuple(sorted(name for _, _, name in self._ranked[address][:count]))

    def _max_ranked(self, leaf: SharedLeaf) -> int:
        return leaf.shares.max_holders * (1 + SPARES)

    def _rank(self, leaf: SharedLeaf) -> None:
        ranked = sorted(
            rank_holder(leaf.address, leaf.region, name, region)
            for name, region in self._regions.items()
        )
        self._ranked[leaf.address] = ranked[: self._max_ranked(leaf)]

    def _update(self, leaf: SharedLeaf, gone: list[str], added: list[str]) -> None:
        ranked = self._ranked[leaf.address]
        # If the list is full, instances outside it may rank before a new one that would
        # come last in it, so such a new one must not be appended.
        is_truncated = len(ranked) >= self._max_ranked(leaf)
        if gone:
            ranked = [item for item in ranked if item[2] not in gone]
        for name in added:
            item = rank_holder(leaf.address, leaf.region, name, self._regions[name])
            if not is_truncated or (ranked and item < ranked[-1]):
                insort(ranked, item)
        self._ranked[leaf.address] = ranked[: self._max_ranked(leaf)]
        if len(ranked) < min(len(self._regions), leaf.shares.max_holders):
            self._rank(leaf)
