"""Holders of many leaves, kept up as instances come and go.

Ranking every instance for every leaf costs their product; in a large fleet that
can't be done at each change. So for each leaf the best few are kept: an instance
that comes is ranked once for each leaf, one that goes is dropped, and a leaf is
ranked anew only when its spares are used up.

See Also:
    `walkcart.routing.shares.ConnectionShares`, the rule itself.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Mapping
from dataclasses import dataclass

from walkcart.routing.shares import ConnectionShares, rank_holder

#: Spare candidates that are kept for each holder.
SPARES = 2


@dataclass(frozen=True, slots=True)
class SharedLeaf:
    """A leaf whose connections are divided.

    Args:
        address: names the leaf.
        region: that it stands in.
        shares: the division of its connections.
    """

    address: str
    region: str
    shares: ConnectionShares


class HolderTable:
    """Keeps the holders of each leaf."""

    def __init__(self) -> None:
        self._instances: dict[str, str] = {}
        self._leaves: dict[str, SharedLeaf] = {}
        self._ranked: dict[str, list[tuple[bool, int, str]]] = {}

    def leaves(self) -> tuple[SharedLeaf, ...]:
        """Return the leaves."""
        return tuple(self._leaves.values())

    def set_leaves(self, leaves: list[SharedLeaf]) -> None:
        """Take the leaves; only new ones are ranked."""
        wanted = {leaf.address: leaf for leaf in leaves}
        for address in [item for item in self._leaves if item not in wanted]:
            del self._leaves[address]
            del self._ranked[address]
        for address, leaf in wanted.items():
            if self._leaves.get(address) != leaf:
                self._leaves[address] = leaf
                self._rank(leaf)

    def set_instances(self, instances: Mapping[str, str]) -> bool:
        """Take the instances, regions by name; return whether they changed."""
        if instances == self._instances:
            return False
        gone = [
            name
            for name, region in self._instances.items()
            if instances.get(name) != region
        ]
        come = [
            name
            for name, region in instances.items()
            if self._instances.get(name) != region
        ]
        self._instances = dict(instances)
        for leaf in self._leaves.values():
            self._change(leaf, gone, come)
        return True

    def holders(self, address: str) -> tuple[str, ...]:
        """Return the instances that hold connections to a leaf, sorted."""
        leaf = self._leaves.get(address)
        if leaf is None:
            return ()
        count = leaf.shares.holder_count(len(self._instances))
        return tuple(sorted(name for _, _, name in self._ranked[address][:count]))

    def _kept(self, leaf: SharedLeaf) -> int:
        return leaf.shares.most_holders * (1 + SPARES)

    def _rank(self, leaf: SharedLeaf) -> None:
        ranked = sorted(
            rank_holder(leaf.address, leaf.region, name, region)
            for name, region in self._instances.items()
        )
        self._ranked[leaf.address] = ranked[: self._kept(leaf)]

    def _change(self, leaf: SharedLeaf, gone: list[str], come: list[str]) -> None:
        ranked = self._ranked[leaf.address]
        # Whether some instances rank below what is kept: then an addition that
        # ranks last may not be put at the end.
        cut_off = len(ranked) >= self._kept(leaf)
        if gone:
            ranked = [item for item in ranked if item[2] not in gone]
        for name in come:
            item = rank_holder(leaf.address, leaf.region, name, self._instances[name])
            if not cut_off or (ranked and item < ranked[-1]):
                insort(ranked, item)
        self._ranked[leaf.address] = ranked[: self._kept(leaf)]
        if len(ranked) < min(len(self._instances), leaf.shares.most_holders):
            self._rank(leaf)
