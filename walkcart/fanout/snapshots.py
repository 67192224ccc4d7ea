"""Chooses the version to which a question is pinned.

The first choice is the newest version that every usable leaf of each shard holds, so
that each shard has another leaf to hedge to. Without one, it is the newest version that
at least one leaf of each shard holds, and failing that, the version that the most
shards hold. If no held versions are known, the question is asked without a pin, and the
replies are grouped by their snapshot.

See Also:
    ``docs/design/snapshots.md``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

#: For each shard, the versions that each of its usable leaves holds; None for a leaf
#: that hasn't stated them yet.
Holdings = Sequence[Sequence[frozenset[int] | None]]


def choose_snapshot(holdings: Holdings) -> int | None:
    """Return the version to pin, or None when no held versions are known.

    Examples:
        >>> one, both = frozenset({1}), frozenset({1, 2})
        >>> choose_snapshot([[both, both], [one, both]])
        1
        >>> choose_snapshot([[both, both], [both, both]])
        2
        >>> choose_snapshot([[frozenset({2}), one], [frozenset({2}), one]])
        2
        >>> choose_snapshot([[None], [None]]) is None
        True
    """
    known = [[held for held in shard if held is not None] for shard in holdings]
    known = [shard for shard in known if shard]
    if not known:
        return None
    held_by_all = [frozenset.intersection(*shard) for shard in known]
    held_by_some = [frozenset.union(*shard) for shard in known]
    for sets in (held_by_all, held_by_some):
        common = frozenset.intersection(*sets)
        if common:
            return max(common)
    return _find_most_held(held_by_some)


def _find_most_held(sets: list[frozenset[int]]) -> int | None:
    """Return the version in the most sets; among equals the newest."""
    counts = Counter(version for versions in sets for version in versions)
    if not counts:
        return None
    return max(counts, key=lambda version: (counts[version], version))


def covers_all(holdings: Holdings, version: int) -> bool:
    """Return whether at least one leaf of each shard is known to hold `version`."""
    return all(
        any(held is not None and version in held for held in shard)
        for shard in holdings
    )
