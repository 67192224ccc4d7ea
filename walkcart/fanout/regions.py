"""Which services of a question another instance should gather.

Services with a leaf in this region are asked from here. The others cross between
regions whoever asks; gathered there by one instance they cross as one merged reply.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

#: Fewer services than this are asked directly: one reply more costs little, and a
#: message to another instance costs about as much.
LEAST_GROUP = 2


@dataclass(frozen=True, slots=True)
class FarGroup:
    """Services to be gathered together.

    Args:
        services: their names.
        regions: each of them has leafs of all these services.
    """

    services: tuple[str, ...]
    regions: tuple[str, ...]


def divide_services(
    services: Sequence[str], regions_of: Callable[[str], frozenset[str]], own: str
) -> list[FarGroup]:
    """Return the groups to be gathered elsewhere; what is in none is asked from here.

    Args:
        services: of the question.
        regions_of: returns the regions where a service has leafs.
        own: this instance's region.

    Examples:
        >>> places = {"a": {"n"}, "b": {"s", "w"}, "c": {"s"}, "d": set()}
        >>> divide_services("abcd", places.__getitem__, "n")
        [FarGroup(services=('b', 'c'), regions=('s',))]
    """
    far = {}
    for name in services:
        regions = regions_of(name)
        if regions and own not in regions:
            far[name] = regions
    groups: list[FarGroup] = []
    while len(far) >= LEAST_GROUP:
        counts: dict[str, int] = {}
        for regions in far.values():
            for region in regions:
                counts[region] = counts.get(region, 0) + 1
        most = max(counts.values())
        if most < LEAST_GROUP:
            break
        best = [region for region in sorted(counts) if counts[region] == most]
        chosen = tuple(name for name, regions in far.items() if best[0] in regions)
        same = [
            region for region in best if all(region in far[name] for name in chosen)
        ]
        groups.append(FarGroup(chosen, tuple(same)))
        far = {name: regions for name, regions in far.items() if name not in chosen}
    return groups
