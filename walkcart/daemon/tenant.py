"""The instance as a tenant of the users' platform: its services, put together.

The product's own services are the same as in `walkcart.daemon.assembly` where both
have them; the adapter in `walkcart.platform` takes the place of the ports.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TextIO

import msgspec
import trio

from walkcart.entry.routed import RoutedEntryTools, RoutedHandler
from walkcart.entry.routedservice import RoutedService
from walkcart.entry.routedstop import RoutedStop
from walkcart.fanout.carrying import Carrier
from walkcart.fanout.delegatedgroup import Outcome
from walkcart.fanout.delegates import Delegates, DelegateTools
from walkcart.fanout.ids import IdSource
from walkcart.fanout.routed import RoutedGathering
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.kernel.settings import HostPort
from walkcart.kernel.spans import OUTPUT_NONE, Tracer
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.link import LinkTools
from walkcart.leaves.pool import LeafPool, PoolTools
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import InstanceRecord, Registration
from walkcart.membership.relaying import Relay
from walkcart.platform.callerprotocol import PlatformCallerProtocol, merge_parts
from walkcart.platform.documents import (
    CONFIGURATION_KEY,
    LEAF_PREFIX,
    read_configuration,
    read_leaf_entries,
)
from walkcart.platform.leafprotocol import PlatformLeafProtocol
from walkcart.platform.settings import PlatformSettings
from walkcart.platform.store import PlatformStore
from walkcart.routing.distance import Place
from walkcart.routing.peerchoice import PeerAccounts
from walkcart.routing.repeats import RepeatBudget, RepeatLimits
from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreCalls
from walkcart.store.following import PrefixFollower
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.network import Network
from walkcart.wire.peers import PeerListener, PeerTransport
from walkcart.wire.server import HttpServer, ServerLimits

#: Share of the store's rate that one instance may use at once; with seven instances
#: that leaves more than half to the others.
STORE_SHARE = 0.05
#: Calls at once after a quiet time: a start reads everything.
STORE_BURST = 40.0
#: A call of the store without a reply after this has failed: it answers in
#: milliseconds, and watches wait on top.
STORE_CALL_TIME = timedelta(seconds=1)
#: Pause after leafs' entries changed: many leafs change theirs at once when they start,
#: and a change may take three seconds to be heeded.
LEAF_PAUSE = timedelta(seconds=0.5)
STORE_FIRST_BACKOFF = timedelta(seconds=0.1)
STORE_LONGEST_BACKOFF = timedelta(seconds=0.8)


@dataclass(frozen=True, slots=True)
class TenantSurroundings:
    """What the instance runs on.

    Args:
        network: opens and accepts connections.
        transport: carries messages between instances.
        clock: source of time.
        random: source of chance.
        log: where log lines go; standard error when None.
        metrics_port: where the metrics page is served; 0 for nowhere.
    """

    network: Network
    transport: PeerTransport
    clock: Clock
    random: Random
    log: TextIO | None = None
    metrics_port: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """An instance on the platform, put together but not running.

    Args:
        kernel: its services; run it to run the instance.
        stop: ends it without cutting a request.
    """

    kernel: Kernel
    stop: RoutedStop


class ListenerService:
    """Serves one address for as long as the instance runs.

    Args:
        listener: takes connections.
        server: serves them.
    """

    def __init__(
        self, listener: trio.abc.Listener[trio.abc.Stream], server: HttpServer
    ) -> None:
        self._listener = listener
        self._server = server

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        task_status.started()
        await trio.serve_listeners(self._server.serve, [self._listener])


async def assemble_tenant(
    settings: PlatformSettings, around: TenantSurroundings
) -> Tenant:
    """Take the addresses and put the services together.

    Raises:
        OSError: an address can't be had.
    """
    callers = await around.network.listen(settings.callers)
    readiness = await around.network.listen(settings.readiness)
    peers = await listen_for_peers(settings, around.transport)
    kernel = Kernel()
    _add_base(kernel, settings, around)
    _add_store(kernel, settings, around, peers)
    _add_intent(kernel, around)
    _add_leaves(kernel, settings, around)
    _add_delegates(kernel, settings, around, peers)
    _add_entry(kernel, settings, around, callers)
    service = kernel.find("entry", RoutedService)
    server = HttpServer(
        service.tell_readiness, ServerLimits(), PlatformCallerProtocol().render_fault
    )
    kernel.add("readiness", ListenerService(readiness, server))
    if around.metrics_port:
        await _add_metrics_page(kernel, settings, around)
    stop = RoutedStop(
        service,
        kernel.find("carrier", Carrier),
        kernel.find("registration", Registration),
        kernel.find("events", EventLog),
        settings.grace,
    )
    return Tenant(kernel, stop)


async def listen_for_peers(
    settings: PlatformSettings, transport: PeerTransport
) -> PeerListener:
    """Listen at the first free port of the range for other instances.

    Raises:
        OSError: none of the ports can be had.
    """
    first, last = settings.peer_ports
    for port in range(first, last):
        try:
            return await transport.listen(HostPort(settings.host, port))
        except OSError:
            # Taken by the other role or the former process; the next one will do.
            continue
    return await transport.listen(HostPort(settings.host, last))


def _add_base(
    kernel: Kernel, settings: PlatformSettings, around: TenantSurroundings
) -> None:
    kernel.add("events", EventLog(settings.instance, around.clock, around.log))
    kernel.add("metrics", Metrics(None, settings.instance))
    kernel.add("tracer", Tracer(settings.instance, OUTPUT_NONE, 0.0))


def _add_store(
    kernel: Kernel,
    settings: PlatformSettings,
    around: TenantSurroundings,
    peers: PeerListener,
) -> None:
    events = kernel.find("events", EventLog)
    rate = settings.store_rate * STORE_SHARE
    calls = StoreCalls(
        settings.store,
        around.network,
        around.clock,
        CallBudget(rate, STORE_BURST, around.clock),
        events,
        kernel.find("metrics", Metrics),
        kernel.find("tracer", Tracer),
        STORE_CALL_TIME,
    )
    store = PlatformStore(calls)
    started = around.clock.now().isoformat()
    own = InstanceRecord(
        settings.instance,
        started,
        settings.data_centre,
        settings.region,
        str(peers.address),
    )
    registration = Registration(
        store, own, around.clock, make_store_backoff(around.random), events
    )
    kernel.add("calls", calls)
    kernel.add("store", store)
    kernel.add("registration", registration)


def make_store_backoff(random: Random) -> Backoff:
    """Return the back-off for calls of the store."""
    return Backoff(STORE_FIRST_BACKOFF, STORE_LONGEST_BACKOFF, random)


def _add_intent(kernel: Kernel, around: TenantSurroundings) -> None:
    events = kernel.find("events", EventLog)
    keeper = RouteKeeper(around.clock, events)

    def take(items, changed) -> None:
        item = items.get(CONFIGURATION_KEY)
        if item is None:
            return
        try:
            keeper.apply(read_configuration(item.value), "store")
        except msgspec.MsgspecError as error:
            events.emit(Events.ROUTES_BAD, detail=str(error)[:300])

    follower = PrefixFollower(
        kernel.find("store", PlatformStore),
        kernel.find("calls", StoreCalls),
        CONFIGURATION_KEY,
        make_store_backoff(around.random),
        events,
        take,
    )
    kernel.add("keeper", keeper)
    kernel.add("configuration", follower)


def _add_leaves(
    kernel: Kernel, settings: PlatformSettings, around: TenantSurroundings
) -> None:
    events = kernel.find("events", EventLog)
    calls = kernel.find("calls", StoreCalls)
    clock = around.clock

    def find_return() -> float:
        return calls.reachable_since if calls.reachable else clock.monotonic()

    directory = LeafDirectory(clock, events, find_return)

    def take(items, changed) -> None:
        directory.set_entries(read_leaf_entries(items, settings.regions, events))

    follower = PrefixFollower(
        kernel.find("store", PlatformStore),
        calls,
        LEAF_PREFIX,
        make_store_backoff(around.random),
        events,
        take,
        LEAF_PAUSE,
    )
    pool = _make_pool(kernel, settings, around, directory)
    kernel.add("directory", directory)
    kernel.add("leaf_entries", follower)
    kernel.add("pool", pool)


def _make_pool(
    kernel: Kernel,
    settings: PlatformSettings,
    around: TenantSurroundings,
    directory: LeafDirectory,
) -> LeafPool:
    pool: LeafPool | None = None

    def note_status(leaf, status) -> None:
        assert pool is not None
        pool.note_status(leaf, status)

    link = LinkTools(
        around.network,
        around.clock,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
        kernel.find("tracer", Tracer),
        note_status,
        PlatformLeafProtocol(),
    )
    pool = LeafPool(
        PoolTools(
            directory,
            kernel.find("keeper", RouteKeeper),
            link,
            kernel.find("registration", Registration).count,
            Place(settings.region, settings.data_centre),
            around.random,
        )
    )
    return pool


def _add_delegates(
    kernel: Kernel,
    settings: PlatformSettings,
    around: TenantSurroundings,
    peers: PeerListener,
) -> None:
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    registration = kernel.find("registration", Registration)
    links = PeerLinks(peers, around.transport, registration, events, metrics)
    ids = IdSource(settings.instance, around.random.getrandbits(32))
    delegates = Delegates(
        DelegateTools(
            links,
            registration,
            PeerAccounts(),
            ids,
            around.clock,
            around.random,
            events,
        )
    )
    limits = RepeatLimits(
        settings.repeat_ratio,
        settings.repeat_window.total_seconds(),
        settings.repeat_allowance,
    )
    gathering = RoutedTools(
        kernel.find("pool", LeafPool),
        RepeatBudget(limits, around.clock.monotonic()),
        registration.count,
        ids,
        around.clock,
        metrics,
        Place(settings.region, settings.data_centre),
        around.random,
        delegates,
    )

    async def gather(question: RoutedQuestion, top: int) -> Outcome:
        result = await RoutedGathering(gathering, question).run()
        return result.map(lambda answer: merge_parts(answer, top))

    carrier = Carrier(links, around.clock, gather)
    relay = Relay(
        [
            kernel.find("configuration", PrefixFollower),
            kernel.find("leaf_entries", PrefixFollower),
        ],
        kernel.find("calls", StoreCalls),
        links,
        registration,
        around.clock,
        events,
    )
    registration.follow_watching(lambda: relay.watches)
    kernel.add("links", links)
    kernel.add("relay", relay)
    kernel.add("delegates", delegates)
    kernel.add("carrier", carrier)
    kernel.add("gathering", gathering)


def _add_entry(
    kernel: Kernel,
    settings: PlatformSettings,
    around: TenantSurroundings,
    listener: trio.abc.Listener[trio.abc.Stream],
) -> None:
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    keeper = kernel.find("keeper", RouteKeeper)
    protocol = PlatformCallerProtocol()
    handler = RoutedHandler(
        RoutedEntryTools(
            keeper,
            protocol,
            kernel.find("gathering", RoutedTools),
            events,
            metrics,
            kernel.find("tracer", Tracer),
            around.random,
        )
    )
    service = RoutedService(
        listener,
        handler,
        protocol.render_fault,
        keeper,
        kernel.find("directory", LeafDirectory),
        events,
    )
    kernel.add("entry", service)


async def _add_metrics_page(
    kernel: Kernel, settings: PlatformSettings, around: TenantSurroundings
) -> None:
    metrics = kernel.find("metrics", Metrics)
    address = HostPort(settings.host, around.metrics_port)
    listener = await around.network.listen(address)

    async def answer(request: HttpRequest) -> HttpReply:
        # Loaded with the first question: most instances are never asked.
        from walkcart.kernel.exposition import CONTENT_TYPE, render_metrics

        headers = ((b"content-type", CONTENT_TYPE.encode()),)
        return HttpReply(200, headers, render_metrics(metrics))

    server = HttpServer(answer, ServerLimits(), PlatformCallerProtocol().render_fault)
    kernel.add("metrics_page", ListenerService(listener, server))
