"""Injection of random faults for the long randomised runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import trio

from walkcart.bench.world import RunningLeaf, World, make_service
from walkcart.intent.applying import Accepted, ChangeConflict, Unknown
from walkcart.standins.balancer import BalancerStandin
from walkcart.standins.leaf_faults import LeafFaults
from walkcart.standins.store import StoreFaults

#: Mean seconds between the starts of two faults.
MEAN_FAULT_INTERVAL = 2.5
#: Bounds of the duration of a fault, in seconds.
MIN_FAULT_TIME, MAX_FAULT_TIME = 0.2, 8.0
REPLY_FAULTS = (
    "drop_reply",
    "garbage",
    "cut_body",
    "repeat_reply",
    "wrong_attempt",
    "wrong_scope",
    "bad_rows",
    "endless",
)


class FaultInjector:
    """Injects faults until it is cancelled; `heal` then ends them all.

    Args:
        world: the deployment that gets the faults.
        random: draws the faults, their times and their targets.
        balancer: gets the addresses of instances that are restarted.
        group: the group whose index version and layout change.

    Attributes:
        fault_counts: number of injected faults by name.
        broken: broken promises, one line each.
    """

    def __init__(
        self, world: World, random: Random, balancer: BalancerStandin, group: str
    ) -> None:
        self._world = world
        self._random = random
        self._balancer = balancer
        self._group = group
        self._version = 1
        self._shards = 0
        self._lives = 0
        self._accepted: list[int] = []
        self.fault_counts: Counter[str] = Counter()
        self.broken: list[str] = []
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self._slow_leaf,
            self._hang_leaf,
            self._corrupt_replies,
            self._shed_leaf,
            self._kill_leaf,
            self._drain_leaf,
            self._partial_leaf,
            self._unpinned_leaf,
            self._roll_index,
            self._repartition,
            self._kill_instance,
            self._stop_instance,
            self._store_down,
            self._store_slow,
            self._store_loses,
            self._store_lags,
            self._list_down,
            self._cut_region,
            self._lose_envelopes,
            self._race_operators,
        ]

    async def run(self) -> None:
        """Start a random fault at random intervals."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._random.expovariate(1 / MEAN_FAULT_INTERVAL))
                kind = self._random.choice(self._kinds)
                self.fault_counts[kind.__name__.lstrip("_")] += 1
                nursery.start_soon(kind)

    async def heal(self) -> None:
        """End all faults and restart the stopped leaves."""
        self._world.store.faults = StoreFaults()
        self._world.listing.down = False
        assert self._world.memory is not None
        self._world.memory.lose = lambda: False
        for site in ("north-a", "north-b"):
            self._world.memory.heal(site, "south-a")
        for name, item in list(self._world.leaves.items()):
            item.leaf.faults = LeafFaults()
            if item.stopped:
                await self._world.restart_leaf(name)

    def _pick_leaf(self) -> RunningLeaf:
        running = [item for item in self._world.leaves.values() if not item.stopped]
        return self._random.choice(running)

    async def _wait_fault_time(self) -> None:
        await trio.sleep(self._random.uniform(MIN_FAULT_TIME, MAX_FAULT_TIME))

    async def _set_temporarily(self, faults: object, **values: Any) -> None:
        """Set fields of a stand-in's faults for a random time, then reset them."""
        for name, value in values.items():
            setattr(faults, name, value)
        await self._wait_fault_time()
        healthy = type(faults)()
        for name in values:
            setattr(faults, name, getattr(healthy, name))

    async def _slow_leaf(self) -> None:
        factor = self._random.choice([3.0, 10.0])
        await self._set_temporarily(self._pick_leaf().leaf.faults, slow=factor)

    async def _hang_leaf(self) -> None:
        await self._set_temporarily(self._pick_leaf().leaf.faults, hang=True)

    async def _corrupt_replies(self) -> None:
        name = self._random.choice(REPLY_FAULTS)
        share = self._random.choice([0.2, 1.0])
        await self._set_temporarily(self._pick_leaf().leaf.faults, **{name: share})

    async def _shed_leaf(self) -> None:
        await self._set_temporarily(self._pick_leaf().leaf.faults, shed=True)

    async def _kill_leaf(self) -> None:
        item = self._pick_leaf()
        name = item.leaf.spec.name
        self._world.kill_leaf(name, listed=self._random.random() < 0.5)
        await self._wait_fault_time()
        await self._restart(name)

    async def _drain_leaf(self) -> None:
        item = self._pick_leaf()
        item.leaf.faults.leaving = True
        item.leaf.faults.mute_leaving = self._random.random() < 0.3
        await self._wait_fault_time()
        name = item.leaf.spec.name
        if not item.stopped:
            self._world.kill_leaf(name)
            await self._restart(name)

    async def _restart(self, name: str) -> None:
        await trio.sleep(0.1)
        if self._world.leaves[name].stopped:
            await self._world.restart_leaf(name)

    async def _partial_leaf(self) -> None:
        await self._set_temporarily(self._pick_leaf().leaf.faults, partial=True)

    async def _unpinned_leaf(self) -> None:
        faults = self._pick_leaf().leaf.faults
        await self._set_temporarily(faults, no_pin=True, late_version=True)

    async def _roll_index(self) -> None:
        self._version += 1
        version = self._version
        for name in list(self._world.leaves):
            item = self._world.leaves[name]
            if item.leaf.spec.group == self._group:
                item.leaf.load_version(version)
                await trio.sleep(self._random.uniform(0.0, 0.2))

    async def _repartition(self) -> None:
        """Once per run, change to a layout with two more shards."""
        if self._shards:
            return
        old = [
            item
            for item in self._world.leaves.values()
            if item.leaf.spec.group == self._group
        ]
        count = len({item.leaf.spec.shard for item in old})
        self._shards = count + 2
        sites = sorted({(item.leaf.spec.labels["region"], item.site) for item in old})
        versions = old[0].leaf.versions
        await self._world.start_group(self._group, self._shards, 2, sites, 2, versions)
        layouts = ((2, self._shards), (1, count))
        text = make_service(self._group, count, layouts=layouts)
        await self._world.apply(text, patience=30.0)

    def _pick_instance(self) -> str | None:
        """Return a random instance that may be stopped; None if fewer than four run."""
        running = {
            name: item
            for name, item in self._world.instances.items()
            if not item.stopping
        }
        return self._random.choice(sorted(running)) if len(running) >= 4 else None

    async def _kill_instance(self) -> None:
        name = self._pick_instance()
        if name is None:
            return
        running = self._world.instances[name]
        await self._world.kill_instance(name, listed=self._random.random() < 0.5)
        await self._wait_fault_time()
        await self._start_instance(name, running.region, running.site)

    async def _stop_instance(self) -> None:
        name = self._pick_instance()
        if name is None:
            return
        running = self._world.instances[name]
        running.stopping = True
        if not await self._world.stop_instance(name):
            self.broken.append(f"{name} reached the bound of its planned stop")
        await self._wait_fault_time()
        await self._start_instance(name, running.region, running.site)

    async def _start_instance(self, name: str, region: str, site: str) -> None:
        if name in self._world.instances:
            return
        running = await self._world.start_instance(name, region, site)
        self._balancer.instances.append(running.address)

    async def _store_down(self) -> None:
        await self._set_temporarily(self._world.store.faults, down=True)

    async def _store_slow(self) -> None:
        delay = self._random.choice([0.3, 1.5])
        await self._set_temporarily(self._world.store.faults, delay=delay)

    async def _store_loses(self) -> None:
        late_by = self._random.choice([0.05, 0.5, 3.0])
        faults = self._world.store.faults
        await self._set_temporarily(
            faults, lose_reply=0.3, late_write=0.2, late_by=late_by
        )

    async def _store_lags(self) -> None:
        mute = self._random.random() < 0.5
        faults = self._world.store.faults
        await self._set_temporarily(
            faults, stale_read=0.3, garbage=0.1, mute_watches=mute
        )

    async def _list_down(self) -> None:
        self._world.listing.down = True
        await self._wait_fault_time()
        self._world.listing.down = False

    async def _cut_region(self) -> None:
        memory = self._world.memory
        assert memory is not None
        for site in ("north-a", "north-b"):
            memory.cut(site, "south-a")
        await self._wait_fault_time()
        for site in ("north-a", "north-b"):
            memory.heal(site, "south-a")

    async def _lose_envelopes(self) -> None:
        memory = self._world.memory
        assert memory is not None
        memory.lose = lambda: self._random.random() < 0.2
        await self._wait_fault_time()
        memory.lose = lambda: False

    async def _race_operators(self) -> None:
        """Let two operators change one intent and a third another, at the same time."""
        async with trio.open_nursery() as nursery:
            for name, priority in (("all", 10), ("all", 11), ("other", 12)):
                nursery.start_soon(self._change, name, priority)

    async def _change(self, name: str, priority: int) -> None:
        value = self._random.randint(100, 200) / 100
        text = (
            f'[[routing_intent]]\nname = "{name}"\nselector = ""\n'
            f"priority = {priority}\ndeadline = {value}\n"
        )
        outcome = await self._world.apply(text, author=f"op-{priority}", patience=20.0)
        match outcome:
            case Accepted(revision):
                if revision in self._accepted:
                    self.broken.append(f"revision {revision} was accepted twice")
                self._accepted.append(revision)
            case ChangeConflict() | Unknown():
                pass
