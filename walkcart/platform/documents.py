"""Reads the operators' configuration and the leaves' entries from the store."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable, Mapping
from typing import Annotated, Literal

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
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.settings import BadValue, parse_peer_address
from walkcart.leaves.directory import LeafEntry
from walkcart.platform.teamdocuments import (
    HEADER_TEXT_PATTERN,
    MAX_RATE,
    StoredTeam,
    read_regions,
    read_teams,
)
from walkcart.store.items import Item

#: Prefix of all keys that operators store. All of them are followed as one copy, so
#: that an instance that starts, or is fed by another instance, gets the evacuations
#: together with the configuration.
OPERATOR_PREFIX = "op/"
#: Key of the configuration.
CONFIGURATION_KEY = "op/config"
#: Prefix of the keys of evacuated data centres; the data centre's name follows.
_EVACUATION_PREFIX = "op/evacuate/"
#: Prefix of the keys of the leaves' entries; the leaf's id follows.
LEAF_PREFIX = "servers/"

#: Maximum weight in a traffic split: sums of such weights are finite.
MAX_WEIGHT = 1e15

#: Type of the routes whose requests may run more than once.
_IDEMPOTENT = "idempotent"
#: State in the entry of a leaf that is about to stop.
_DRAINING = "draining"


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


class _LeafEntry(msgspec.Struct, rename="camel"):
    """A leaf's entry; one with a missing field or a wrong type is unreadable."""

    # Service that the leaf belongs to.
    backend: str
    address: str
    # Data centre of the leaf.
    zone: str
    # Version of the leaf's software.
    version: str
    slots: Int64
    state: Literal["ready", "draining"]
    # Remaining time for which the leaf is slow after its start, in ms.
    warmup_left_ms: float
    # Number of times that the entry was written.
    seq: int
    # Start of the leaf's process in Unix milliseconds; 0 if the leaf doesn't report it.
    born: Int64 = 0


#: Texts that fit into a header.
_HEADER_TEXT = re.compile(HEADER_TEXT_PATTERN)

_CONFIGURATION = JsonDecoder(_Configuration)
_LEAF_ENTRY = JsonDecoder(_LeafEntry)


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


def leaf_entry_differs(old: bytes, new: bytes) -> bool:
    """Return whether a leaf's new entry differs in anything that instances act on.

    Leaves rewrite their entries all the time, to show that they are alive and how much
    of their cold time remains. A reader that has the previous entry doesn't act on
    that. It does act on a cold time that starts anew.
    """
    before, after = _decode_leaf_entry(old), _decode_leaf_entry(new)
    if before is None or after is None:
        # `LeafEntries` logs each unreadable entry once.
        return before is not after
    if 0 < after.warmup_left_ms >= before.warmup_left_ms:
        return True
    before.warmup_left_ms = after.warmup_left_ms
    before.seq = after.seq
    return before != after


def _decode_leaf_entry(value: bytes) -> _LeafEntry | None:
    try:
        return _LEAF_ENTRY.decode(value)
    except BadData:
        return None


def _check_leaf(id: str, stored: _LeafEntry) -> None:
    """Check that requests can be sent to a leaf: its id goes into a header.

    Raises:
        BadData: the id or the address can't be used.
    """
    if not _HEADER_TEXT.fullmatch(id):
        raise BadData(f"expected an id without control characters, got {id!r}")
    try:
        parse_peer_address(stored.address)
    except BadValue as error:
        raise BadData(f"expected {error}, got {stored.address!r}") from None


class LeafEntries:
    """Holds the decoded entries of leaves and decodes only those that change.

    Args:
        regions: region by data centre.
        events: log for unreadable entries.
    """

    def __init__(self, regions: Mapping[str, str], events: EventLog) -> None:
        self._regions = regions
        self._events = events
        self._entries: dict[str, LeafEntry] = {}

    def read(
        self, items: Mapping[str, Item], changed: Collection[str]
    ) -> Iterable[LeafEntry]:
        """Return all leaves with readable entries; log the unreadable ones.

        Args:
            items: stored entries by key.
            changed: keys that were added, changed or removed since the last call.
        """
        for key in changed:
            self._entries.pop(key, None)
            item = items.get(key)
            if item is not None:
                self._update_entry(key, item.value)
        return self._entries.values()

    def _update_entry(self, key: str, value: bytes) -> None:
        try:
            stored = _LEAF_ENTRY.decode(value)
            _check_leaf(key.removeprefix(LEAF_PREFIX), stored)
        except BadData as error:
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
            # A leaf that counts down may pass 0.
            cold_time=milliseconds_to_duration(max(0.0, stored.warmup_left_ms)),
            incarnation=stored.born,
        )
