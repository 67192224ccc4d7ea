"""Routing documents: which requests go to which services.

A routing document is one version of all settings that operators made: routes by host
and path prefix, services, teams and limits of callers. A request is routed by the same
document from its admission to its reply.

Examples:
    >>> route = Route("r", "h.example", "/a/", ToService("s"))
    >>> table = RouteTable(RoutingDocument(1, (route,)))
    >>> table.find_route("h.example", "/a/b?c=d").name
    'r'
    >>> table.find_route("h.example", "/other") is None
    True
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from walkcart.intent.teams import Grant, Team, TeamIndex
from walkcart.routing.eligibility import ALL_REGIONS, Regions

#: Maximum number of leaves per shard for a request if its route sets none.
DEFAULT_MAX_ATTEMPTS = 3
#: Timeout of a request if its route sets none.
DEFAULT_TIMEOUT = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class ToService:
    """Target that sends every request to one service."""

    service: str


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service of a split and its weight relative to the other parts."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ToSplit:
    """Target that distributes requests over services by weight."""

    parts: tuple[SplitPart, ...]


@dataclass(frozen=True, slots=True)
class ToShards:
    """Target that sends every request to one leaf of each shard and merges the replies.

    Args:
        services: the shards, each of which is a service.
        top: maximum number of records in the merged reply.
        least_coverage: minimum share of the shards that an answer must cover.
    """

    services: tuple[str, ...]
    top: int
    least_coverage: float


Target = ToService | ToSplit | ToShards


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests to one host and path prefix are handled.

    Args:
        name: name of the route.
        host: host of the requests, in lowercase and without a port.
        prefix: prefix of the requests' path; ends with a slash.
        target: services that the requests are sent to.
        idempotent: whether a request may run more than once.
        timeout: maximum time until a request is answered.
        objective: latency objective of a reply; None if there is none.
        most_attempts: maximum number of leaves that may run a request, for each shard.
        rank: urgency of the requests; 0 is the most urgent.
        regions: regions that the requests may be served in.
        public: whether the requests need no key although the document has teams.
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool = True
    timeout: timedelta = DEFAULT_TIMEOUT
    objective: timedelta | None = None
    most_attempts: int = DEFAULT_MAX_ATTEMPTS
    rank: int = 0
    regions: Regions = ALL_REGIONS
    public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service as operators configure it.

    Args:
        name: name of the service.
        most_connections: maximum number of connections that one leaf of the service
            accepts from all clients together.
        cold_time: time for which a leaf is cold after a start or an evacuation.
        cold_rate: requests per second that a cold leaf can handle; 0 for no limit.
    """

    name: str
    most_connections: int
    cold_time: timedelta = timedelta()
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of a caller.

    Args:
        header_bytes: maximum size of a request's head.
        body_bytes: maximum size of a request's body.
        head_time: maximum time from the first byte of a request to the end of its head.
        idle_time: time after which a connection without a request is closed.
    """

    header_bytes: int = 32768
    body_bytes: int = 1 << 20
    head_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=120)


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of the routing settings.

    Args:
        version: version of the document; a higher one replaces a lower one.
        routes: all routes.
        services: all services.
        limits: limits of each caller.
        teams: teams with one of whose keys a request must come; None if requests need
            no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    teams: tuple[Team, ...] | None = None


class RouteTable:
    """A routing document, indexed for looking up routes and teams.

    Args:
        document: the document to index.
    """

    def __init__(self, document: RoutingDocument) -> None:
        self.document = document
        self.services = {spec.name: spec for spec in document.services}
        self.teams = TeamIndex(document.teams or ())
        self._by_name = {route.name: route for route in document.routes}
        self._by_host: dict[str, list[Route]] = {}
        for route in document.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find_allowed_regions(self, name: str, team: str = "") -> Regions:
        """Return the regions in which requests of a route and a team may be served.

        An unknown route or team doesn't restrict them.

        Args:
            name: name of the route.
            team: name of the team; empty for none.
        """
        route = self._by_name.get(name)
        found = self.teams.find_by_name(team) if team else None
        regions = route.regions if route else ALL_REGIONS
        return regions.intersect(found.regions) if found else regions

    def find_rank(self, name: str, team: str = "") -> int:
        """Return the rank of a request: its team's if it has one, else its route's.

        An unknown route has rank 0.

        Args:
            name: name of the route.
            team: name of the team; empty for none.
        """
        found = self.teams.find_by_name(team) if team else None
        if found is not None and found.rank is not None:
            return found.rank
        route = self._by_name.get(name)
        return route.rank if route else 0

    def still_admits(self, name: str, grant: Grant) -> bool:
        """Return whether a request admitted earlier would still be admitted.

        Args:
            name: name of the route.
            grant: team and key with which the request was admitted.
        """
        if self.document.teams is None:
            return True
        if not grant.team:
            route = self._by_name.get(name)
            return route is None or route.public
        if grant.credential is None:
            return self.teams.find_by_name(grant.team) is not None
        team = self.teams.find_by_key(grant.credential)
        return team is not None and team.name == grant.team

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that matches, or None.

        Args:
            host: the request's ``Host`` header; case and port are ignored.
            target: the request's path, optionally with a query.
        """
        path = target.partition("?")[0]
        for route in self._by_host.get(_strip_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def list_target_services(target: Target) -> tuple[str, ...]:
    """Return the services that a target may send requests to."""
    match target:
        case ToService(service):
            return (service,)
        case ToSplit(parts):
            return tuple(part.service for part in parts)
        case ToShards(services):
            return services


def _strip_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
