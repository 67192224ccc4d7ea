"""Reads configurations from TOML and converts them to plain values.

All faults of a file are reported together, each with its object and field.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from datetime import timedelta
from functools import cache
from typing import Any, get_type_hints

import msgspec

from walkcart.intent.model import KINDS, Configuration, Layout
from walkcart.kernel.decoding import BadData, decode_toml
from walkcart.kernel.durations import BadDuration, seconds_to_duration


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """An error in one object or field.

    Args:
        place: object and field, as in ``service pack-finder, shard_group``.
        expected: what would be valid.
    """

    place: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.expected}"


@dataclass(frozen=True, slots=True)
class LoadedConfiguration:
    """The objects that could be read, with the faults of the others."""

    configuration: Configuration
    faults: tuple[ConfigurationFault, ...]


def load_toml(text: str) -> LoadedConfiguration:
    r"""Read a configuration from TOML.

    Examples:
        >>> load_toml("[[service]]\nname = 'a'").faults[0].expected
        'Object missing required field `shard_group`'
    """
    try:
        tables = decode_toml(text)
    except BadData as error:
        fault = ConfigurationFault("file", f"TOML: {error}")
        return LoadedConfiguration(Configuration(), (fault,))
    return load_tables(tables)


def load_tables(tables: dict[str, Any]) -> LoadedConfiguration:
    """Read a configuration from parsed TOML tables."""
    faults: list[ConfigurationFault] = []
    parts: dict[str, tuple[Any, ...]] = {}
    for kind, rows in tables.items():
        if kind not in KINDS:
            known = ", ".join(KINDS)
            faults.append(ConfigurationFault(kind, f"one of the kinds {known}"))
        elif not isinstance(rows, list):
            faults.append(ConfigurationFault(kind, f"tables in [[{kind}]]"))
        else:
            place = KINDS[kind][1]
            parts[place] = _load_rows(kind, rows, faults)
    return LoadedConfiguration(Configuration(**parts), tuple(faults))


def _load_rows(
    kind: str, rows: list[Any], faults: list[ConfigurationFault]
) -> tuple[Any, ...]:
    loaded = []
    for number, row in enumerate(rows):
        name = row.get("name", f"#{number + 1}") if isinstance(row, dict) else "?"
        place = f"{kind} {name}"
        try:
            loaded.append(_load_object(KINDS[kind][0], row, place, faults))
        except (msgspec.ValidationError, BadDuration) as error:
            faults.append(ConfigurationFault(place, str(error)))
    return tuple(sorted(loaded, key=lambda item: item.name))


def _load_object(
    cls: type, row: Any, place: str, faults: list[ConfigurationFault]
) -> Any:
    if not isinstance(row, dict):
        raise msgspec.ValidationError("expected a table")
    known = _field_names(cls)
    for key in row.keys() - known:
        expected = f"one of the fields {', '.join(sorted(known))}"
        faults.append(ConfigurationFault(f"{place}, {key}", expected))
    ready = {key: value for key, value in row.items() if key in known}
    if isinstance(ready.get("layouts"), list):
        ready["layouts"] = [
            _load_object(Layout, item, f"{place}, layout", faults)
            for item in ready["layouts"]
        ]
    ready = {key: _convert_duration(cls, key, value) for key, value in ready.items()}
    return msgspec.convert(ready, cls, builtin_types=(timedelta,))


def _convert_duration(cls: type, key: str, value: Any) -> Any:
    """Convert a number of seconds to a `timedelta` if the field is a duration."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    if key not in _duration_fields(cls):
        return value
    # The validation reports negative ones, together with the other faults.
    duration = seconds_to_duration(abs(value))
    return duration if value >= 0 else -duration


@cache
def _duration_fields(cls: type) -> frozenset[str]:
    """Return the names of the fields that hold durations."""
    hints = get_type_hints(cls)
    return frozenset(key for key, hint in hints.items() if "timedelta" in str(hint))


@cache
def _field_names(cls: type) -> frozenset[str]:
    return frozenset(item.name for item in fields(cls))


def to_tables(configuration: Configuration) -> dict[str, list[dict[str, Any]]]:
    """Return plain tables that `load_tables` reads back to an equal configuration."""
    tables: dict[str, list[dict[str, Any]]] = {}
    for kind, (_, place) in KINDS.items():
        rows = getattr(configuration, place)
        if rows:
            tables[kind] = [_to_row(item) for item in rows]
    return tables


def _to_row(item: Any) -> dict[str, Any]:
    row = msgspec.to_builtins(item, builtin_types=(timedelta,))
    plain = {key: _to_plain(value) for key, value in row.items()}
    return {key: value for key, value in plain.items() if value is not None}


def _to_plain(value: Any) -> Any:
    return value.total_seconds() if isinstance(value, timedelta) else value
