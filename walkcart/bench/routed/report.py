"""Runs scenarios under several policies with the same seeds; prints a table."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

import msgspec

from walkcart.bench.routed.policies import POLICIES
from walkcart.bench.routed.scenarios import SCENARIOS
from walkcart.bench.routed.trials import TrialResult, run_trial
from walkcart.cli.output import render_table

ALL = "all"
HEADER = (
    "scenario",
    "policy",
    "worth",
    "least",
    "most",
    "in time",
    "late",
    "refused",
    "failed",
    "extra load",
    "wait ms",
    "peer B",
)


def run_and_print(options: argparse.Namespace) -> int:
    """Run the trials that the options select; return the exit code."""
    names = list(SCENARIOS) if options.scenario == [ALL] else options.scenario
    unknown = [name for name in names if name not in SCENARIOS]
    unknown += [name for name in options.policy if name not in POLICIES]
    if unknown or options.seeds < 1:
        known = ", ".join([*SCENARIOS, *POLICIES])
        print(
            f"unknown: {', '.join(unknown) or '--seeds'}; known: {known}",
            file=sys.stderr,
        )
        return 2
    keys = [
        (scenario, policy, seed)
        for scenario in names
        for policy in options.policy
        for seed in range(1, options.seeds + 1)
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        results = dict(zip(keys, pool.map(_run_one, keys), strict=True))
    rows = [
        _make_row(scenario, policy, results)
        for scenario in names
        for policy in options.policy
    ]
    print(render_table(HEADER, rows))
    if options.out:
        content = [
            {"scenario": key[0], "policy": key[1], "seed": key[2], "result": result}
            for key, result in results.items()
        ]
        Path(options.out).write_bytes(msgspec.json.encode(content))
    return 0


def _run_one(key: tuple[str, str, int]) -> TrialResult:
    scenario, policy, seed = key
    return run_trial(SCENARIOS[scenario], POLICIES[policy], seed)


def _make_row(
    scenario: str, policy: str, results: dict[tuple[str, str, int], TrialResult]
) -> list[str]:
    """Return the medians over the seeds, and the lowest and highest worth."""
    found = [result for key, result in results.items() if key[:2] == (scenario, policy)]
    worths = [result.worth for result in found]
    shares = [
        median(_share(result, name) for result in found)
        for name in ("in_time", "late", "refused", "failed")
    ]
    return [
        scenario,
        policy,
        f"{median(worths):.3f}",
        f"{min(worths):.3f}",
        f"{max(worths):.3f}",
        *(f"{share:.3f}" for share in shares),
        f"{median(result.extra_load for result in found):.3f}",
        f"{1000 * median(result.wait for result in found):.1f}",
        f"{median(result.peer_bytes for result in found):.0f}",
    ]


def _share(result: TrialResult, name: str) -> float:
    """Return the fraction of all requests that ended in the given way."""
    kinds = result.kinds.values()
    asked = max(1, sum(kind.asked for kind in kinds))
    return sum(kind.asked * getattr(kind, name) for kind in kinds) / asked
