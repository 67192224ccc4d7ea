"""The objects of a configuration.

Operators write them in TOML; each class is one kind of table. The fields' metadata
holds the help, unit and bounds that the validation uses and from which
``docs/CONFIGURATION.md`` is generated.

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
    """Return a dataclass field with its help, unit and bounds as metadata.

    A mapping as `default` makes each object start with an empty one of its own.
    """
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

    name: str = _item(
        "Its name, which instances have in their settings and leaves in their labels."
    )
    region: str = _item("Region that the data centre belongs to.")


@dataclass(frozen=True)
class Partner:
    """An organisation whose callers are identified by its credential."""

    name: str = _item("Name of the partner.")
    credential_sha256: str = _item(
        "SHA-256 of the bearer token as 64 lowercase hex digits; no token is stored."
    )
    scope: str = _item("Scope that leaves are told; rows of others are hidden.")
    share: float = _item(
        "Weight of the partner in the fair sharing of a busy service.",
        1.0,
        low=0.01,
        high=100.0,
    )
    labels: dict[str, str] = _item("Labels.", {})


@dataclass(frozen=True)
class Layout:
    """One partitioning of a shard group's data into shards."""

    epoch: int = _item(
        "Number of the layout; the highest whose shards are all served is used.", low=1
    )
    shards: int = _item("Number of shards.", unit="shards", low=1, high=10_000)
    selector: str = _item(
        "Leaves that hold this layout; their label `shard` gives the shard's number.",
        selector=True,
    )


@dataclass(frozen=True)
class ShardGroup:
    """Leaves that together hold one data set."""

    name: str = _item("Name of the group.")
    layouts: tuple[Layout, ...] = _item(
        "The group's layouts; two during a repartition."
    )
    slots: int = _item(
        "Requests that a leaf runs at once.", 2, unit="requests", low=1, high=1000
    )
    connections: int = _item(
        "Connections that a leaf accepts from all instances together.",
        25,
        unit="connections",
        low=1,
        high=10_000,
    )
    labels: dict[str, str] = _item("Labels.", {})


@dataclass(frozen=True)
class Service:
    """A service that callers query by name."""

    name: str = _item("Name of the service in the callers' request paths.")
    shard_group: str = _item("Shard group that serves the requests.")
    writes: bool = _item(
        "Whether requests that must not be repeated are accepted.", False
    )
    labels: dict[str, str] = _item(
        "Labels by which routing intents select the service.", {}
    )


@dataclass(frozen=True)
class RoutingIntent:
    """How the services that the intent selects are served.

    If several intents select a service, each field takes the value of the intent with
    the highest priority that sets it. `exclude` applies from all of them.
    """

    name: str = _item("Name of the intent.")
    selector: str = _item("Services that the intent applies to.", selector=True)
    priority: int = _item(
        "Intents with a higher priority take precedence.", 0, low=-1000, high=1000
    )
    prefer: str | None = _item("Leaves to use first.", None, selector=True)
    exclude: str | None = _item("Leaves that get no new work.", None, selector=True)
    deadline: timedelta | None = _item(
        "Time for a reply if the caller sets none, and the maximum that it may set.",
        None,
        unit="s",
        low=MILLISECOND,
        high=600 * SECOND,
    )
    partial_after: timedelta | None = _item(
        "Time after which a reply is sent once it reaches `least_coverage`.",
        None,
        unit="s",
        low=MILLISECOND,
        high=600 * SECOND,
    )
    least_coverage: float | None = _item(
        "Minimum share of the shards that an answer covers.", None, low=0.0, high=1.0
    )
    hedge_budget: float | None = _item(
        "Hedged requests as a share of the shards asked; 0 disables hedging.",
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
        "Maximum number of the service's queries in progress at one instance.",
        None,
        unit="queries",
        low=1,
        high=100_000,
    )


@dataclass(frozen=True)
class LabelRule:
    """Labels set on leaves by operators; they override those of the instance list."""

    name: str = _item("Name of the rule.")
    selector: str = _item(
        "Leaves that the rule applies to, by their own labels.", selector=True
    )
    labels: dict[str, str] = _item("Labels that the rule sets.", {})


@dataclass(frozen=True)
class Configuration:
    """All objects of a configuration, each kind sorted by name."""

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


#: For each kind, by its TOML table: the class and the field of `Configuration`.
KINDS: dict[str, tuple[type, str]] = {
    "data_centre": (DataCentre, "data_centres"),
    "partner": (Partner, "partners"),
    "shard_group": (ShardGroup, "shard_groups"),
    "service": (Service, "services"),
    "routing_intent": (RoutingIntent, "routing_intents"),
    "label_rule": (LabelRule, "label_rules"),
}
