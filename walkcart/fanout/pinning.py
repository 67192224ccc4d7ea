"""The layout and version that a question is pinned to, kept until news comes."""

from __future__ import annotations

from walkcart.fanout.snapshots import choose_snapshot, covers_all
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import ANY_VERSION, Snapshot
from walkcart.leaves.table import LeafTable, ResolvedGroup, ResolvedLayout


class SnapshotPins:
    """Chooses snapshots from what the leaves said they hold.

    Args:
        table: tells when what is held changed.
        gateway: tells which leaves may be used.
    """

    def __init__(self, table: LeafTable, gateway: LeafGateway) -> None:
        self._table = table
        self._gateway = gateway
        self._kept: dict[str, tuple[int, ResolvedLayout, Snapshot]] = {}

    def choose(self, resolved: ResolvedGroup) -> tuple[ResolvedLayout, Snapshot]:
        """Return the newest layout that is served whole, and its snapshot."""
        name = resolved.group.name
        version = self._table.version
        kept = self._kept.get(name)
        if kept and kept[0] == version and kept[1] in resolved.layouts:
            return kept[1], kept[2]
        layout, pin = self._choose_anew(resolved)
        self._kept[name] = (version, layout, pin)
        return layout, pin

    def _choose_anew(self, resolved: ResolvedGroup) -> tuple[ResolvedLayout, Snapshot]:
        """Choose; when no layout is served whole, the one with most shards served."""
        best: tuple[float, ResolvedLayout, Snapshot] | None = None
        for layout in resolved.layouts:
            holdings = self._holdings(layout)
            version = choose_snapshot(holdings)
            if version is not None and covers_all(holdings, version):
                return layout, Snapshot(layout.epoch, version)
            pin = Snapshot(layout.epoch, ANY_VERSION if version is None else version)
            served = sum(1 for shard in holdings if shard) / len(holdings)
            if best is None or served > best[0]:
                best = (served, layout, pin)
        assert best is not None
        return best[1], best[2]

    def _holdings(self, layout: ResolvedLayout) -> list[list[frozenset[int] | None]]:
        return [
            [leaf.held for leaf in leaves if self._gateway.may_use(leaf)]
            for leaves in layout.shards
        ]
