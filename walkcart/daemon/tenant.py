"""Assembles an instance that runs as a tenant of the users' platform.

`walkcart.daemon.assembly` assembles the other kind of instance, partly from the same
services. The adapters in `walkcart.platform` implement the interfaces to the platform.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from walkcart.daemon.environment import ListenerService, TenantEnvironment
from walkcart.daemon.tenantentry import (
    MAX_SERVICE_CONNECTIONS,
    add_entry,
    add_metrics_page,
)
from walkcart.daemon.tenantlimits import add_limits
from walkcart.daemon.tenantserving import add_delegates, listen_for_peers
from walkcart.daemon.tenantstore import add_base, add_intent, add_leaves, add_store
from walkcart.entry.routedservice import RoutedService
from walkcart.entry.routedstop import RoutedStop
from walkcart.fanout.delegationserver import DelegationServer
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.registry import Kernel
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.quotashares import QuotaShares
from walkcart.membership.registration import Registration
from walkcart.platform.callerprotocol import PlatformCallerProtocol
from walkcart.platform.settings import PlatformSettings
from walkcart.routing.shutdown import ShutdownDeadline
from walkcart.wire.listening import (
    ListenTools,
    Place,
    listen_soon,
    log_listening,
    retry_listen,
)
from walkcart.wire.peers import PeerListener
from walkcart.wire.server import HttpServer, ServerLimits


@dataclass(frozen=True, slots=True)
class Tenant:
    """An assembled instance on the platform that isn't running yet.

    Args:
        kernel: the services; running it runs the instance.
        stop: graceful stop, which lets running requests finish.
    """

    kernel: Kernel
    stop: RoutedStop


async def assemble_tenant(
    settings: PlatformSettings, environment: TenantEnvironment
) -> Tenant:
    """Listen on the instance's addresses and assemble its services.

    Waits for an address for other instances, as they are told which one it is. The
    others may be busy: they are listened on as soon as they are free.
    """
    kernel = Kernel()
    add_base(kernel, settings, environment)
    tools = ListenTools(environment.clock, kernel.find("events", EventLog))
    peers = await _wait_for_peer_address(settings, environment, tools)
    network = environment.network
    callers = await listen_soon(
        partial(network.listen, settings.callers),
        Place("callers", str(settings.callers)),
        tools,
    )
    readiness = await listen_soon(
        partial(network.listen, settings.readiness),
        Place("readiness", str(settings.readiness)),
        tools,
    )
    add_store(kernel, settings, environment, peers)
    add_intent(kernel, settings, environment)
    add_leaves(kernel, settings, environment)
    add_delegates(kernel, settings, environment, peers)
    add_limits(kernel, settings, environment)
    add_entry(kernel, settings, environment, callers)
    service = kernel.find("entry", RoutedService)
    events = kernel.find("events", EventLog)
    server = HttpServer(
        service.handle_readiness,
        ServerLimits(),
        PlatformCallerProtocol().render_fault,
        on_error=partial(log_task_error, events, "question of the balancer"),
        max_connections=MAX_SERVICE_CONNECTIONS,
        on_full=partial(
            events.emit,
            Events.CONNECTIONS_FULL,
            purpose="readiness",
            connections=MAX_SERVICE_CONNECTIONS,
        ),
    )
    kernel.add("readiness", ListenerService(readiness, server))
    if environment.metrics_port:
        await add_metrics_page(kernel, settings, environment)
    stop = RoutedStop(
        service,
        kernel.find("carrier", DelegationServer),
        kernel.find("registration", Registration),
        events,
        settings.grace,
        kernel.find("quota_shares", QuotaShares),
        kernel.find("shutdown", ShutdownDeadline),
    )
    return Tenant(kernel, stop)


async def _wait_for_peer_address(
    settings: PlatformSettings, environment: TenantEnvironment, tools: ListenTools
) -> PeerListener:
    first, last = settings.peer_ports
    peers = await retry_listen(
        partial(
            listen_for_peers,
            settings,
            environment.transport,
            environment.metrics_port,
        ),
        Place("other instances", f"{settings.host}, ports {first} to {last}"),
        tools,
    )
    log_listening(Place("other instances", str(peers.address)), tools)
    return peers
