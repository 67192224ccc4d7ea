"""A small deployment in one process: stand-ins and real walkcart instances.

With a network in memory and a mocked clock it is fast, and runs with the same seed
are identical. With TCP it is the main job of ``make run``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from hashlib import sha256
from io import StringIO
from random import Random
from typing import Any

import trio

from walkcart.daemon.assembly import Instance, assemble_instance, make_backoff
from walkcart.daemon.environment import Environment
from walkcart.intent.applying import Applier, Outcome, Proposal
from walkcart.intent.diffing import merge_configurations
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.intent.loading import load_toml
from walkcart.intent.model import Configuration
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort, Settings
from walkcart.kernel.spans import Tracer
from walkcart.membership.listing import ROLE_INSTANCE, ROLE_LEAF, ListedInstance
from walkcart.standins.leaf import LeafSpec, LeafStandin
from walkcart.standins.listing import ListStandin
from walkcart.standins.memory import MemoryNetwork
from walkcart.standins.serving import StandinServer
from walkcart.standins.store import StoreStandin
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreCalls
from walkcart.store.client import StoreClient
from walkcart.wire.network import Network, TcpNetwork
from walkcart.wire.peers import NngTransport, PeerTransport

EPOCH = datetime(2026, 1, 5, 7, 0, tzinfo=UTC)
ANY_ADDRESS = HostPort("127.0.0.1", 0)
PLATFORM_SITE = "platform"
OPERATOR_TOKEN = "operators-token"


@dataclass(slots=True)
class RunningLeaf:
    """A running leaf stand-in with its server."""

    leaf: LeafStandin
    server: StandinServer
    address: HostPort
    site: str
    stopped: bool = False


@dataclass(slots=True)
class RunningInstance:
    """A running walkcart instance in this process."""

    name: str
    instance: Instance
    scope: trio.CancelScope
    region: str
    site: str
    stopping: bool = False
    ended: trio.Event = field(default_factory=trio.Event)

    def find(self, name: str, kind: type) -> Any:
        """Return the instance's service called `name`."""
        return self.instance.kernel.find(name, kind)

    @property
    def address(self) -> HostPort:
        """The address for callers."""
        return self.instance.address


class World:
    """A deployment of stand-ins and walkcart instances.

    Args:
        nursery: runs all tasks of the deployment.
        seed: seed of everything random.
        memory: the network in memory; None for TCP.
        changes: settings of all instances that differ from the defaults.
        log: receives the instances' events; None drops them.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int = 1,
        memory: MemoryNetwork | None = None,
        changes: dict[str, Any] | None = None,
        log: Any = None,
    ) -> None:
        self._nursery = nursery
        self.random = Random(seed)
        self.memory = memory
        self.clock = TrioClock(EPOCH if memory else None)
        self.store = StoreStandin(Random(self.random.random()))
        self.listing = ListStandin()
        self.leaves: dict[str, RunningLeaf] = {}
        #: All leaf stand-ins, also those before a restart, for checks of what ran.
        self.leaves_ever: list[LeafStandin] = []
        self.instances: dict[str, RunningInstance] = {}
        #: Whether the instance list states the incarnations of leaves.
        self.lists_incarnations = True
        self._changes = changes or {}
        self._log = log
        self._store_address = ANY_ADDRESS
        self._list_address = ANY_ADDRESS
        self._proposals = 0
        self._instance_starts = 0

    def network(self, site: str) -> Network:
        """Return the network as seen from `site`."""
        return self.memory.at(site) if self.memory else TcpNetwork()

    def _make_transport(self, site: str) -> PeerTransport:
        return self.memory.at(site).transport() if self.memory else NngTransport()

    async def start_platform(self) -> None:
        """Start the store and the instance list."""
        network = self.network(PLATFORM_SITE)
        store, listing = self.store.make_server(), self.listing.make_server()
        self._store_address = await self._nursery.start(store.run, network, ANY_ADDRESS)
        self._list_address = await self._nursery.start(
            listing.run, network, ANY_ADDRESS
        )

    async def start_leaf(
        self,
        spec: LeafSpec,
        site: str,
        versions: tuple[int, ...] = (1,),
        address: HostPort = ANY_ADDRESS,
        incarnation: int = 1,
    ) -> RunningLeaf:
        """Start a leaf and add it to the instance list."""
        random = Random(self.random.random())
        leaf = LeafStandin(spec, random, versions, incarnation)
        server = leaf.make_server()
        taken = await self._nursery.start(server.run, self.network(site), address)
        running = RunningLeaf(leaf, server, taken, site)
        self.leaves[spec.name] = running
        self.leaves_ever.append(leaf)
        self.listing.put(
            ListedInstance(
                spec.name,
                ROLE_LEAF,
                str(taken),
                incarnation=incarnation if self.lists_incarnations else 0,
                labels=spec.all_labels(),
            )
        )
        return running

    async def start_group(
        self,
        name: str,
        shards: int,
        replicas: int,
        sites: list[tuple[str, str]],
        layout: int = 1,
        versions: tuple[int, ...] = (1,),
        **details: Any,
    ) -> list[RunningLeaf]:
        """Start the leaves of a group, spread over (region, site) pairs."""
        started = []
        for shard in range(shards):
            for replica in range(replicas):
                region, site = sites[(shard + replica) % len(sites)]
                labels = {"region": region, "data-centre": site}
                spec = LeafSpec(
                    f"{name}-l{layout}-{shard}-{replica}",
                    name,
                    shard,
                    layout,
                    labels=labels,
                    **details,
                )
                started.append(await self.start_leaf(spec, site, versions))
        return started

    def kill_leaf(self, name: str, listed: bool = True) -> None:
        """Stop a leaf abruptly; remove it from the instance list unless `listed`."""
        self.leaves[name].server.stop()
        self.leaves[name].stopped = True
        if not listed:
            self.listing.remove(name)

    async def restart_leaf(self, name: str) -> RunningLeaf:
        """Restart a leaf at the same address with the next incarnation."""
        old = self.leaves[name]
        return await self.start_leaf(
            old.leaf.spec,
            old.site,
            old.leaf.versions,
            old.address,
            old.leaf.incarnation + 1,
        )

    async def start_instance(
        self, name: str, region: str = "local", site: str = "local", **changes: Any
    ) -> RunningInstance:
        """Start a walkcart instance and add it to the instance list."""
        self._instance_starts += 1
        values = {
            "instance": name,
            "region": region,
            "data_centre": site,
            "listen": ANY_ADDRESS,
            "peer_listen": ANY_ADDRESS,
            "store": self._store_address,
            "instance_list": self._list_address,
            "operator_token": OPERATOR_TOKEN,
            "fatal_invariants": True,
            **self._changes,
            **changes,
        }
        environment = Environment(
            self.network(site),
            self._make_transport(site),
            self.clock,
            Random(self.random.random()),
            self._log or StringIO(),
        )
        instance = await assemble_instance(Settings(**values), environment)
        running = RunningInstance(name, instance, trio.CancelScope(), region, site)
        self.instances[name] = running
        self.listing.put(
            ListedInstance(
                name,
                ROLE_INSTANCE,
                str(instance.address),
                str(instance.peer_address),
                labels={"region": region, "data-centre": site},
            )
        )
        await self._nursery.start(self._run_instance, running)
        return running

    async def _run_instance(
        self, running: RunningInstance, *, task_status: trio.TaskStatus[None]
    ) -> None:
        with running.scope:
            await running.instance.kernel.run(task_status=task_status)
        running.ended.set()

    async def kill_instance(self, name: str, listed: bool = False) -> None:
        """Stop an instance abruptly; remove it from the list unless `listed`."""
        running = self.instances.pop(name)
        running.scope.cancel()
        await running.ended.wait()
        if not listed:
            self.listing.remove(name)

    async def stop_instance(self, name: str) -> bool:
        """Stop an instance as SIGTERM does; return whether all its requests ended."""
        running = self.instances[name]
        ended = await running.instance.stop.stop()
        del self.instances[name]
        running.scope.cancel()
        await running.ended.wait()
        self.listing.remove(name)
        return ended

    def make_store_client(self, site: str = PLATFORM_SITE) -> StoreClient:
        """Return a client of the store like that of the operators' tool."""
        events = EventLog("operator", self.clock, StringIO())
        return StoreClient(
            StoreCalls(
                self._store_address,
                self.network(site),
                self.clock,
                CallBudget(100, 100, self.clock),
                events,
                Metrics(None, "operator"),
                Tracer("operator", "none", 0.0),
            )
        )

    async def apply(
        self,
        text: str | None = None,
        edit: Callable[[Configuration], Configuration] | None = None,
        author: str = "operator",
        patience: float = 10.0,
    ) -> Outcome:
        """Apply a TOML text or an edit in the same way as the operators' tool.

        Args:
            text: a configuration in TOML, merged into the current one.
            edit: returns the changed configuration; used if `text` is None.
            author: the name recorded with the change.
            patience: seconds for which an unreachable store is retried.
        """
        if text is not None:
            loaded = load_toml(text)
            assert not loaded.faults, loaded.faults

            def edit(base: Configuration) -> Configuration:
                return merge_configurations(base, loaded.configuration, prune=False)

        assert edit is not None
        self._proposals += 1
        applier = Applier(
            self.make_store_client(),
            self.clock,
            make_backoff(Random(self.random.random())),
            timedelta(seconds=patience),
        )
        proposal = Proposal(f"change-{self._proposals}", author, edit, True)
        return await applier.apply(proposal)

    async def wait_in_force(self, revision: int, limit: float = 30.0) -> float:
        """Wait until all instances have `revision`; return the seconds it took.

        Raises:
            trio.TooSlowError: it took more than `limit` seconds.
        """
        start = trio.current_time()
        with trio.fail_after(limit):
            while any(
                item.find("keeper", ConfigurationKeeper).document.revision < revision
                for item in self.instances.values()
            ):
                await trio.sleep(0.01)
        return trio.current_time() - start


def make_partner(name: str, token: str, scope: str | None = None) -> str:
    """Return the TOML of a partner with the bearer token `token`."""
    digest = sha256(token.encode()).hexdigest()
    return (
        f'[[partner]]\nname = "{name}"\ncredential_sha256 = "{digest}"\n'
        f'scope = "{scope or name}"\n'
    )


def make_service(
    name: str,
    shards: int,
    writes: bool = False,
    layouts: tuple[tuple[int, int], ...] = (),
    **details: Any,
) -> str:
    """Return the TOML of a service and of its shard group of the same name."""
    rows = layouts or ((1, shards),)
    lines = [f'[[shard_group]]\nname = "{name}"']
    lines += [f"{key} = {value}" for key, value in details.items()]
    for epoch, count in rows:
        lines.append(
            f"[[shard_group.layouts]]\nepoch = {epoch}\nshards = {count}\n"
            f'selector = "group={name},layout={epoch}"'
        )
    lines.append(
        f'[[service]]\nname = "{name}"\nshard_group = "{name}"\n'
        f"writes = {str(writes).lower()}\n"
    )
    return "\n".join(lines) + "\n"
