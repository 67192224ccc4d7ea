"""Assembles the services of an instance that find and query leaves.

See Also:
    `walkcart.daemon.assembly.assemble_instance`, which assembles all services.
"""

from __future__ import annotations

from walkcart.daemon.environment import Environment
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.gathering import GatherTools
from walkcart.fanout.ids import IdSource
from walkcart.fanout.quarantines import Quarantines, find_trial_delay
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


def add_leaves(kernel: Kernel, environment: Environment) -> None:
    """Add the table of leaves, the links to them and the query services."""
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    view = kernel.find("view", MembershipView)
    links = kernel.find("links", PeerLinks)
    table = LeafTable()
    listing = kernel.find("listing", InstanceList)
    listing.on_change(table.set_listed)
    gateway: LeafGateway | None = None

    def record_status(leaf, status) -> None:
        assert gateway is not None
        gateway.record_status(leaf, status)

    tracer = kernel.find("tracer", Tracer)
    forwarder = Forwarder(links, view, environment.clock, record_status, tracer)
    gateway = LeafGateway(
        table,
        kernel.find("marks", LeafMarks),
        view,
        forwarder,
        environment.network,
        environment.clock,
        events,
        metrics,
        tracer,
    )
    kernel.add("table", table)
    kernel.add("forwarder", forwarder)
    kernel.add("gateway", gateway)
    own = view.own
    quarantines = _add_quarantines(kernel, environment)
    tools = GatherTools(
        table,
        gateway,
        LeafSelector(gateway, ReplicaChooser(environment.random)),
        IdSource(own.name, own.incarnation),
        environment.clock,
        kernel.find("invariants", Invariants),
        metrics,
        quarantines,
    )
    gatherer = Gatherer(tools)
    kernel.add("gatherer", gatherer)
    kernel.add("sender", SingleSender(tools, gatherer))
    keeper = kernel.find("keeper", ConfigurationKeeper)

    def update_groups() -> None:
        document = keeper.document
        names = [group.name for group in document.configuration.shard_groups]
        gateway.set_groups([table.find_group(document, name) for name in names])

    keeper.on_change(lambda document: update_groups())
    listing.on_change(lambda leaves: update_groups())


def _add_quarantines(kernel: Kernel, environment: Environment) -> Quarantines:
    """Add the quarantine of requests that crashed leaves, and its gossip."""
    view = kernel.find("view", MembershipView)
    quarantine = Quarantine(find_trial_delay(view.own.name))
    quarantines = Quarantines(
        quarantine,
        environment.clock,
        view.own.name,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
    )
    spread = QuarantineGossip(
        quarantine,
        kernel.find("links", PeerLinks),
        environment.clock,
        lambda: [record.name for record in view.usable_peers()],
        lambda: False,
        quarantines.log_news,
    )
    quarantines.set_listeners(spread.broadcast, lambda fingerprint: None)
    kernel.add("quarantine_spread", spread)
    return quarantines
