"""Assembles the services that serve callers and metrics.

See Also:
    `walkcart.daemon.tenant.assemble_tenant`, which assembles all services.
"""

from __future__ import annotations

from functools import partial
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit

import trio

from walkcart.daemon.environment import ListenerService, TenantEnvironment
from walkcart.entry.overloadgate import OverloadGate
from walkcart.entry.routed import RoutedEntryTools, RoutedHandler
from walkcart.entry.routedservice import RoutedService
from walkcart.entry.shutdowngate import ShutdownGate
from walkcart.entry.startup import StartupGate
from walkcart.entry.teamlimits import DistributedRateLimiter
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.routedtools import RoutedTools
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.kernel.settings import HostPort
from walkcart.kernel.spans import Tracer
from walkcart.kernel.taskerrors import log_task_error
from walkcart.leaves.directory import LeafDirectory
from walkcart.membership.registration import Registration
from walkcart.platform.callerprotocol import PlatformCallerProtocol
from walkcart.platform.optionalfields import MAX_DESCRIPTORS
from walkcart.platform.settings import PlatformSettings
from walkcart.routing.shutdown import ShutdownDeadline
from walkcart.store.follower import PrefixFollower
from walkcart.wire.bodies import MemoryBudget
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.listening import ListenTools, Place, listen_soon
from walkcart.wire.server import HttpServer, ServerLimits

#: Part of the descriptors for sockets that callers' connections may take, in percent.
CALLER_PERCENT = 60
#: Descriptors that the platform reserves for files; at most half of a small limit.
RESERVED_DESCRIPTORS = 200
#: Largest number of connections to the readiness check, and to the metrics page.
MAX_SERVICE_CONNECTIONS = 32


def add_entry(
    kernel: Kernel,
    settings: PlatformSettings,
    environment: TenantEnvironment,
    listener: trio.abc.Listener[trio.abc.Stream],
) -> None:
    """Add the service that serves callers."""
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    keeper = kernel.find("keeper", RouteKeeper)
    directory = kernel.find("directory", LeafDirectory)
    startup_gate = StartupGate(lambda: keeper.known and directory.known)
    keeper.on_change(lambda table: startup_gate.recheck())
    directory.on_change(startup_gate.recheck)
    room = OverloadGate(
        environment.clock,
        environment.random,
        events,
        metrics,
        lambda team: keeper.table.teams.find_share_weight(team),
        lambda: keeper.table.document.teams is not None,
    )
    kernel.add("room", room)
    registration = kernel.find("registration", Registration)
    shutdown = ShutdownGate(
        kernel.find("shutdown", ShutdownDeadline),
        environment.clock,
        environment.random,
        metrics,
        lambda: bool(registration.others()),
    )
    keeper.on_change(
        lambda table: shutdown.times.retain(
            frozenset(route.name for route in table.document.routes)
        )
    )
    protocol = PlatformCallerProtocol()
    handler = RoutedHandler(
        RoutedEntryTools(
            keeper,
            protocol,
            kernel.find("gathering", RoutedTools),
            events,
            metrics,
            kernel.find("tracer", Tracer),
            environment.random,
            startup_gate,
            kernel.find("origins", RequestOrigins),
            kernel.find("configuration", PrefixFollower).find_age,
            room,
            shutdown,
            kernel.find("limits", DistributedRateLimiter),
        )
    )
    service = RoutedService(
        listener,
        handler,
        protocol.render_fault,
        keeper,
        directory,
        events,
        MemoryBudget(settings.memory.requests),
        _find_max_connections(settings),
    )
    kernel.add("entry", service)


def _find_max_connections(settings: PlatformSettings) -> int:
    """Return how many callers may be connected.

    The other descriptors are for leaves, instances, the store, the balancer and files.
    """
    limit, _ = getrlimit(RLIMIT_NOFILE)
    limits = [MAX_DESCRIPTORS if limit == RLIM_INFINITY else limit]
    if settings.descriptors:
        limits.append(settings.descriptors)
    limit = min(limits)
    sockets = limit - min(RESERVED_DESCRIPTORS, limit // 2)
    return max(1, sockets * CALLER_PERCENT // 100)


async def add_metrics_page(
    kernel: Kernel, settings: PlatformSettings, environment: TenantEnvironment
) -> None:
    """Add the metrics page, which other programs may keep from being served."""
    metrics = kernel.find("metrics", Metrics)
    events = kernel.find("events", EventLog)
    address = HostPort(settings.host, environment.metrics_port)
    listener = await listen_soon(
        partial(environment.network.listen, address),
        Place("metrics", str(address), required=False),
        ListenTools(environment.clock, events),
    )

    async def answer(request: HttpRequest) -> HttpReply:
        # Loaded on the first request, as most instances never get one.
        from walkcart.kernel.exposition import CONTENT_TYPE, render_metrics

        headers = ((b"content-type", CONTENT_TYPE.encode()),)
        return HttpReply(200, headers, render_metrics(metrics))

    server = HttpServer(
        answer,
        ServerLimits(),
        PlatformCallerProtocol().render_fault,
        on_error=partial(log_task_error, events, "question for metrics"),
        max_connections=MAX_SERVICE_CONNECTIONS,
        on_full=partial(
            events.emit,
            Events.CONNECTIONS_FULL,
            purpose="metrics",
            connections=MAX_SERVICE_CONNECTIONS,
        ),
    )
    kernel.add("metrics_page", ListenerService(listener, server))
