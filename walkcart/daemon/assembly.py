"""Assembles the services of an instance.

Services start in the order in which they are added; each uses only those added before.
All outside resources (network, peer transport, clock, random numbers) are passed in, so
that tests and simulations can replace them.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random

import trio

from walkcart.daemon.environment import Environment
from walkcart.daemon.instanceleaves import add_leaves
from walkcart.daemon.telemetry import make_metrics, make_tracer
from walkcart.entry.admissions import Admissions
from walkcart.entry.app import EntryService
from walkcart.entry.credentials import Authenticator
from walkcart.entry.executions import ExecuteHandler
from walkcart.entry.operators import OperatorInterface
from walkcart.entry.queries import CallerTools, QueryHandler
from walkcart.entry.stopping import PlannedStop
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.singlesender import SingleSender
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.invariants import Invariants
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.kernel.settings import HostPort, Settings
from walkcart.kernel.spans import Tracer
from walkcart.leaves.forwarding import Forwarder
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.table import LeafTable
from walkcart.membership.detector import Detector
from walkcart.membership.gossip import GossipQueue
from walkcart.membership.links import PeerLinks
from walkcart.membership.listing import InstanceList
from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.once.claimant import Claimant
from walkcart.once.owner import BucketOwners, OwnerTools
from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreCalls
from walkcart.store.client import StoreClient
from walkcart.wire.listening import ListenTools, Place, retry_listen
from walkcart.wire.messages import MemberRecord
from walkcart.wire.peers import PeerListener

#: Calls per second that one instance may make to the store, and the calls that it may
#: make at once beyond the rate. Seven instances at this rate stay below half of what
#: the store can handle.
STORE_RATE = 100.0
STORE_BURST = 200.0


@dataclass(frozen=True, slots=True)
class Instance:
    """An assembled instance that isn't running yet.

    Args:
        kernel: the services; running it runs the instance.
        stop: graceful stop, which lets running requests finish.
        address: address for callers.
        peer_address: address for peers.
    """

    kernel: Kernel
    stop: PlannedStop
    address: HostPort
    peer_address: HostPort


async def assemble_instance(settings: Settings, environment: Environment) -> Instance:
    """Listen on the instance's addresses and assemble its services.

    Waits for addresses that are busy.
    """
    network = environment.network
    kernel = Kernel()
    _add_base(kernel, settings, environment)
    tools = ListenTools(environment.clock, kernel.find("events", EventLog))
    # Nobody is kept waiting at the callers' address while that for peers is busy.
    peers = await retry_listen(
        partial(environment.transport.listen, settings.peer_listen),
        Place("other instances", str(settings.peer_listen)),
        tools,
    )
    listener = await retry_listen(
        partial(network.listen, settings.listen),
        Place("callers", str(settings.listen)),
        tools,
    )
    address = HostPort(settings.listen.host, network.port_of(listener))
    _add_membership(kernel, settings, environment, peers, address)
    _add_intent(kernel, environment)
    add_leaves(kernel, environment)
    _add_once(kernel, environment)
    _add_entry(kernel, settings, environment, listener)
    stop = _make_stop(kernel, settings, environment)
    return Instance(kernel, stop, address, peers.address)


def _add_base(kernel: Kernel, settings: Settings, environment: Environment) -> None:
    clock = environment.clock
    events = EventLog(settings.instance, clock, environment.log, settings.log_level)
    metrics = make_metrics(settings, events)
    tracer = make_tracer(settings, events)
    budget = CallBudget(STORE_RATE, STORE_BURST, clock)
    kernel.add("events", events)
    kernel.add("metrics", metrics)
    kernel.add("tracer", tracer)
    kernel.add("invariants", Invariants(events, metrics, settings.fatal_invariants))
    store = StoreClient(
        StoreCalls(
            settings.store, environment.network, clock, budget, events, metrics, tracer
        )
    )
    kernel.add("store", store)


def _add_membership(
    kernel: Kernel,
    settings: Settings,
    environment: Environment,
    peers: PeerListener,
    address: HostPort,
) -> None:
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    own = MemberRecord(
        name=settings.instance,
        incarnation=int(environment.clock.now().timestamp() * 1000),
        counter=0,
        state=int(MemberState.LIVE),
        peer_address=str(peers.address),
        address=str(address),
        data_centre=settings.data_centre,
        region=settings.region,
        revision=0,
    )
    view = MembershipView(own)
    marks = LeafMarks()
    gossip = GossipQueue(view, marks)
    links = PeerLinks(peers, environment.transport, view, events, metrics)
    detector = Detector(
        view,
        marks,
        gossip,
        links,
        environment.clock,
        environment.random,
        events,
        metrics,
        settings.heartbeat_interval,
    )
    listing = InstanceList(
        settings.instance_list,
        environment.network,
        view,
        marks,
        events,
        environment.random,
        settings.list_interval,
    )
    kernel.add("view", view)
    kernel.add("marks", marks)
    kernel.add("links", links)
    kernel.add("detector", detector)
    kernel.add("listing", listing)


def _add_intent(kernel: Kernel, environment: Environment) -> None:
    detector = kernel.find("detector", Detector)
    keeper = ConfigurationKeeper(
        kernel.find("store", StoreClient),
        kernel.find("view", MembershipView),
        kernel.find("links", PeerLinks),
        environment.clock,
        make_backoff(environment.random),
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
        kernel.find("invariants", Invariants),
    )
    keeper.on_change(lambda document: detector.push_soon())
    kernel.add("keeper", keeper)


def make_backoff(random: Random) -> Backoff:
    """Return the back-off for the store, which grows from 0.1 s to 2 s."""
    return Backoff(timedelta(seconds=0.1), timedelta(seconds=2), random)


def _add_once(kernel: Kernel, environment: Environment) -> None:
    tools = OwnerTools(
        kernel.find("store", StoreClient),
        environment.clock,
        environment.random,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
    )
    owners = BucketOwners(tools)
    claimant = Claimant(
        kernel.find("view", MembershipView),
        kernel.find("links", PeerLinks),
        owners,
        environment.clock,
    )
    kernel.add("owners", owners)
    kernel.add("claimant", claimant)


def _add_entry(
    kernel: Kernel,
    settings: Settings,
    environment: Environment,
    listener: trio.abc.Listener[trio.abc.Stream],
) -> None:
    keeper = kernel.find("keeper", ConfigurationKeeper)
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    table = kernel.find("table", LeafTable)
    gatherer = kernel.find("gatherer", Gatherer)
    admissions = Admissions(environment.clock)
    tools = CallerTools(
        keeper,
        table,
        Authenticator(),
        admissions,
        environment.clock,
        events,
        metrics,
        kernel.find("tracer", Tracer),
    )
    executions = ExecuteHandler(
        tools, kernel.find("claimant", Claimant), kernel.find("sender", SingleSender)
    )
    operators = OperatorInterface(
        keeper,
        kernel.find("view", MembershipView),
        table,
        kernel.find("gateway", LeafGateway),
        gatherer,
        admissions,
        environment.clock,
        events,
        metrics,
    )
    entry = EntryService(
        listener,
        QueryHandler(tools, gatherer),
        executions,
        operators,
        keeper,
        kernel.find("listing", InstanceList),
        settings.operator_token,
        events,
        metrics,
    )
    kernel.add("entry", entry)


def _make_stop(
    kernel: Kernel, settings: Settings, environment: Environment
) -> PlannedStop:
    return PlannedStop(
        kernel.find("entry", EntryService),
        kernel.find("view", MembershipView),
        kernel.find("detector", Detector),
        kernel.find("forwarder", Forwarder),
        kernel.find("owners", BucketOwners),
        environment.clock,
        kernel.find("events", EventLog),
        settings.stop_grace,
        settings.stop_bound,
    )
