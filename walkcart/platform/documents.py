"""The operators' configuration and the leafs' entries, as they lie in the store."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Literal

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
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.leaves.directory import LeafEntry
from walkcart.platform.settings import parse_duration_ms
from walkcart.platform.teamdocuments import StoredTeam, read_regions, read_teams
from walkcart.store.items import Item

#: Start of all that operators store; followed as one, so that what an instance starts
#: with, or is fed, holds evacuations together with the configuration.
OPERATOR_PREFIX = "op/"
#: The key of the configuration.
CONFIGURATION_KEY = "op/config"
#: Start of the keys of evacuated data centres; the rest is the data centre's name.
_EVACUATION_PREFIX = "op/evacuate/"
#: Start of the keys of the leafs' entries; the rest is the id.
LEAF_PREFIX = "servers/"

#: Route types: requests that may run more than once, and those that may not.
_IDEMPOTENT = "idempotent"
#: State of a leaf that is about to end.
_DRAINING = "draining"


class _SplitPart(msgspec.Struct):
    """A service of a split, named in one of two ways."""

    weight: float
    backend: str = ""
    name: str = ""


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    # Longest time that a request is held, in ms.
    timeout_ms: float
    # Time within which an answer earns its full value, in ms.
    target_latency_ms: float = 0.0
    # Leafs that one request may be sent to; for each shard where there are shards.
    max_attempts: int = 1
    # Rank: 0 is the most urgent.
    priority: int = 0
    # One of three: a service, a split over services, or the shards of an index.
    backend: str = ""
    traffic_split: list[_SplitPart] = []
    fanout_services: list[str] = []
    # Records of the merged answer.
    top_k: int = msgspec.field(default=0, name="topK")
    # Least share of the shards that an answer must hold.
    min_coverage: float = 0.0
    # The only regions that requests may be served in; empty means everywhere.
    allowed_regions: list[str] = []
    # Whether its requests need no key.
    public: bool = False


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # Connections that one leaf takes from all callers together.
    max_conns: int = 8
    # How long a leaf stays cold after a start or an evacuation, in seconds.
    warmup_s: float = 0.0
    # Requests a second that a cold leaf bears; 0 where no bound is set.
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 32768
    max_body_bytes: int = 1 << 20
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 120_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Whose keys requests need; without the list they need none.
    tenants: list[StoredTeam] | None = None


class _LeafEntry(msgspec.Struct, rename="camel"):
    """What a leaf stores; what lacks a field, or has one of another type, is none's."""

    # The service that the leaf belongs to.
    backend: str
    address: str
    # The data centre that it stands in.
    zone: str
    # Of its software.
    version: str
    slots: int
    state: Literal["ready", "draining"]
    # How much longer it is slow after its start, in ms.
    warmup_left_ms: float
    # Counts how often it was written.
    seq: int
    # When this life of the leaf began, in Unix milliseconds; 0 where leafs don't say.
    born: int = 0


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_LEAF_ENTRY = msgspec.json.Decoder(_LeafEntry)


def read_configuration(value: bytes) -> RoutingDocument:
    """Return the routing document that a stored configuration stands for.

    Raises:
        msgspec.MsgspecError: it can't be read.
    """
    stored = _CONFIGURATION.decode(value)
    limits = stored.limits
    return RoutingDocument(
        version=stored.version,
        routes=tuple(_read_route(route) for route in stored.routes),
        services=tuple(_read_service(service) for service in stored.services),
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_time=parse_duration_ms(limits.header_timeout_ms),
            idle_time=parse_duration_ms(limits.idle_timeout_ms),
        ),
        teams=read_teams(stored.tenants),
    )


def _read_service(service: _Service) -> ServiceSpec:
    return ServiceSpec(
        service.name,
        service.max_conns,
        timedelta(seconds=service.warmup_s),
        service.warmup_per_s,
    )


def _read_route(route: _Route) -> Route:
    objective = None
    if route.target_latency_ms:
        objective = parse_duration_ms(route.target_latency_ms)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        target=_read_target(route),
        idempotent=route.route_type == _IDEMPOTENT,
        timeout=parse_duration_ms(route.timeout_ms),
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
    """Return the data centres that are evacuated, by the keys that operators stored.

    Examples:
        >>> sorted(read_evacuated(["op/config", "op/evacuate/north-a"]))
        ['north-a']
    """
    return frozenset(
        key.removeprefix(_EVACUATION_PREFIX)
        for key in keys
        if key.startswith(_EVACUATION_PREFIX)
    )


def leaf_entry_differs(old: bytes, new: bytes) -> bool:
    """Return whether a leaf's entry says anything new that is acted on.

    Leafs write theirs anew all the time; that they are still alive, and that less of
    the time is left for which they are cold, changes nothing for who has the entry
    already. That they became cold again does.
    """
    before, after = _decode_leaf_entry(old), _decode_leaf_entry(new)
    if before is None or after is None:
        # One that can't be read is logged by who reads it, once.
        return before is not after
    if 0 < after.warmup_left_ms >= before.warmup_left_ms:
        return True
    before.warmup_left_ms = after.warmup_left_ms
    before.seq = after.seq
    return before != after


def _decode_leaf_entry(value: bytes) -> _LeafEntry | None:
    try:
        return _LEAF_ENTRY.decode(value)
    except msgspec.MsgspecError:
        return None


class LeafEntries:
    """The leafs' entries as they were read last, for reading only what changed.

    Args:
        regions: region by data centre.
        events: where unreadable entries are logged.
    """

    def __init__(self, regions: Mapping[str, str], events: EventLog) -> None:
        self._regions = regions
        self._events = events
        self._entries: dict[str, LeafEntry] = {}

    def read(
        self, items: Mapping[str, Item], changed: Collection[str]
    ) -> Iterable[LeafEntry]:
        """Return all leafs whose entries can be read; log the others.

        Args:
            items: stored entries by key.
            changed: keys of those that came, changed or went since the last call.
        """
        for key in changed:
            self._entries.pop(key, None)
            item = items.get(key)
            if item is not None:
                self._read_one(key, item.value)
        return self._entries.values()

    def _read_one(self, key: str, value: bytes) -> None:
        try:
            stored = _LEAF_ENTRY.decode(value)
        except msgspec.MsgspecError as error:
            self._events.emit(Events.LEAF_ENTRY_BAD, key=key, detail=str(error)[:200])
            return
        self._entries[key] = LeafEntry(
            id=key.removeprefix(LEAF_PREFIX),
            service=stored.backend,
            address=stored.address,
            data_centre=stored.zone,
            region=self._regions.get(stored.zone, ""),
            slots=max(1, stored.slots),
            leaving=stored.state == _DRAINING,
            cold_time=parse_duration_ms(stored.warmup_left_ms),
            incarnation=stored.born,
        )
