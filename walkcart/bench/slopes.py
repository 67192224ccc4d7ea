"""Measures costs at several sizes and fits lines, for ``docs/CAPACITY.md``.

Costs that grow with the number of instances are measured on real processes. Costs that
grow with data are measured on the real modules in this process.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from walkcart.bench.fitting import Line, Point, fit_line
from walkcart.bench.slopes_data import (
    measure_admission,
    measure_claims,
    measure_configuration,
    measure_document,
    measure_forwarding,
    measure_holding,
    measure_leaves_as_data,
    measure_marks,
)
from walkcart.bench.slopes_fleet import (
    measure_connections,
    measure_fleet,
    measure_leaf_requests,
    measure_questions,
)

Measured = dict[str, list[Point]]


@dataclass(frozen=True, slots=True)
class Measurement:
    """One kind of measurement.

    Args:
        size: the quantity that is varied, with its unit.
        run: measures and returns the points by quantity and unit.
    """

    size: str
    run: Callable[[Path], Measured]


MEASUREMENTS = {
    "fleet": Measurement("instances", measure_fleet),
    "connections": Measurement("leaves with one connection", measure_connections),
    "leaf_requests": Measurement("shards a question", measure_leaf_requests),
    "questions": Measurement("questions a second", measure_questions),
    "forwarding": Measurement("attempts a message", measure_forwarding),
    "configuration": Measurement("objects", measure_configuration),
    "document": Measurement("stored KB", measure_document),
    "leaves_as_data": Measurement("leaves", measure_leaves_as_data),
    "holding": Measurement("instances", measure_holding),
    "marks": Measurement("marks in a digest", measure_marks),
    "claims": Measurement("requests a second", measure_claims),
    "admission": Measurement("requests waiting", measure_admission),
}


def run_slopes(out: str, only: list[str] | None) -> int:
    """Measure, print the fitted lines and write them as JSON."""
    names = only or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ", ".join(MEASUREMENTS)
        print(f"unknown: {', '.join(unknown)}; expected {known}", file=sys.stderr)
        return 2
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    results: dict[str, Any] = {}
    if path.exists():
        results = msgspec.json.decode(path.read_bytes())
    for name in names:
        measurement = MEASUREMENTS[name]
        with tempfile.TemporaryDirectory() as folder:
            measured = measurement.run(Path(folder))
        results[name] = {"size": measurement.size}
        for quantity, points in measured.items():
            line = fit_line(points)
            print(describe_line(name, quantity, measurement.size, line), flush=True)
            results[name][quantity] = to_plain(line)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
    return 0


def describe_line(name: str, quantity: str, size: str, line: Line) -> str:
    """Return a one-line description of a fitted line."""
    first, last = line.points[0][0], line.points[-1][0]
    return (
        f"{name}: {quantity}: {line.slope:.6g} for each of {size}, "
        f"{line.intercept:.6g} at 0, r2 {line.r2:.3f}, measured {first:g} to {last:g}"
    )


def to_plain(line: Line) -> dict[str, Any]:
    """Return a fitted line as plain values."""
    return {
        "slope": line.slope,
        "intercept": line.intercept,
        "r2": line.r2,
        "points": line.points,
    }
