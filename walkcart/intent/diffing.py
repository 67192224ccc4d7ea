"""Compares and merges configurations."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from walkcart.intent.model import KINDS, Configuration


class ChangeKind(Enum):
    """How an object changes."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Difference:
    """One object that differs between two configurations.

    Args:
        object: kind and name, as in ``service pack-finder``.
        kind: whether the object is added, changed or removed.
        fields: name, old value and new value of each changed field.
    """

    object: str
    kind: ChangeKind
    fields: tuple[tuple[str, Any, Any], ...] = ()


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[Difference, ...]:
    """Return the differences that lead from `old` to `new`."""
    found: list[Difference] = []
    for kind, (_, place) in KINDS.items():
        before = {item.name: item for item in getattr(old, place)}
        after = {item.name: item for item in getattr(new, place)}
        for name in sorted(before.keys() | after.keys()):
            difference = _compare(f"{kind} {name}", before.get(name), after.get(name))
            if difference is not None:
                found.append(difference)
    return tuple(found)


def _compare(label: str, old: Any, new: Any) -> Difference | None:
    if old == new:
        return None
    if old is None:
        return Difference(label, ChangeKind.ADDED)
    if new is None:
        return Difference(label, ChangeKind.REMOVED)
    rows = [
        (item.name, getattr(old, item.name), getattr(new, item.name))
        for item in fields(old)
    ]
    changed = tuple(row for row in rows if row[1] != row[2])
    return Difference(label, ChangeKind.CHANGED, changed)


def merge_configurations(
    base: Configuration, update: Configuration, prune: bool
) -> Configuration:
    """Return `base` with the objects of `update` added or replaced by name.

    Args:
        base: the present configuration.
        update: objects to add or replace.
        prune: whether to remove the objects that `update` lacks.
    """
    if prune:
        return update
    parts = {}
    for _, place in KINDS.values():
        merged = {item.name: item for item in getattr(base, place)}
        merged.update({item.name: item for item in getattr(update, place)})
        parts[place] = tuple(merged[name] for name in sorted(merged))
    return Configuration(**parts)
