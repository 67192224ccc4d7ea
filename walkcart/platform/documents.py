"""Reads the operators' configuration from the store."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from walkcart.intent.routes import (
    CallerLimits,
    Route,
    RoutingDocument,
    ServiceSpec,
    SplitPart,
    Target,
    ToService,
    ToShards,
    ToSplit,
)
from walkcart.kernel.decoding import BadData, Count, Int64, JsonDecoder
from walkcart.kernel.durations import (
    BadDuration,
    milliseconds_to_duration,
    seconds_to_duration,
)
from walkcart.platform.teamdocuments import (
    MAX_RATE,
    StoredTeam,
    read_regions,
    read_teams,
)

#: Prefix of all keys that operators store. All of them are followed as one copy, so
#: that an instance that starts, or is fed by another instance, gets the evacuations
#: together with the configuration.
OPERATOR_PREFIX = "op/"
#: Key of the configuration.
CONFIGURATION_KEY = "op/config"
#: Prefix of the keys of evacuated data centres; the data centre's name follows.
_EVACUATION_PREFIX = "op/evacuate/"

#: Maximum weight in a traffic split: sums of such weights are finite.
MAX_WEIGHT = 1e15

#: Type of the routes whose requests may run more than once.
_IDEMPOTENT = "idempotent"


class _SplitPart(msgspec.Struct):
    """A service of a traffic split, named by either of two fields."""

    weight: Annotated[float, msgspec.Meta(le=MAX_WEIGHT)]
    backend: str = ""
    name: str = ""


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    # Maximum time for which a request is held, in ms.
    timeout_ms: float
    # Latency objective of an answer, in ms; a later answer is worth less to the caller.
    target_latency_ms: float = 0.0
    # Maximum number of leaves that one request is sent to, per shard if sharded.
    max_attempts: Int64 = 1
    # Priority: 0 is the most urgent.
    priority: Int64 = 0
    # Target, one of three: a service, a split over services, or shards of an index.
    backend: str = ""
    traffic_split: list[_SplitPart] = []
    fanout_services: list[str] = []
    # Number of records in a merged answer.
    top_k: Count = msgspec.field(default=0, name="topK")
    # Minimum fraction of the shards that an answer must contain.
    min_coverage: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    # Regions in which requests may be served; empty means all.
    allowed_regions: list[str] = []
    # Whether requests are served without a key.
    public: bool = False


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # Maximum connections that one leaf accepts from all its clients together.
    max_conns: Int64 = 8
    # How long a leaf stays cold after a start or an evacuation, in seconds.
    warmup_s: float = 0.0
    # Requests per second that a cold leaf can serve; 0 means no limit.
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)] = 32768
    max_body_bytes: Count = 1 << 20
    # With times of 0 every connection would be closed at once.
    header_timeout_ms: Annotated[float, msgspec.Meta(gt=0)] = 10_000
    idle_timeout_ms: Annotated[float, msgspec.Meta(gt=0)] = 120_000


class _Configuration(msgspec.Struct):
    version: Int64
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Teams whose keys are accepted; without the list requests need no key.
    tenants: list[StoredTeam] | None = None


_CONFIGURATION = JsonDecoder(_Configuration)


def read_configuration(value: bytes) -> RoutingDocument:
    """Parse a stored configuration into a routing document.

    Raises:
        BadData: the value isn't a valid configuration.
    """
    stored = _CONFIGURATION.decode(value)
    try:
        return _make_document(stored)
    except BadDuration as error:
        raise BadData(str(error)) from None


def _make_document(stored: _Configuration) -> RoutingDocument:
    limits = stored.limits
    return RoutingDocument(
        version=stored.version,
        routes=tuple(_read_route(route) for route in stored.routes),
        services=tuple(_read_service(service) for service in stored.services),
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_time=milliseconds_to_duration(limits.header_timeout_ms),
            idle_time=milliseconds_to_duration(limits.idle_timeout_ms),
        ),
        teams=read_teams(stored.tenants),
    )


def _read_service(service: _Service) -> ServiceSpec:
    return ServiceSpec(
        service.name,
        service.max_conns,
        seconds_to_duration(service.warmup_s),
        min(service.warmup_per_s, MAX_RATE),
    )


def _read_route(route: _Route) -> Route:
    objective = None
    if route.target_latency_ms:
        objective = milliseconds_to_duration(route.target_latency_ms)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        target=_read_target(route),
        idempotent=route.route_type == _IDEMPOTENT,
        timeout=milliseconds_to_duration(route.timeout_ms),
        objective=objective,
        most_attempts=max(1, route.max_attempts),
        rank=route.priority,
        regions=read_regions(route.allowed_regions),
        public=route.public,
    )


def _read_target(route: _Route) -> Target:
    if route.fanout_services:
        services = tuple(dict.fromkeys(route.fanout_services))
        return ToShards(services, route.top_k, route.min_coverage)
    parts = tuple(
        SplitPart(part.backend or part.name, part.weight)
        for part in route.traffic_split
        if part.weight > 0
    )
    return ToSplit(parts) if parts else ToService(route.backend)


def read_evacuated(keys: Iterable[str]) -> frozenset[str]:
    """Return the evacuated data centres among the keys that operators stored.

    Examples:
        >>> sorted(read_evacuated(["op/config", "op/evacuate/north-a"]))
        ['north-a']
    """
    return frozenset(
        key.removeprefix(_EVACUATION_PREFIX)
        for key in keys
        if key.startswith(_EVACUATION_PREFIX)
    )
