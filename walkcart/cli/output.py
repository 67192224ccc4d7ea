"""Tables and JSON on standard output."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import is_dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import msgspec


def render_json(content: Any) -> str:
    """Return `content` as indented JSON."""
    return msgspec.json.format(
        msgspec.json.encode(_to_plain(content)), indent=2
    ).decode()


def _to_plain(value: Any) -> Any:
    match value:
        case timedelta():
            return value.total_seconds()
        case Enum():
            return value.value
        case dict():
            return {str(key): _to_plain(item) for key, item in value.items()}
        case list() | tuple() | frozenset():
            return [_to_plain(item) for item in value]
        case _ if is_dataclass(value):
            return {
                name: _to_plain(getattr(value, name))
                for name in value.__dataclass_fields__
            }
        case _:
            return value


def render_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with aligned columns."""
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(header, *texts, strict=True)
    ]
    lines = [
        _format_line(header, widths),
        _format_line(["-" * width for width in widths], widths),
    ]
    lines += [_format_line(row, widths) for row in texts]
    return "\n".join(lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()


def _format_cell(cell: Any) -> str:
    plain = _to_plain(cell)
    match plain:
        case None:
            return "-"
        case str():
            return plain
        case dict() if all(isinstance(item, str) for item in plain.values()):
            return ",".join(f"{key}={value}" for key, value in sorted(plain.items()))
        case dict() | list():
            return msgspec.json.encode(plain).decode()
        case _:
            return str(plain)
