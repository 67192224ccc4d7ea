"""Generates pages of the documentation from the code."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import MISSING, fields
from datetime import timedelta
from pathlib import Path
from typing import Any

from walkcart.bench.capacity import render_capacity
from walkcart.intent.model import KINDS, Layout
from walkcart.kernel.events import list_events
from walkcart.kernel.metrics import CATALOGUE
from walkcart.kernel.settings import ENVIRONMENT_PREFIX, Settings, format_flag

DOCS = Path(__file__).resolve().parents[2] / "docs"
NOTE = "Made from the code by `python -m walkcart.bench pages`; a test compares.\n\n"


def render_events() -> str:
    """Return ``docs/EVENTS.md``."""
    lines = ["# Events\n", NOTE + "| number | event | level | meaning |"]
    lines.append("|---|---|---|---|")
    for event in list_events():
        level = logging.getLevelName(event.level)
        lines.append(f"| {event.number} | `{event.name}` | {level} | {event.help} |")
    return "\n".join(lines) + "\n"


def render_metrics() -> str:
    """Return ``docs/METRICS.md``."""
    lines = ["# Metrics\n", NOTE + "Each name is sent to statsd below"]
    lines.append("`walkcart.INSTANCE.`.\n\n| metric | kind | unit | meaning |")
    lines.append("|---|---|---|---|")
    for name, metric in CATALOGUE.items():
        lines.append(f"| `{name}` | {metric.kind} | {metric.unit} | {metric.help} |")
    return "\n".join(lines) + "\n"


def render_configuration() -> str:
    """Return ``docs/CONFIGURATION.md``."""
    lines = [
        "# Configuration\n",
        NOTE + "Operators write TOML; each kind of object is a `[[table]]`. Durations",
        "are numbers of seconds. `examples/` holds two whole deployments.\n",
        "A selector is a list of requirements, joined by commas: `key=value`,",
        "`key!=value`, `key in (a, b)`, `key notin (a, b)`, `key`, `!key`.\n",
        "A field without a default must be given.\n",
    ]
    classes = {name: cls for name, (cls, _) in KINDS.items()}
    classes["shard_group.layouts"] = Layout
    for name, cls in classes.items():
        summary = (cls.__doc__ or "").strip()
        lines.append(f"## `{name}`\n\n{_unindent(summary)}\n")
        lines.append("| field | type | unit | default | bounds | meaning |")
        lines.append("|---|---|---|---|---|---|")
        lines += [_render_field(item) for item in fields(cls)]
        lines.append("")
    lines.append("## Settings of an instance\n")
    lines.append("| flag | variable | default | meaning |\n|---|---|---|---|")
    for item in fields(Settings):
        variable = ENVIRONMENT_PREFIX + item.name.upper()
        default = item.metadata["default"]
        help = item.metadata["help"]
        lines.append(
            f"| `{format_flag(item.name)}` | `{variable}` | `{default}` | {help} |"
        )
    return "\n".join(lines) + "\n"


def _unindent(text: str) -> str:
    return "\n".join(line.strip() for line in text.splitlines())


def _render_field(item: Any) -> str:
    details = item.metadata
    default = "" if item.default is MISSING else f"`{_show(item.default)}`"
    if item.default_factory is not MISSING:
        default = "empty"
    bounds = ""
    if details["low"] is not None:
        bounds = f"{_show(details['low'])} to {_show(details['high'])}"
    kind = str(item.type).replace("|", "or")
    return (
        f"| `{item.name}` | {kind} | {details['unit']} | {default} | {bounds} "
        f"| {details['help']} |"
    )


def _show(value: Any) -> str:
    match value:
        case timedelta():
            return f"{value.total_seconds():g}"
        case None:
            return "none"
        case _:
            return str(value)


PAGES: dict[str, Callable[[], str]] = {
    "EVENTS.md": render_events,
    "METRICS.md": render_metrics,
    "CONFIGURATION.md": render_configuration,
    "CAPACITY.md": render_capacity,
}


def write_pages() -> int:
    """Write all pages."""
    DOCS.mkdir(exist_ok=True)
    for name, render in PAGES.items():
        (DOCS / name).write_text(render(), encoding="utf-8")
    return 0
