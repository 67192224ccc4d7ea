"""Computes the tables of ``docs/CAPACITY.md`` from ``docs/sources/slopes.json``.

Every figure is a measured line or is computed here from such lines, in steps that the
page shows.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

DOCS = Path(__file__).resolve().parents[2] / "docs"
#: Numbers of instances and leaves of the fleet that the users state.
INSTANCES = 620
LEAVES = 4000
#: Questions per second.
QUESTIONS = 130_000
SHARDS = 100
CHANGES_A_DAY = 730
RESTARTS_A_DAY = 710
FAILURES_A_DAY = 6
DATA_CENTRES = 5
#: Seconds of a day.
DAY = 86_400
#: Limits of the control costs of an instance: fraction of a core, MB, bytes per second.
CPU_LIMIT = 0.017
MEMORY_LIMIT = 32.0
BYTES_LIMIT = 28_000
#: Objects of the configuration.
OBJECTS = 4000
#: Number of leaves in `measure_holding`; its costs are scaled up from them.
HELD_LEAVES_MEASURED = 400


@dataclass(frozen=True, slots=True)
class Slopes:
    """The lines that were fitted to the measurements."""

    content: dict[str, Any]

    def at(self, measurement: str, quantity: str, size: float) -> float:
        """Return the value of a line at a size.

        Beyond the measured sizes the value isn't below the largest measured one.
        Otherwise a line that falls, or that scatters around a constant, would make
        a large fleet look cheaper than a small one.
        """
        line = self.content[measurement][quantity]
        measured = max(value for _, value in line["points"])
        if size < line["points"][-1][0]:
            return line["intercept"] + line["slope"] * size
        return max(measured, line["intercept"] + line["slope"] * size)

    def last(self, measurement: str, quantity: str) -> float:
        """Return the measured value at the largest size."""
        return self.content[measurement][quantity]["points"][-1][1]

    def slope(self, measurement: str, quantity: str) -> float:
        """Return the slope of a line."""
        return self.content[measurement][quantity]["slope"]


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one role of an instance.

    Args:
        role: the name of the role.
        state: the state that it keeps.
        how: the steps of the computation.
        messages: messages per second, sent and received.
        cpu: fraction of a core.
        memory: memory in MB.
        bytes: bytes per second.
        mechanism: the mechanism and the module that implements it.
    """

    role: str
    state: str
    how: str
    messages: float
    cpu: float
    memory: float
    bytes: float
    mechanism: str


def load_slopes() -> Slopes:
    """Load the committed measurements."""
    return Slopes(msgspec.json.decode((DOCS / "sources" / "slopes.json").read_bytes()))


def control_costs(slopes: Slopes) -> list[Cost]:
    """Return the control costs of an instance at the size that the users state."""
    fleet_cpu = slopes.at("fleet", "CPU s/s for each instance, mean", INSTANCES)
    fleet_bytes = slopes.at("fleet", "bytes/s for each instance, mean", INSTANCES)
    fleet_memory = slopes.slope("fleet", "resident MB, mean") * INSTANCES
    stored = slopes.at("configuration", "stored KB", OBJECTS) * 1000
    read = slopes.at("configuration", "CPU ms to read", OBJECTS) / 1000
    configuration_memory = slopes.at("configuration", "memory MB", OBJECTS)
    resolve = slopes.at("leaves_as_data", "CPU ms to resolve", LEAVES) / 1000
    leaves_memory = slopes.at("leaves_as_data", "memory MB", LEAVES)
    scale = LEAVES / HELD_LEAVES_MEASURED
    turn = (
        slopes.last("holding", "CPU ms for one instance to go and come") / 1000 * scale
    )
    holders = slopes.last("holding", "memory MB") * scale
    leaf_changes = (RESTARTS_A_DAY + FAILURES_A_DAY) * LEAVES / INSTANCES * 2
    departures = RESTARTS_A_DAY + FAILURES_A_DAY
    mark_cpu = slopes.at("marks", "CPU us a message", 1) / 1e6
    mark_bytes = slopes.slope("marks", "bytes a message")
    return [
        Cost(
            "heartbeats, suspicion, news",
            f"{INSTANCES} records",
            f"the fleet's lines at {INSTANCES}",
            slopes.at("fleet", "messages/s for each instance, mean", INSTANCES),
            fleet_cpu,
            fleet_memory,
            fleet_bytes,
            "one ping a round to one peer (`membership/detector.py`)",
        ),
        Cost(
            "configuration",
            "one document",
            f"{CHANGES_A_DAY} a day of {OBJECTS} objects: {stored / 1000:.1f} KB taken "
            f"and given once, {1000 * read:.1f} ms to read, {1000 * resolve:.1f} ms to "
            "resolve",
            # A push to three peers, a pull and a document, each sent and answered.
            CHANGES_A_DAY * 10 / DAY,
            CHANGES_A_DAY * (read + resolve) / DAY,
            configuration_memory,
            CHANGES_A_DAY * 2 * stored / DAY,
            "watchers, pushes, pulls (`intent/distribution.py`)",
        ),
        Cost(
            "list of leaves",
            f"{LEAVES:,} leaves with their accounts",
            f"{leaf_changes:,.0f} changes a day, if leaves restart as nodes do: "
            f"{1000 * resolve:.1f} ms each",
            2.0,
            leaf_changes * resolve / DAY,
            leaves_memory,
            leaf_changes * 250 / DAY + 200,
            "only what changed is fetched (`membership/listing.py`)",
        ),
        Cost(
            "division of connections",
            f"30 candidates for each of {LEAVES:,} leaves",
            f"{departures} goings and comings a day, {1000 * turn:.1f} ms each for "
            f"{LEAVES:,} leaves ({HELD_LEAVES_MEASURED} measured)",
            0.0,
            departures * turn / DAY,
            holders,
            0.0,
            "kept candidates (`routing/holders.py`)",
        ),
        Cost(
            "drain marks",
            "two numbers for each leaf",
            f"{leaf_changes / 2:,.0f} a day, each on some 30 messages",
            0.0,
            leaf_changes / 2 * 30 * mark_cpu / DAY,
            LEAVES * 300 / 1e6,
            leaf_changes / 2 * 30 * mark_bytes / DAY,
            "heartbeats and pushes (`membership/gossip.py`)",
        ),
    ]


def render_control(slopes: Slopes) -> str:
    """Return the table of control costs with totals and limits."""
    costs = control_costs(slopes)
    lines = [
        "| role | state | worked out from | messages/s | CPU, % of a core "
        "| memory MB | bytes/s | carried by |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for item in costs:
        lines.append(
            f"| {item.role} | {item.state} | {item.how} | {item.messages:.2f} "
            f"| {100 * item.cpu:.3f} | {item.memory:.1f} | {item.bytes:,.0f} "
            f"| {item.mechanism} |"
        )
    lines.append(
        f"| **all** | | | **{sum(c.messages for c in costs):.1f}** "
        f"| **{100 * sum(c.cpu for c in costs):.2f}** "
        f"| **{sum(c.memory for c in costs):.1f}** "
        f"| **{sum(c.bytes for c in costs):,.0f}** | |"
    )
    lines.append(
        f"| limit | | | | {100 * CPU_LIMIT:.1f} | {MEMORY_LIMIT:.0f} "
        f"| {BYTES_LIMIT:,} | |"
    )
    return "\n".join(lines)


def render_lines(slopes: Slopes) -> str:
    """Return the table of the measured lines."""
    lines = [
        "| measured | grows with | slope | at 0 | r² | range |",
        "|---|---|---|---|---|---|",
    ]
    for name, measurement in slopes.content.items():
        for quantity, line in measurement.items():
            if quantity == "size":
                continue
            points = line["points"]
            lines.append(
                f"| {name}: {quantity} | {measurement['size']} | {line['slope']:.4g} "
                f"| {line['intercept']:.4g} | {line['r2']:.3f} "
                f"| {points[0][0]:g} to {points[-1][0]:g} |"
            )
    return "\n".join(lines)


def render_points(slopes: Slopes, measurement: str) -> str:
    """Return a table with the points of one measurement."""
    content = slopes.content[measurement]
    quantities = [name for name in content if name != "size"]
    sizes = [point[0] for point in content[quantities[0]]["points"]]
    lines = [
        f"| {content['size']} | " + " | ".join(f"{size:g}" for size in sizes) + " |"
    ]
    lines.append("|---|" + "---|" * len(sizes))
    for name in quantities:
        values = [f"{point[1]:.4g}" for point in content[name]["points"]]
        lines.append(f"| {name} | " + " | ".join(values) + " |")
    return "\n".join(lines)


def render_capacity() -> str:
    """Return ``docs/CAPACITY.md``: its source text with the figures inserted."""
    slopes = load_slopes()
    text = (DOCS / "sources" / "capacity.md").read_text(encoding="utf-8")
    figures = {
        "control": render_control(slopes),
        "lines": render_lines(slopes),
        "fleet": render_points(slopes, "fleet"),
        "leaf_requests": render_points(slopes, "leaf_requests"),
        "claims": render_points(slopes, "claims"),
        **_data_figures(slopes),
    }
    for name, value in figures.items():
        text = text.replace("{" + name + "}", value)
    return text


def _data_figures(slopes: Slopes) -> dict[str, str]:
    """Return the figures of the data path by placeholder."""
    each_node = QUESTIONS / INSTANCES
    requests = each_node * SHARDS
    leaf_ms = slopes.last("leaf_requests", "CPU ms a leaf request")
    single_us = slopes.at("forwarding", "CPU us a message, both ends", 1)
    slope = slopes.slope("forwarding", "CPU us a message, both ends")
    fixed_us = single_us - slope
    per_peer = requests / INSTANCES
    # The request and the reply each cost CPU time at both ends, on some instance.
    unbatched = requests * 2 * single_us / 1e6
    messages = each_node * 8
    batched = (messages * 2 * fixed_us + requests * 2 * slope) / 1e6
    store_slope = slopes.slope("fleet", "store calls/s of the whole fleet")
    base = slopes.at("fleet", "store calls/s of the whole fleet", 0)
    claims = slopes.last("claims", "store writes/s")
    return {
        "each_node": f"{each_node:,.0f}",
        "requests": f"{requests:,.0f}",
        "leaf_ms": f"{leaf_ms:.3f}",
        "leaf_cores": f"{requests * leaf_ms / 1000:.1f}",
        "per_leaf": f"{QUESTIONS * SHARDS / LEAVES:,.0f}",
        "slot_ms": f"{2 / (QUESTIONS * SHARDS / LEAVES) * 1000:.2f}",
        "message_us": f"{single_us:.0f}",
        "attempt_us": f"{slope:.1f}",
        "pair": f"{per_peer:.0f}",
        "unbatched_cores": f"{unbatched:.1f}",
        "batched_cores": f"{batched:.1f}",
        "mb_ms": f"{slopes.last('document', 'CPU ms to read'):.0f}",
        "mb_memory": f"{slopes.last('document', 'memory MB'):.0f}",
        "mb_bytes": f"{CHANGES_A_DAY * 2 * 1e6 / DAY:,.0f}",
        "store_watch": f"{base * DATA_CENTRES:.1f}",
        "store_slope": f"{store_slope:.2g}",
        "store_claims": f"{claims:.0f}",
        "change_seconds": (f"{slopes.last('fleet', _CHANGE_QUANTITY):.2f}"),
        "kill_seconds": f"{slopes.last('fleet', _KILL_QUANTITY):.1f}",
        "ratio": f"{slopes.last('leaf_requests', 'ratio to the bare client'):.2f}",
    }


_CHANGE_QUANTITY = "seconds until a change is in force everywhere, max of 5"
_KILL_QUANTITY = "seconds until a kill is seen by all"
