"""The services of an instance that know the leaves and ask them.

See Also:
    `walkcart.daemon.assembly.assemble_instance`, which puts all of them together.
"""

from __future__ import annotations

from walkcart.daemon.environment import Environment
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.gathering import GatherTools
from walkcart.fanout.ids import IdSource
from walkcart.fanout.quarantines import Quarantines
from walkcart.fanout.selection import LeafSelector
from walkcart.fanout.singlesender import SingleSender
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.invariants import Invariants
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.kernel.spans import Tracer
from walkcart.leaves.forwarding import Forwarder
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.table import LeafTable
from walkcart.membership.links import PeerLinks
from walkcart.membership.listing import InstanceList
from walkcart.membership.marks import LeafMarks
from walkcart.membership.quarantinegossip import QuarantineGossip
from walkcart.membership.view import MembershipView
from walkcart.routing.quarantine import Quarantine
from walkcart.routing.replicas import ReplicaChooser


def add_leaves(kernel: Kernel, around: Environment) -> None:
    """Add the leaves, the ways to them and what asks them."""
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    view = kernel.find("view", MembershipView)
    links = kernel.find("links", PeerLinks)
    table = LeafTable()
    listing = kernel.find("listing", InstanceList)
    listing.on_change(table.set_listed)
    gateway: LeafGateway | None = None

    def note_status(leaf, status) -> None:
        assert gateway is not None
        gateway.record_status(leaf, status)

    tracer = kernel.find("tracer", Tracer)
    forwarder = Forwarder(links, view, around.clock, note_status, tracer)
    gateway = LeafGateway(
        table,
        kernel.find("marks", LeafMarks),
        view,
        forwarder,
        around.network,
        around.clock,
        events,
        metrics,
        tracer,
    )
    kernel.add("table", table)
    kernel.add("forwarder", forwarder)
    kernel.add("gateway", gateway)
    own = view.own
    quarantines = _add_quarantines(kernel, around)
    tools = GatherTools(
        table,
        gateway,
        LeafSelector(gateway, ReplicaChooser(around.random)),
        IdSource(own.name, own.incarnation),
        around.clock,
        kernel.find("invariants", Invariants),
        metrics,
        quarantines,
    )
    gatherer = Gatherer(tools)
    kernel.add("gatherer", gatherer)
    kernel.add("sender", SingleSender(tools, gatherer))
    keeper = kernel.find("keeper", ConfigurationKeeper)

    def use_groups() -> None:
        document = keeper.document
        names = [group.name for group in document.configuration.shard_groups]
        gateway.set_groups([table.find_group(document, name) for name in names])

    keeper.on_change(lambda document: use_groups())
    listing.on_change(lambda leaves: use_groups())


def _add_quarantines(kernel: Kernel, around: Environment) -> Quarantines:
    """Add what remembers requests under which leafs ended, and tells of them."""
    view = kernel.find("view", MembershipView)
    quarantine = Quarantine()
    quarantines = Quarantines(
        quarantine,
        around.clock,
        view.own.name,
        around.random,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
    )
    spread = QuarantineGossip(
        quarantine,
        kernel.find("links", PeerLinks),
        around.clock,
        lambda: [record.name for record in view.usable_peers()],
        lambda: False,
        quarantines.log_news,
    )
    quarantines.set_listeners(spread.broadcast, lambda fingerprint: None)
    kernel.add("quarantine_spread", spread)
    return quarantines
