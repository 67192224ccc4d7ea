"""The instance as a tenant of the users' platform: its services, put together.

The product's own services are the same as in `walkcart.daemon.assembly` where both
have them; the adapter in `walkcart.platform` takes the place of the ports.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from walkcart.daemon.environment import ListenerService, TenantEnvironment
from walkcart.daemon.tenantlimits import add_limits
from walkcart.daemon.tenantserving import (
    add_delegates,
    add_entry,
    add_metrics_page,
    listen_for_peers,
)
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
from walkcart.wire.server import HttpServer, ServerLimits


@dataclass(frozen=True, slots=True)
class Tenant:
    """An instance on the platform, put together but not running.

    Args:
        kernel: its services; run it to run the instance.
        stop: ends it without cutting a request.
    """

    kernel: Kernel
    stop: RoutedStop


async def assemble_tenant(
    settings: PlatformSettings, around: TenantEnvironment
) -> Tenant:
    """Take the addresses and put the services together.

    Raises:
        OSError: an address can't be had.
    """
    callers = await around.network.listen(settings.callers)
    readiness = await around.network.listen(settings.readiness)
    peers = await listen_for_peers(settings, around.transport)
    kernel = Kernel()
    add_base(kernel, settings, around)
    add_store(kernel, settings, around, peers)
    add_intent(kernel, settings, around)
    add_leaves(kernel, settings, around)
    add_delegates(kernel, settings, around, peers)
    add_limits(kernel, settings, around)
    add_entry(kernel, settings, around, callers)
    service = kernel.find("entry", RoutedService)
    events = kernel.find("events", EventLog)
    server = HttpServer(
        service.handle_readiness,
        ServerLimits(),
        PlatformCallerProtocol().render_fault,
        on_error=partial(log_task_error, events, "question of the balancer"),
    )
    kernel.add("readiness", ListenerService(readiness, server))
    if around.metrics_port:
        await add_metrics_page(kernel, settings, around)
    stop = RoutedStop(
        service,
        kernel.find("carrier", DelegationServer),
        kernel.find("registration", Registration),
        events,
        settings.grace,
        kernel.find("quota_shares", QuotaShares),
    )
    return Tenant(kernel, stop)
