"""Chooses the layout and version that questions are pinned to, and caches them."""

from __future__ import annotations

from walkcart.fanout.snapshots import choose_snapshot, covers_all
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import ANY_VERSION, Snapshot
from walkcart.leaves.table import LeafTable, ResolvedGroup, ResolvedLayout


class SnapshotPins:
    """Chooses snapshots by the versions that the leaves state they hold.

    Args:
        table: the leaf table; its version changes when the held versions do.
        gateway: decides which leaves may be used.
    """

    def __init__(self, table: LeafTable, gateway: LeafGateway) -> None:
        self._table = table
        self._gateway = gateway
        self._cache: dict[str, tuple[int, ResolvedLayout, Snapshot]] = {}

    def choose(self, resolved: ResolvedGroup) -> tuple[ResolvedLayout, Snapshot]:
        """Return the newest layout of which all shards are served, and its snapshot.

        Without such a layout, the one with the most shards served is returned.
        """
        name = resolved.group.name
        version = self._table.version
        cached = self._cache.get(name)
        if cached and cached[0] == version and cached[1] in resolved.layouts:
            return cached[1], cached[2]
        layout, pin = self._choose_uncached(resolved)
        self._cache[name] = (version, layout, pin)
        return layout, pin

    def _choose_uncached(
        self, resolved: ResolvedGroup
    ) -> tuple[ResolvedLayout, Snapshot]:
        """Choose a layout and its snapshot from the present holdings."""
        best: tuple[float, ResolvedLayout, Snapshot] | None = None
        for layout in resolved.layouts:
            holdings = self._list_holdings(layout)
            version = choose_snapshot(holdings)
            if version is not None and covers_all(holdings, version):
                return layout, Snapshot(layout.epoch, version)
            pin = Snapshot(layout.epoch, ANY_VERSION if version is None else version)
            served = sum(1 for shard in holdings if shard) / len(holdings)
            if best is None or served > best[0]:
                best = (served, layout, pin)
        assert best is not None
        return best[1], best[2]

    def _list_holdings(
        self, layout: ResolvedLayout
    ) -> list[list[frozenset[int] | None]]:
        return [
            [leaf.held for leaf in leaves if self._gateway.may_use(leaf)]
            for leaves in layout.shards
        ]
