"""The leaves that serve each shard, resolved for one configuration revision."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.intent.document import Document
from walkcart.intent.model import Layout, ShardGroup
from walkcart.intent.policy import Policy, apply_label_rules, resolve_policy
from walkcart.intent.selectors import parse_selector
from walkcart.kernel.numbers import read_number
from walkcart.kernel.settings import BadValue, parse_peer_address
from walkcart.leaves.leaf import Leaf
from walkcart.membership.listing import ListedInstance

SHARD_LABEL = "shard"
#: Revisions whose groups and policies stay cached for requests in progress, at 32
#: entries each.
MAX_CACHED_REVISIONS = 8


@dataclass(frozen=True, slots=True)
class ResolvedLayout:
    """The leaves of one layout.

    Args:
        epoch: epoch of the layout.
        shards: leaves of each shard, by shard number.
    """

    epoch: int
    shards: tuple[tuple[Leaf, ...], ...]


@dataclass(frozen=True, slots=True)
class ResolvedGroup:
    """The leaves of a shard group.

    Args:
        group: the configured shard group.
        layouts: its layouts, newest first.
        leaves: leaves of all layouts, each once.
    """

    group: ShardGroup
    layouts: tuple[ResolvedLayout, ...]
    leaves: tuple[Leaf, ...]


class LeafTable:
    """Keeps the leaves, and resolves shard groups and policies."""

    def __init__(self) -> None:
        self._leaves: dict[str, Leaf] = {}
        self._listed: tuple[ListedInstance, ...] = ()
        self._list_version = 0
        self._groups: dict[tuple[int, int, str], ResolvedGroup] = {}
        self._policies: dict[tuple[int, str], Policy] = {}
        #: Raised whenever a leaf's held versions or the list of leaves changes.
        self.version = 0

    def set_listed(self, leaves: tuple[ListedInstance, ...]) -> None:
        """Set the leaves of the instance list."""
        self._listed = leaves
        self._list_version += 1
        self.version += 1
        addresses = {leaf.address for leaf in leaves}
        for address in [item for item in self._leaves if item not in addresses]:
            if not self._leaves[address].outstanding:
                del self._leaves[address]

    def find(self, address: str) -> Leaf | None:
        """Return the leaf at `address`, or None if no group was resolved to it."""
        return self._leaves.get(address)

    def find_policy(self, document: Document, service_name: str) -> Policy:
        """Return the policy of a service under `document`."""
        key = (document.revision, service_name)
        if key not in self._policies:
            service = document.configuration.find_service(service_name)
            assert service is not None
            _trim(self._policies, MAX_CACHED_REVISIONS * 32)
            self._policies[key] = resolve_policy(document.configuration, service)
        return self._policies[key]

    def find_group(self, document: Document, name: str) -> ResolvedGroup:
        """Return the resolved group called `name` under `document`."""
        key = (document.revision, self._list_version, name)
        if key not in self._groups:
            group = document.configuration.find_group(name)
            assert group is not None
            _trim(self._groups, MAX_CACHED_REVISIONS * 32)
            self._groups[key] = self._resolve(document, group)
        return self._groups[key]

    def leaf_labels(self, document: Document) -> list[dict[str, str]]:
        """Return the labels of all listed leaves, with the label rules applied."""
        return [
            apply_label_rules(document.configuration, row.labels)
            for row in self._listed
        ]

    def _resolve(self, document: Document, group: ShardGroup) -> ResolvedGroup:
        labelled = [
            (row, apply_label_rules(document.configuration, row.labels))
            for row in self._listed
        ]
        layouts = []
        found: dict[str, Leaf] = {}
        for layout in sorted(group.layouts, key=lambda item: -item.epoch):
            layouts.append(self._resolve_layout(group, layout, labelled, found))
        return ResolvedGroup(group, tuple(layouts), tuple(found.values()))

    def _resolve_layout(
        self,
        group: ShardGroup,
        layout: Layout,
        labelled: list[tuple[ListedInstance, dict[str, str]]],
        found: dict[str, Leaf],
    ) -> ResolvedLayout:
        selector = parse_selector(layout.selector)
        shards: list[list[Leaf]] = [[] for _ in range(layout.shards)]
        for row, labels in labelled:
            shard = read_number(labels.get(SHARD_LABEL))
            if shard is None or shard >= layout.shards:
                # Not part of this layout; coverage shows a shard without leaves.
                continue
            if not selector.matches(labels):
                continue
            leaf = self._get_or_create(row, labels, group)
            if leaf is not None:
                shards[shard].append(leaf)
                found[leaf.address] = leaf
        return ResolvedLayout(layout.epoch, tuple(tuple(part) for part in shards))

    def _get_or_create(
        self, row: ListedInstance, labels: dict[str, str], group: ShardGroup
    ) -> Leaf | None:
        try:
            address = str(parse_peer_address(row.address))
        except BadValue:
            return None
        leaf = self._leaves.get(address)
        if leaf is None:
            leaf = Leaf(address, labels, group.slots)
            self._leaves[address] = leaf
        leaf.labels = labels
        return leaf


def _trim(cache: dict, size: int) -> None:
    while len(cache) >= size:
        cache.pop(next(iter(cache)))
