"""Validates a whole configuration before it is accepted.

A configuration with faults is always refused. Selectors that match nothing are
warnings, which also lead to a refusal unless the operator allows them: a mistyped
selector is the most likely way in which an intent silently has no effect.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from typing import Any

from walkcart.intent.loading import ConfigurationFault
from walkcart.intent.model import KINDS, Configuration, ShardGroup
from walkcart.intent.policy import REPLICA_POLICIES
from walkcart.intent.selectors import (
    KEY_PATTERN,
    VALUE_PATTERN,
    SelectorError,
    parse_selector,
)
from walkcart.kernel.settings import NAME_PATTERN

_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class Report:
    """Result of validating a configuration.

    Args:
        faults: errors, each of which leads to a refusal.
        warnings: selectors that match nothing.
    """

    faults: tuple[ConfigurationFault, ...]
    warnings: tuple[ConfigurationFault, ...]


def validate_configuration(
    configuration: Configuration,
    leaf_labels: Iterable[Mapping[str, str]] | None = None,
) -> Report:
    """Validate `configuration`.

    Args:
        configuration: the configuration to validate.
        leaf_labels: labels of all leaves, to check the selectors of leaves too;
            None to skip this check.
    """
    faults: list[ConfigurationFault] = []
    for kind, (_, place) in KINDS.items():
        items = getattr(configuration, place)
        _check_unique(kind, [item.name for item in items], faults)
        for item in items:
            _check_object(f"{kind} {item.name}", item, faults)
    _check_references(configuration, faults)
    _check_partners(configuration, faults)
    if faults:
        return Report(tuple(faults), ())
    return Report((), tuple(_find_empty_selectors(configuration, leaf_labels)))


def _check_unique(
    kind: str, names: list[str], faults: list[ConfigurationFault]
) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            faults.append(ConfigurationFault(f"{kind} {name}", "a name used once"))


def _check_object(place: str, item: Any, faults: list[ConfigurationFault]) -> None:
    name = getattr(item, "name", None)
    if name is not None and not NAME_PATTERN.fullmatch(name):
        expected = "a name of small letters, digits, dots and hyphens"
        faults.append(ConfigurationFault(place, expected))
    for entry in fields(item):
        value = getattr(item, entry.name)
        where = f"{place}, {entry.name}"
        _check_bounds(where, value, entry.metadata, faults)
        if entry.metadata["selector"] and value is not None:
            _check_selector(where, value, faults)
        if entry.name == "labels":
            _check_labels(where, value, faults)
    if isinstance(item, ShardGroup):
        _check_layouts(place, item, faults)


def _check_bounds(
    where: str, value: Any, details: Mapping[str, Any], faults: list[ConfigurationFault]
) -> None:
    low, high = details["low"], details["high"]
    if value is None or low is None:
        return
    if value < low or (high is not None and value > high):
        bounds = f"at least {low}" if high is None else f"from {low} to {high}"
        faults.append(ConfigurationFault(where, f"{bounds}, not {value}"))


def _check_selector(where: str, text: str, faults: list[ConfigurationFault]) -> None:
    try:
        parse_selector(text)
    except SelectorError as error:
        faults.append(ConfigurationFault(where, f"a selector: {error}"))


def _check_labels(
    where: str, labels: Mapping[str, str], faults: list[ConfigurationFault]
) -> None:
    for key, value in labels.items():
        if not KEY_PATTERN.fullmatch(key) or not VALUE_PATTERN.fullmatch(value):
            faults.append(ConfigurationFault(where, f"a label, not {key}={value}"))


def _check_layouts(
    place: str, group: ShardGroup, faults: list[ConfigurationFault]
) -> None:
    if not group.layouts:
        faults.append(ConfigurationFault(f"{place}, layouts", "at least one layout"))
    epochs = Counter(layout.epoch for layout in group.layouts)
    for epoch, count in epochs.items():
        if count > 1:
            expected = f"epoch {epoch} used once"
            faults.append(ConfigurationFault(f"{place}, layouts", expected))
    for layout in group.layouts:
        _check_object(f"{place}, layout {layout.epoch}", layout, faults)


def _check_references(
    configuration: Configuration, faults: list[ConfigurationFault]
) -> None:
    groups = {group.name for group in configuration.shard_groups}
    for service in configuration.services:
        if service.shard_group not in groups:
            where = f"service {service.name}, shard_group"
            expected = f"an existing group, not {service.shard_group!r}"
            faults.append(ConfigurationFault(where, expected))
    for intent in configuration.routing_intents:
        policy = intent.replica_policy
        if policy is not None and policy not in REPLICA_POLICIES:
            where = f"routing_intent {intent.name}, replica_policy"
            expected = f"one of {', '.join(REPLICA_POLICIES)}"
            faults.append(ConfigurationFault(where, expected))


def _check_partners(
    configuration: Configuration, faults: list[ConfigurationFault]
) -> None:
    seen: dict[str, str] = {}
    for partner in configuration.partners:
        where = f"partner {partner.name}, credential_sha256"
        digest = partner.credential_sha256
        if not _DIGEST.fullmatch(digest):
            faults.append(ConfigurationFault(where, "64 small hex digits"))
        if digest in seen:
            expected = f"a credential other than that of {seen[digest]}"
            faults.append(ConfigurationFault(where, expected))
        seen[digest] = partner.name


def _find_empty_selectors(
    configuration: Configuration, leaf_labels: Iterable[Mapping[str, str]] | None
) -> Iterable[ConfigurationFault]:
    services = [service.labels for service in configuration.services]
    services = [
        {**labels, "service": service.name}
        for labels, service in zip(services, configuration.services, strict=True)
    ]
    for intent in configuration.routing_intents:
        if not _matches_any(intent.selector, services):
            where = f"routing_intent {intent.name}, selector"
            yield ConfigurationFault(where, "to match a service; it matches none")
    if leaf_labels is None:
        return
    leaves = list(leaf_labels)
    for where, selector in _leaf_selectors(configuration):
        if not _matches_any(selector, leaves):
            yield ConfigurationFault(where, "to match a leaf; it matches none")


def _leaf_selectors(configuration: Configuration) -> Iterable[tuple[str, str]]:
    for group in configuration.shard_groups:
        for layout in group.layouts:
            yield f"shard_group {group.name}, layout {layout.epoch}", layout.selector
    for intent in configuration.routing_intents:
        for name in ("prefer", "exclude"):
            selector = getattr(intent, name)
            if selector is not None:
                yield f"routing_intent {intent.name}, {name}", selector
    for rule in configuration.label_rules:
        yield f"label_rule {rule.name}, selector", rule.selector


def _matches_any(text: str, candidates: list[Mapping[str, str]]) -> bool:
    selector = parse_selector(text)
    return any(selector.matches(labels) for labels in candidates)
