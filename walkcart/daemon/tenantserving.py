"""Assembles the services that gather answers, for callers and other instances.

See Also:
    `walkcart.daemon.tenant.assemble_tenant`, which assembles all services.
"""

from __future__ import annotations

import errno
from random import Random

from walkcart.daemon.environment import TenantEnvironment
from walkcart.daemon.tenantlimits import add_cold_shares
from walkcart.daemon.tenantstore import make_store_backoff
from walkcart.fanout.delegatedgroup import Outcome
from walkcart.fanout.delegationclient import DelegationClient
from walkcart.fanout.delegationserver import DelegationServer
from walkcart.fanout.delegationtools import DelegationTools
from walkcart.fanout.gatheringinstances import GatheringInstances, find_gathering_places
from walkcart.fanout.handover import Handover
from walkcart.fanout.ids import IdSource
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.merginghandover import MergingHandover
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.quarantinepeers import QuarantinePeers
from walkcart.fanout.quarantines import Quarantines
from walkcart.fanout.routed import RoutedGathering
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.kernel.settings import HostPort
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.pool import LeafPool
from walkcart.membership.links import PeerLinks
from walkcart.membership.quarantinegossip import QuarantineGossip
from walkcart.membership.quarantinekeys import QUARANTINE_PREFIX, QuarantineKeys
from walkcart.membership.registration import Registration
from walkcart.membership.relaying import Relay
from walkcart.platform.callerprotocol import merge_parts
from walkcart.platform.settings import PlatformSettings
from walkcart.platform.store import PlatformStore
from walkcart.routing.distance import Distance, Location
from walkcart.routing.peerchoice import PeerStats
from walkcart.routing.quarantine import Quarantine
from walkcart.routing.repeats import RepeatBudget, RepeatLimits
from walkcart.routing.shutdown import ShutdownDeadline
from walkcart.store.calls import StoreCalls
from walkcart.store.follower import PrefixFollower
from walkcart.wire.peers import PeerListener, PeerTransport


async def listen_for_peers(
    settings: PlatformSettings, transport: PeerTransport, metrics_port: int = 0
) -> PeerListener:
    """Listen for other instances on the first free port of the configured range.

    Ports of the range that the instance needs otherwise are passed over.

    Raises:
        OSError: no port of the range is free.
    """
    first, last = settings.peer_ports
    own = {settings.callers.port, settings.readiness.port, metrics_port}
    failure = OSError(errno.EADDRINUSE, "all ports have another use in this instance")
    for port in range(first, last + 1):
        if port in own:
            continue
        try:
            return await transport.listen(HostPort(settings.host, port))
        except OSError as error:
            # Another role on this machine, or the previous process, uses this port.
            failure = error
    raise failure


def add_delegates(
    kernel: Kernel,
    settings: PlatformSettings,
    environment: TenantEnvironment,
    peers: PeerListener,
) -> None:
    """Add the links to other instances and the gathering that uses them."""
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    registration = kernel.find("registration", Registration)
    links = PeerLinks(peers, environment.transport, registration, events, metrics)
    # Identifies this process among those of the same instance.
    life = environment.random.getrandbits(32)
    ids = IdSource(settings.instance, life)
    # Questions to other instances cross regions, so their ids are kept short: without
    # the instance's name, the random number identifies them just as well.
    question_ids = IdSource("", life)
    keeper = kernel.find("keeper", RouteKeeper)
    directory = kernel.find("directory", LeafDirectory)
    gatherers = GatheringInstances(
        registration,
        environment.clock,
        lambda: find_gathering_places(keeper.table, directory),
    )
    keeper.on_change(lambda table: gatherers.invalidate_places())
    directory.on_change(gatherers.invalidate_places)
    kernel.find("pool", LeafPool).set_gathering(gatherers)
    delegates = DelegationClient(
        DelegationTools(
            links,
            registration,
            PeerStats(),
            question_ids,
            environment.clock,
            environment.random,
            events,
            gatherers,
        )
    )
    add_cold_shares(kernel, environment, gatherers)
    quarantines = add_quarantines(kernel, environment, links, gatherers)
    shutdown = ShutdownDeadline()
    limits = RepeatLimits(
        settings.repeat_ratio,
        settings.repeat_window.total_seconds(),
        settings.repeat_allowance,
    )
    gathering = RoutedTools(
        kernel.find("pool", LeafPool),
        RepeatBudget(limits, environment.clock.monotonic()),
        registration.count,
        ids,
        environment.clock,
        metrics,
        events,
        Location(settings.region, settings.data_centre),
        environment.random,
        quarantines,
        delegates,
        shutdown=shutdown,
    )

    async def gather(question: RoutedQuestion, top: int, handover: Handover) -> Outcome:
        def merge(answer: RoutedAnswer) -> MergedAnswer:
            return merge_parts(answer, top)

        merging_handover = MergingHandover(handover, merge)
        result = await RoutedGathering(
            gathering, question, handover=merging_handover
        ).run()
        return result.map(merge)

    def find_high_latency(kind: str) -> float:
        times = gathering.pool.times_of(kind, Distance.SAME_DATA_CENTRE)
        return times.high(environment.clock.monotonic())

    carrier = DelegationServer(
        links,
        environment.clock,
        gather,
        find_high_latency,
        events,
        quarantines,
        kernel.find("origins", RequestOrigins),
    )
    kernel.add("links", links)
    add_relay(kernel, settings, environment, links)
    kernel.add("delegates", delegates)
    kernel.add("carrier", carrier)
    kernel.add("shutdown", shutdown)
    kernel.add("gathering", gathering)


def add_relay(
    kernel: Kernel,
    settings: PlatformSettings,
    environment: TenantEnvironment,
    links: PeerLinks,
) -> None:
    """Add the relay that forwards stored changes between instances."""
    registration = kernel.find("registration", Registration)
    relay = Relay(
        [
            kernel.find("configuration", PrefixFollower),
            kernel.find("leaf_entries", PrefixFollower),
        ],
        kernel.find("calls", StoreCalls),
        links,
        registration,
        environment.clock,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
        # Instances may have the same random source, but their delays must differ.
        Random(f"{registration.own.name} {environment.random.random()}"),
        settings.memory.relays,
    )
    registration.set_watching_check(lambda: relay.is_watching)
    kernel.add("relay", relay)


def add_quarantines(
    kernel: Kernel,
    environment: TenantEnvironment,
    links: PeerLinks,
    gatherers: GatheringInstances,
) -> Quarantines:
    """Add the quarantine of requests that crashed leaves, its gossip and its store."""
    events = kernel.find("events", EventLog)
    registration = kernel.find("registration", Registration)
    quarantine = Quarantine()
    quarantines = Quarantines(
        quarantine,
        environment.clock,
        registration.own.name,
        environment.random,
        events,
        kernel.find("metrics", Metrics),
    )
    peers = QuarantinePeers(registration, gatherers)
    spread = QuarantineGossip(
        quarantine,
        links,
        environment.clock,
        peers.find_peers,
        peers.may_relay,
        quarantines.log_news,
    )
    keys = QuarantineKeys(
        kernel.find("store", PlatformStore),
        quarantine,
        environment.clock,
        make_store_backoff(environment.random),
        events,
        quarantines.log_news,
    )
    registration.add_prefix_reader(QUARANTINE_PREFIX, keys.merge_item)
    quarantines.set_listeners(spread.broadcast, keys.enqueue)
    kernel.add("quarantines", quarantines)
    kernel.add("quarantine_spread", spread)
    kernel.add("quarantine_keys", keys)
    return quarantines
