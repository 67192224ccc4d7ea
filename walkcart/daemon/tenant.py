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
from walkcart.kernel.registry import Kernel
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.quotashares import QuotaShares
from walkcart.membership.registration import Registration
from walkcart.platform.callerprotocol import PlatformCallerProtocol
from walkcart.platform.settings import PlatformSettings
from walkcart.routing.shutdown import ShutdownDeadline
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

    Raises:
        OSError: listening on an address failed.
    """
    callers = await environment.network.listen(settings.callers)
    readiness = await environment.network.listen(settings.readiness)
    peers = await listen_for_peers(settings, environment.transport)
    kernel = Kernel()
    add_base(kernel, settings, environment)
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
