"""Runs experiments, prints a table, and writes JSON and plots."""

from __future__ import annotations

import argparse
import sys
from multiprocessing import Pool
from pathlib import Path
from typing import Any

import msgspec

from walkcart.bench.experiments import (
    POLICIES,
    SCENARIOS,
    Figures,
    find_low_median,
    run_experiment,
    to_plain,
)
from walkcart.bench.shapes import SHAPES
from walkcart.cli.output import render_table

QUANTILES = ("p50", "p90", "p99", "p99.9")
EXIT_USAGE = 2
EXIT_BROKEN = 1


def run_and_report(options: argparse.Namespace) -> int:
    """Run the selected experiments; return 1 if a promise was broken."""
    names = list(SCENARIOS) if options.scenario == ["all"] else options.scenario
    unknown = [name for name in names if name not in SCENARIOS]
    unknown += [name for name in options.policy if name not in POLICIES]
    unknown += [options.shape] if options.shape not in SHAPES else []
    if unknown:
        known = f"scenarios {', '.join(SCENARIOS)}; policies {', '.join(POLICIES)}"
        print(f"unknown: {', '.join(unknown)}; {known}", file=sys.stderr)
        return EXIT_USAGE
    jobs = [
        (scenario, policy, options.shape, seed)
        for scenario in names
        for policy in options.policy
        for seed in range(1, options.seeds + 1)
    ]
    with Pool(options.workers, maxtasksperchild=1) as pool:
        figures = pool.starmap(run_experiment, jobs, chunksize=1)
    rows = summarise(figures)
    print(render_table(list(rows[0]), [list(row.values()) for row in rows]))
    folder = Path(options.out)
    folder.mkdir(parents=True, exist_ok=True)
    write_json(folder / "experiments.json", figures, rows)
    plot_quantiles(folder / "quantiles.png", figures)
    plot_timelines(folder / "timelines.png", figures)
    broken = any(item.violations or item.broken_invariants for item in figures)
    return EXIT_BROKEN if broken else 0


def summarise(figures: list[Figures]) -> list[dict[str, Any]]:
    """Return a row of medians over the seeds for each scenario and policy."""
    groups: dict[tuple[str, str], list[Figures]] = {}
    for item in figures:
        groups.setdefault((item.scenario, item.policy), []).append(item)
    return [_make_row(*key, items) for key, items in groups.items()]


def _make_row(scenario: str, policy: str, items: list[Figures]) -> dict[str, Any]:
    row: dict[str, Any] = {"scenario": scenario, "policy": policy, "runs": len(items)}
    for name in QUANTILES:
        row[f"{name} ms"] = find_low_median([item.quantiles_ms[name] for item in items])
    p99s = [item.quantiles_ms["p99"] for item in items]
    row["p99 range"] = f"{min(p99s):.0f}-{max(p99s):.0f}"
    row["extra load"] = find_low_median([item.extra_load for item in items])
    row["coverage"] = min(item.coverage for item in items)
    row["answers/s"] = find_low_median([item.goodput for item in items])
    for name in ("partial", "refused", "uncertain", "lost"):
        row[name] = sum(item.outcomes.get(name, 0) for item in items)
    row["most connections"] = max(item.most_connections for item in items)
    row["broken"] = sum(len(item.violations) + item.broken_invariants for item in items)
    return row


def write_json(path: Path, figures: list[Figures], rows: list[dict[str, Any]]) -> None:
    """Write the results of the runs and their medians as JSON."""
    content = {"medians": rows, "runs": [to_plain(item) for item in figures]}
    path.write_bytes(msgspec.json.format(msgspec.json.encode(content), indent=1))


def plot_quantiles(path: Path, figures: list[Figures]) -> None:
    """Plot latency by quantile for seed 1, with a panel for each scenario."""
    pyplot = load_pyplot()
    scenarios = list(dict.fromkeys(item.scenario for item in figures))
    figure, axes = pyplot.subplots(
        1, len(scenarios), figsize=(4.5 * len(scenarios), 4), squeeze=False
    )
    for axis, scenario in zip(axes[0], scenarios, strict=True):
        for item in figures:
            if item.scenario == scenario and item.seed == 1:
                times = sorted(latency * 1000 for _, latency, _ in item.timeline)
                shares = [(place + 1) / len(times) for place in range(len(times))]
                axis.plot(shares, times, label=item.policy)
        axis.set(title=scenario, xlabel="quantile", ylabel="ms", yscale="log")
        axis.set_xscale("logit")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def plot_timelines(path: Path, figures: list[Figures]) -> None:
    """Plot latency over time for seed 1, with a panel for each scenario."""
    pyplot = load_pyplot()
    scenarios = list(dict.fromkeys(item.scenario for item in figures))
    figure, axes = pyplot.subplots(
        len(scenarios), 1, figsize=(9, 2.6 * len(scenarios)), squeeze=False
    )
    for axis, scenario in zip(axes[:, 0], scenarios, strict=True):
        for item in figures:
            if item.scenario == scenario and item.seed == 1:
                axis.scatter(
                    [at for at, _, _ in item.timeline],
                    [latency * 1000 for _, latency, _ in item.timeline],
                    s=4,
                    label=item.policy,
                )
        axis.set(title=scenario, xlabel="s", ylabel="ms", yscale="log")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def load_pyplot():
    """Return matplotlib's pyplot with a backend that only draws to files."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot
