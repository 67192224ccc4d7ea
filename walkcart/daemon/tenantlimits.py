"""Assembles the services that enforce limits shared by all instances.

See Also:
    `walkcart.daemon.tenant.assemble_tenant`, which assembles all services.
"""

from __future__ import annotations

from walkcart.daemon.environment import TenantEnvironment
from walkcart.entry.teamlimits import DistributedRateLimiter
from walkcart.fanout.gatheringinstances import GatheringInstances
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import RouteTable
from walkcart.intent.teams import RateLimit
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.leaves.coldlimiter import ColdLimiter
from walkcart.membership.coldshares import ColdShareDemand, ColdShares
from walkcart.membership.links import PeerLinks
from walkcart.membership.quotaclient import QuotaClient
from walkcart.membership.quotaholders import QuotaHolders
from walkcart.membership.quotakeys import QUOTA_PREFIX, QuotaKeys
from walkcart.membership.quotaserver import QuotaServer
from walkcart.membership.quotashares import QuotaShares
from walkcart.membership.registration import Registration
from walkcart.platform.settings import PlatformSettings
from walkcart.platform.store import PlatformStore


class LimitsInForce:
    """The teams' rate limits in the routing document in force.

    Args:
        keeper: holds the routing document.
    """

    def __init__(self, keeper: RouteKeeper) -> None:
        self._keeper = keeper
        self.limited = _find_limited_teams(keeper.table)

    def update(self, table: RouteTable) -> None:
        """Use the limits of a new document."""
        self.limited = _find_limited_teams(table)

    @property
    def any(self) -> bool:
        """Whether any team has a limit."""
        return bool(self.limited)

    def find(self, team: str) -> tuple[int, RateLimit | None]:
        """Return the version in force and a team's limit, or None without a limit."""
        table = self._keeper.table
        found = table.teams.find_by_name(team)
        return table.document.version, found.limit if found else None


def add_cold_shares(
    kernel: Kernel, environment: TenantEnvironment, gatherers: GatheringInstances
) -> None:
    """Add the service that divides the rate limits of cold leaves among instances."""
    cold = kernel.find("cold", ColdLimiter)
    shares = ColdShares(
        kernel.find("store", PlatformStore),
        kernel.find("registration", Registration),
        ColdShareDemand(cold.find_bounded, cold.find_cold, gatherers.rank_for),
        environment.clock,
        kernel.find("events", EventLog),
    )
    cold.set_share_source(shares.find_share)
    kernel.add("cold_shares", shares)


def add_limits(
    kernel: Kernel, settings: PlatformSettings, environment: TenantEnvironment
) -> None:
    """Add the services that enforce the teams' rate limits over all instances."""
    registration = kernel.find("registration", Registration)
    links = kernel.find("links", PeerLinks)
    events = kernel.find("events", EventLog)
    metrics = kernel.find("metrics", Metrics)
    keeper = kernel.find("keeper", RouteKeeper)
    bounds = settings.quota_bounds
    in_force = LimitsInForce(keeper)
    keys = QuotaKeys(
        kernel.find("store", PlatformStore),
        registration.own,
        environment.clock,
        bounds.window,
    )
    holders = QuotaHolders(registration, environment.clock, events)
    shares = QuotaShares(
        keys,
        holders,
        links,
        bounds,
        lambda: in_force.any,
        environment.clock,
        events,
        metrics,
    )
    registration.add_prefix_reader(QUOTA_PREFIX, shares.handle_item)
    answers = QuotaServer(
        links, shares, holders, bounds, in_force.find, environment.clock
    )
    asks = QuotaClient(
        links,
        registration,
        shares,
        holders,
        bounds,
        environment.clock,
        environment.random,
        metrics,
    )
    limits = DistributedRateLimiter(
        asks,
        bounds,
        in_force.find,
        environment.clock,
        environment.random,
        metrics,
    )

    def update_limits(table: RouteTable) -> None:
        in_force.update(table)
        limits.retain_teams(in_force.limited)
        shares.wake()

    keeper.on_change(update_limits)
    kernel.add("quota_shares", shares)
    kernel.add("quota_answers", answers)
    kernel.add("limits", limits)


def _find_limited_teams(table: RouteTable) -> frozenset[str]:
    teams = table.teams.all()
    return frozenset(team.name for team in teams if team.limit is not None)
