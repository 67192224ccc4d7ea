"""Routing intents: which requests go to which services.

A routing document is one version of everything that operators decided: routes by
host and path prefix, services, and what callers may send. A request is routed by
one document from its admission to its answer.

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

#: Attempts at one leaf or shard where a route sets no bound.
MOST_ATTEMPTS = 3
#: Longest time for a request where a route sets none.
LONGEST_TIME = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class ToService:
    """Every request goes to one service."""

    service: str


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service and its share of the requests, relative to the other parts."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ToSplit:
    """Requests are divided over services by weight."""

    parts: tuple[SplitPart, ...]


@dataclass(frozen=True, slots=True)
class ToShards:
    """Every request goes to one leaf of each shard; the replies are merged.

    Args:
        services: the shards, each a service.
        top: records of the merged reply at the most.
        least_coverage: share of the shards that an answer must cover.
    """

    services: tuple[str, ...]
    top: int
    least_coverage: float


Target = ToService | ToSplit | ToShards


@dataclass(frozen=True, slots=True)
class Route:
    """What is done with the requests to one host and path prefix.

    Args:
        name: names the route.
        host: of the requests, in small letters, without a port.
        prefix: start of their path; ends with a slash.
        target: where they go.
        idempotent: whether a request may run more than once.
        timeout: longest time for which a request is held.
        objective: time within which an answer is of full value; None when any is.
        most_attempts: leafs that may run one request, for each shard.
        rank: 0 is the most urgent.
        regions: that its requests may be served in.
        public: whether its requests need no key where there are teams.
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool = True
    timeout: timedelta = LONGEST_TIME
    objective: timedelta | None = None
    most_attempts: int = MOST_ATTEMPTS
    rank: int = 0
    regions: Regions = ALL_REGIONS
    public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service, as operators describe it.

    Args:
        name: names the service.
        most_connections: that one of its leafs takes from all callers together.
        cold_time: for which a leaf is cold after a start or an evacuation.
        cold_rate: requests a second that a cold leaf bears; 0 where no bound is set.
    """

    name: str
    most_connections: int
    cold_time: timedelta = timedelta()
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Args:
        header_bytes: of one request's head.
        body_bytes: of one request's body.
        head_time: from the first byte of a request to the end of its head.
        idle_time: for which a connection without a request is kept.
    """

    header_bytes: int = 32768
    body_bytes: int = 1 << 20
    head_time: timedelta = timedelta(seconds=10)
    idle_time: timedelta = timedelta(seconds=120)


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of the routing intents.

    Args:
        version: a higher one replaces a lower one.
        routes: all routes.
        services: all services.
        limits: of callers.
        teams: whose keys requests need; None where requests need none.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    teams: tuple[Team, ...] | None = None


class RouteTable:
    """One document, indexed for the search of routes.

    Args:
        document: what is indexed.
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
        """Return where requests of a route and a team may be served.

        What isn't known here binds nothing.

        Args:
            name: of the route.
            team: name of the team; empty for none.
        """
        route = self._by_name.get(name)
        asker = self.teams.find_by_name(team) if team else None
        regions = route.regions if route else ALL_REGIONS
        return regions.intersect(asker.regions) if asker else regions

    def find_rank(self, name: str, team: str = "") -> int:
        """Return the rank of a request: its team's, else its route's.

        Args:
            name: of the route.
            team: name of the team; empty for none.
        """
        asker = self.teams.find_by_name(team) if team else None
        if asker is not None and asker.rank is not None:
            return asker.rank
        route = self._by_name.get(name)
        return route.rank if route else 0

    def still_admits(self, name: str, grant: Grant) -> bool:
        """Return whether a request that was let in once would be let in now.

        Args:
            name: of the route.
            grant: by what it was let in.
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
        """Return the route with the longest prefix of a request's path, or None.

        Args:
            host: the ``Host`` header; case and port make no difference.
            target: path of the request, with a query if there is one.
        """
        path = target.partition("?")[0]
        for route in self._by_host.get(_strip_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def services_of(target: Target) -> tuple[str, ...]:
    """Return the services that a target may send to."""
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
