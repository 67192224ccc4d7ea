"""The faults of experiments as data, and their injection.

The field `at` of a fault is the delay in seconds from the call of `bring_about`.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from walkcart.bench.world import World, make_service


@dataclass(frozen=True, slots=True)
class SlowLeaf:
    """One leaf of each shard in `shards` becomes `factor` times slower."""

    at: float
    factor: float
    shards: tuple[int, ...] = (0,)


@dataclass(frozen=True, slots=True)
class Stalls:
    """A fraction `share` of the requests at all leaves stalls for `time` seconds."""

    at: float
    share: float
    time: float


@dataclass(frozen=True, slots=True)
class KillLeaf:
    """One leaf stops abruptly; the instance list still contains it."""

    at: float
    shard: int = 0


@dataclass(frozen=True, slots=True)
class DrainLeaf:
    """One leaf reports that it is leaving and refuses new requests."""

    at: float
    shard: int = 0


@dataclass(frozen=True, slots=True)
class IndexRoll:
    """The leaves load a version one after the other, `gap` seconds apart."""

    at: float
    version: int
    gap: float = 0.05


@dataclass(frozen=True, slots=True)
class Repartition:
    """Leaves with a layout of more shards start; operators then configure it."""

    at: float
    shards: int


@dataclass(frozen=True, slots=True)
class KillInstance:
    """One instance stops abruptly."""

    at: float


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store fails all calls for `seconds`."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class GroupOutage:
    """All leaves refuse requests for `seconds`."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class LyingLoad:
    """One leaf of each shard is `factor` times slower but reports a load of 0."""

    at: float
    factor: float


Fault = (
    SlowLeaf
    | Stalls
    | KillLeaf
    | DrainLeaf
    | IndexRoll
    | Repartition
    | KillInstance
    | StoreDown
    | GroupOutage
    | LyingLoad
)


async def bring_about(fault: Fault, world: World, group: str) -> None:
    """Wait until the time of the fault, then inject it."""
    await trio.sleep(fault.at)
    leaves = [item for item in world.leaves.values() if item.leaf.spec.group == group]
    match fault:
        # The name of a leaf ends in the number of its replica.
        case SlowLeaf(_, factor, shards):
            for item in leaves:
                if item.leaf.spec.shard in shards and item.leaf.spec.name[-1] == "0":
                    item.leaf.faults.slow = factor
        case Stalls(_, share, time):
            for item in leaves:
                item.leaf.faults.stall_share = share
                item.leaf.faults.stall_time = time
        case KillLeaf(_, shard):
            world.kill_leaf(_find_leaf_name(leaves, shard))
        case DrainLeaf(_, shard):
            world.leaves[_find_leaf_name(leaves, shard)].leaf.faults.leaving = True
        case IndexRoll(_, version, gap):
            for item in leaves:
                item.leaf.load_version(version)
                await trio.sleep(gap)
        case Repartition(_, shards):
            await _repartition(world, group, shards)
        case KillInstance():
            await world.kill_instance(next(iter(world.instances)))
        case StoreDown(_, seconds):
            world.store.faults.down = True
            await trio.sleep(seconds)
            world.store.faults.down = False
        case GroupOutage(_, seconds):
            await _shed_requests(leaves, seconds)
        case LyingLoad(_, factor):
            for item in leaves:
                if item.leaf.spec.name[-1] == "0":
                    item.leaf.faults.lie_load = 0
                    item.leaf.faults.slow = factor


def _find_leaf_name(leaves: list, shard: int) -> str:
    return next(item.leaf.spec.name for item in leaves if item.leaf.spec.shard == shard)


async def _shed_requests(leaves: list, seconds: float) -> None:
    for item in leaves:
        item.leaf.faults.shed = True
    await trio.sleep(seconds)
    for item in leaves:
        item.leaf.faults.shed = False


async def _repartition(world: World, group: str, shards: int) -> None:
    """Start the leaves of the new layout, then add it to the configuration."""
    old = [item for item in world.leaves.values() if item.leaf.spec.group == group]
    sites = sorted({(item.leaf.spec.labels["region"], item.site) for item in old})
    epoch = max(item.leaf.spec.layout for item in old) + 1
    count = len({item.leaf.spec.shard for item in old})
    version = max(old[0].leaf.versions)
    await world.start_group(group, shards, 2, sites, epoch, (version,))
    layouts = ((epoch, shards), (epoch - 1, count))
    await world.apply(make_service(group, shards, layouts=layouts))
