"""The policy of one service, from the routing intents that select it."""

from __future__ import annotations

from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Any

from walkcart.intent.model import Configuration, RoutingIntent, Service
from walkcart.intent.selectors import Labels, Selector, parse_selector

REPLICA_POLICIES = ("expected_wait", "outstanding", "random", "round_robin")

#: Label by which an intent can select one service by name.
SERVICE_LABEL = "service"


@dataclass(frozen=True)
class Policy:
    """How one service is served; see `RoutingIntent` for the fields.

    Args:
        sources: by field, the name of the intent that it comes from.
    """

    prefer: str | None = None
    exclude: tuple[str, ...] = ()
    deadline: timedelta = timedelta(seconds=1)
    partial_after: timedelta | None = None
    least_coverage: float = 0.0
    hedge_budget: float = 0.05
    retry_budget: float = 0.2
    replica_policy: str = "expected_wait"
    queries_in_progress: int = 256
    sources: tuple[tuple[str, str], ...] = ()

    def excludes(self, labels: Labels) -> bool:
        """Return whether a leaf with `labels` gets no new work."""
        return any(parse_selector(text).matches(labels) for text in self.exclude)

    def prefers(self, labels: Labels) -> bool:
        """Return whether a leaf with `labels` is used first."""
        return self.prefer is None or parse_selector(self.prefer).matches(labels)


MERGED_FIELDS = tuple(
    item.name for item in fields(Policy) if item.name not in ("exclude", "sources")
)


def find_intents(
    configuration: Configuration, service: Service
) -> tuple[RoutingIntent, ...]:
    """Return the intents that select `service`, highest priority first."""
    labels = {**service.labels, SERVICE_LABEL: service.name}
    chosen = [
        intent
        for intent in configuration.routing_intents
        if _selector(intent).matches(labels)
    ]
    return tuple(sorted(chosen, key=lambda intent: (-intent.priority, intent.name)))


def _selector(intent: RoutingIntent) -> Selector:
    return parse_selector(intent.selector)


def resolve_policy(configuration: Configuration, service: Service) -> Policy:
    """Merge the intents that select `service`."""
    intents = find_intents(configuration, service)
    values: dict[str, Any] = {}
    sources: dict[str, str] = {}
    for name in MERGED_FIELDS:
        for intent in intents:
            value = getattr(intent, name)
            if value is not None:
                values[name] = value
                sources[name] = intent.name
                break
    exclude = tuple(intent.exclude for intent in intents if intent.exclude)
    return Policy(exclude=exclude, sources=tuple(sorted(sources.items())), **values)


def apply_label_rules(configuration: Configuration, labels: Labels) -> dict[str, str]:
    """Return a leaf's labels with those of the matching rules laid over them."""
    merged = dict(labels)
    for rule in configuration.label_rules:
        if parse_selector(rule.selector).matches(labels):
            merged.update(rule.labels)
    return merged
