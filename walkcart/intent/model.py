"""The objects of a configuration.

Operators write them in TOML; each class here is one kind of table. The fields'
metadata holds the help, the unit and the bounds from which the validation and
``docs/CONFIGURATION.md`` are made.

See Also:
    `walkcart.intent.loading`, `walkcart.intent.validation`.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, field
from datetime import timedelta
from typing import Any

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


def _item(
    help: str,
    default: Any = MISSING,
    *,
    unit: str = "",
    low: Any = None,
    high: Any = None,
    selector: bool = False,
) -> Any:
    """Return a field with its help, unit and bounds; mappings start empty."""
    details = {
        "help": help,
        "unit": unit,
        "low": low,
        "high": high,
        "selector": selector,
    }
    if isinstance(default, dict):
        return field(default_factory=dict, metadata=details)
    return field(default=default, metadata=details)


@dataclass(frozen=True)
class DataCentre:
    """A data centre and its region."""

    name: str = _item("Name; instances and leaves name it in their settings or labels.")
    region: str = _item("Region that it belongs to.")


@dataclass(frozen=True)
class Partner:
    """A caller's organisation, told by its credential."""

    name: str = _item("Name of the partner.")
    credential_sha256: str = _item(
        "SHA-256 of the bearer token, 64 small hex digits; the token isn't stored."
    )
    scope: str = _item("Scope that leaves are told; rows of others stay hidden.")
    share: float = _item(
        "Weight in the fair sharing of a busy service.", 1.0, low=0.01, high=100.0
    )
    labels: dict[str, str] = _item("Labels.", {})


@dataclass(frozen=True)
class Layout:
    """One division of a shard group's data into shards."""

    epoch: int = _item("Number of the layout; the highest served whole is used.", low=1)
    shards: int = _item("Number of shards.", unit="shards", low=1, high=10_000)
    selector: str = _item(
        "Leaves that hold this layout; their label `shard` says which one.",
        selector=True,
    )


@dataclass(frozen=True)
class ShardGroup:
    """Leaves that hold one body of data."""

    name: str = _item("Name of the group.")
    layouts: tuple[Layout, ...] = _item("Its layouts; two during a repartition.")
    slots: int = _item(
        "Requests that a leaf runs at once.", 2, unit="requests", low=1, high=1000
    )
    connections: int = _item(
        "Connections that a leaf takes from all instances.",
        25,
        unit="connections",
        low=1,
        high=10_000,
    )
    labels: dict[str, str] = _item("Labels.", {})


@dataclass(frozen=True)
class Service:
    """What callers ask by name."""

    name: str = _item("Name in the callers' path.")
    shard_group: str = _item("Group that answers.")
    writes: bool = _item("Whether non-repeatable requests are taken.", False)
    labels: dict[str, str] = _item("Labels; routing intents select by them.", {})


@dataclass(frozen=True)
class RoutingIntent:
    """How the services that it selects are to be served.

    Of the intents that select a service, a field's value comes from the one with
    the highest priority that sets it; `exclude` adds up over all.
    """

    name: str = _item("Name of the intent.")
    selector: str = _item("Services that it is for.", selector=True)
    priority: int = _item("The higher goes first.", 0, low=-1000, high=1000)
    prefer: str | None = _item("Leaves to use first.", None, selector=True)
    exclude: str | None = _item("Leaves that get no new work.", None, selector=True)
    deadline: timedelta | None = _item(
        "Time for a reply when the caller names none; also the most it may name.",
        None,
        unit="s",
        low=MILLISECOND,
        high=600 * SECOND,
    )
    partial_after: timedelta | None = _item(
        "After this, a reply goes out once `least_coverage` is reached.",
        None,
        unit="s",
        low=MILLISECOND,
        high=600 * SECOND,
    )
    least_coverage: float | None = _item(
        "Share of the shards that an answer must cover.", None, low=0.0, high=1.0
    )
    hedge_budget: float | None = _item(
        "Hedges, as a share of the shards asked; 0 turns them off.",
        None,
        low=0.0,
        high=0.5,
    )
    retry_budget: float | None = _item(
        "Retries, as a share of the shards asked.", None, low=0.0, high=1.0
    )
    replica_policy: str | None = _item(
        "One of expected_wait, outstanding, random, round_robin.", None
    )
    queries_in_progress: int | None = _item(
        "Most queries of the service in progress at one instance.",
        None,
        unit="queries",
        low=1,
        high=100_000,
    )


@dataclass(frozen=True)
class LabelRule:
    """Labels that operators put on leaves, over those of the instance list."""

    name: str = _item("Name of the rule.")
    selector: str = _item("Leaves that it is for, by their own labels.", selector=True)
    labels: dict[str, str] = _item("Labels that it sets.", {})


@dataclass(frozen=True)
class Configuration:
    """All objects, each kind in the order of the names."""

    data_centres: tuple[DataCentre, ...] = ()
    partners: tuple[Partner, ...] = ()
    shard_groups: tuple[ShardGroup, ...] = ()
    services: tuple[Service, ...] = ()
    routing_intents: tuple[RoutingIntent, ...] = ()
    label_rules: tuple[LabelRule, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Return the service called `name`, or None."""
        return next((item for item in self.services if item.name == name), None)

    def find_group(self, name: str) -> ShardGroup | None:
        """Return the shard group called `name`, or None."""
        return next((item for item in self.shard_groups if item.name == name), None)


#: Name of the TOML table, class and place in `Configuration` of each kind.
KINDS: dict[str, tuple[type, str]] = {
    "data_centre": (DataCentre, "data_centres"),
    "partner": (Partner, "partners"),
    "shard_group": (ShardGroup, "shard_groups"),
    "service": (Service, "services"),
    "routing_intent": (RoutingIntent, "routing_intents"),
    "label_rule": (LabelRule, "label_rules"),
}
