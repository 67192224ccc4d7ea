"""Replays recorded traces and compares the results with expected outcomes.

A trace is a file of JSON lines in order of time. Each line has ``at`` (seconds) and
one of:

* ``estate``: the deployment to start; only in the first line;
* ``question``: ``caller``, ``service``, ``query`` and optionally ``headers``;
* ``execution``: ``caller``, ``service``, ``command``, ``key`` (a number that
  stands for an idempotency key);
* ``fault``: its ``name`` and fields, see `walkcart.bench.faults`, or one of
  ``store`` with fields of the store's faults;
* ``change``: the TOML that an operator applies, with ``author``.

The file ``NAME.outcome.json`` in the same folder has the expected outcome: for each
name, bounds of its value as ``min``, ``max`` or ``equals``.
"""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trio

from walkcart.bench import faults
from walkcart.bench.caller import Caller, find_violations
from walkcart.bench.harness import TOKENS, run_mocked
from walkcart.bench.load import classify_outcome
from walkcart.bench.world import World, make_partner, make_service
from walkcart.intent.applying import Accepted, ChangeConflict
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.once.keys import make_key
from walkcart.standins.memory import MemoryNetwork

FAULTS = {
    "slow-leaf": faults.SlowLeaf,
    "stalls": faults.Stalls,
    "kill-leaf": faults.KillLeaf,
    "drain-leaf": faults.DrainLeaf,
    "index-roll": faults.IndexRoll,
    "repartition": faults.Repartition,
    "kill-instance": faults.KillInstance,
    "store-down": faults.StoreDown,
}
#: Seconds from the configuration until the first line, and after the last line.
SETTLE_TIME = 3.0
RECOVERY_TIME = 10.0


class BadTrace(ValueError):
    """A trace can't be replayed; the message names the line and the reason."""


def read_trace(path: Path) -> list[dict[str, Any]]:
    """Return the lines of a trace.

    Raises:
        BadTrace: a line isn't JSON, the first has no estate, or times decrease.
    """
    lines = []
    for number, text in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        try:
            lines.append(msgspec.json.decode(text.encode(), type=dict[str, Any]))
        except msgspec.MsgspecError as error:
            raise BadTrace(f"{path}, line {number}: {error}") from None
    if not lines or "estate" not in lines[0]:
        raise BadTrace(f"{path}, line 1: expected an estate")
    times = [line["at"] for line in lines]
    if times != sorted(times):
        raise BadTrace(f"{path}: the lines aren't in the order of time")
    return lines


def replay(path: Path) -> dict[str, float]:
    """Replay a trace on the mocked clock; return its results by name."""
    return run_mocked(_Replay(read_trace(path)).run)


def check_outcome(path: Path, seen: dict[str, float]) -> list[str]:
    """Return how the results `seen` differ from the expected outcome of the trace."""
    stated = msgspec.json.decode(path.with_suffix(".outcome.json").read_bytes())
    mismatches = []
    for name, bounds in stated.items():
        value = seen.get(name, 0)
        for kind, bound in bounds.items():
            holds = {
                "min": value >= bound,
                "max": value <= bound,
                "equals": value == bound,
            }[kind]
            if not holds:
                mismatches.append(f"{name} is {value}, stated {kind} {bound}")
    return mismatches


def replay_files(paths: list[str]) -> int:
    """Replay traces; return 1 if a result isn't as expected, 2 for a bad file."""
    failed = 0
    for text in paths:
        path = Path(text)
        try:
            seen = replay(path)
            mismatches = check_outcome(path, seen)
        except (BadTrace, OSError) as error:
            print(f"{path}: {error}")
            return 2
        print(
            f"{path.name}: {'as stated' if not mismatches else 'NOT as stated'}: {seen}"
        )
        for line in mismatches:
            print(f"  {line}")
        failed += bool(mismatches)
    return 1 if failed else 0


class _Replay:
    """One replay."""

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self._lines = lines
        self._counts: Counter[str] = Counter()
        self._latencies: list[float] = []
        self._keys: dict[int, str] = {}

    async def run(self) -> dict[str, float]:
        """Start the deployment, replay the lines and return the counts."""
        estate = self._lines[0]["estate"]
        async with trio.open_nursery() as nursery:
            self._world = World(nursery, estate.get("seed", 1), MemoryNetwork())
            await self._start(estate)
            start = trio.current_time()
            async with trio.open_nursery() as line_nursery:
                for line in self._lines[1:]:
                    await trio.sleep_until(start + line["at"])
                    line_nursery.start_soon(self._apply_line, line)
            await trio.sleep(RECOVERY_TIME)
            self._summarise()
            nursery.cancel_scope.cancel()
        return dict(sorted(self._counts.items()))

    async def _start(self, estate: dict[str, Any]) -> None:
        world = self._world
        await world.start_platform()
        sites = [tuple(pair) for pair in estate["sites"]]
        text = "".join(make_partner(name, token) for name, token in TOKENS.items())
        for group in estate["groups"]:
            name, shards = group["name"], group["shards"]
            replicas = group.get("replicas", 2)
            await world.start_group(name, shards, replicas, sites)
            text += make_service(name, shards, group.get("writes", False))
        for number in range(estate["instances"]):
            region, site = sites[number % len(sites)]
            await world.start_instance(f"instance-{number}", region, site)
        outcome = await world.apply(text + estate.get("intents", ""))
        await world.wait_in_force(outcome.revision)
        await trio.sleep(SETTLE_TIME)
        network = world.network("client")
        self._callers = {name: Caller(network, TOKENS[name]) for name in TOKENS}

    def _choose_address(self, number: int):
        running = sorted(self._world.instances)
        return self._world.instances[running[number % len(running)]].address

    async def _apply_line(self, line: dict[str, Any]) -> None:
        match line:
            case {"question": question}:
                await self._send_question(question)
            case {"execution": execution}:
                await self._execute(execution)
            case {"change": text, "author": author}:
                await self._change(text, author)
            case {"store": fields}:
                for name, value in fields.items():
                    setattr(self._world.store.faults, name, value)
            case {"fault": name, "group": group, **fields}:
                values = {key: value for key, value in fields.items() if key != "at"}
                fault = FAULTS[name](at=0.0, **values)
                await faults.bring_about(fault, self._world, group)
            case _:
                raise BadTrace(
                    f"can't be read: {line}; "
                    "expected a question, execution, change, store or fault"
                )

    async def _send_question(self, question: dict[str, Any]) -> None:
        self._counts["questions"] += 1
        number = self._counts["questions"]
        caller = question["caller"]
        headers = tuple(
            (key.encode(), value.encode())
            for key, value in question.get("headers", {}).items()
        )
        asked = await self._callers[caller].query(
            self._choose_address(number),
            question["service"],
            question["query"],
            headers,
        )
        self._counts[classify_outcome(asked)] += 1
        for violation in find_violations(asked, caller, question["query"]):
            self._counts[violation] += 1
        if asked.status == 200:
            self._latencies.append(asked.elapsed)

    async def _execute(self, execution: dict[str, Any]) -> None:
        self._counts["executions"] += 1
        number = execution["key"]
        if number not in self._keys:
            self._keys[number] = make_key(self._world.clock.now(), Random(number))
        asked = await self._callers[execution["caller"]].execute(
            self._choose_address(self._counts["executions"]),
            execution["service"],
            execution["command"],
            self._keys[number],
        )
        self._counts[f"executions {asked.verdict or 'lost'}"] += 1

    async def _change(self, text: str, author: str) -> None:
        outcome = await self._world.apply(text, author=author, patience=60.0)
        match outcome:
            case Accepted():
                self._counts["changes accepted"] += 1
            case ChangeConflict():
                self._counts["changes in conflict"] += 1
            case _:
                self._counts["changes otherwise"] += 1

    def _summarise(self) -> None:
        runs: Counter[str] = Counter()
        for leaf in self._world.leaves_ever:
            runs.update(leaf.once)
        self._counts["most runs of a key"] = max(runs.values(), default=0)
        revisions = {
            item.find("keeper", ConfigurationKeeper).document.revision
            for item in self._world.instances.values()
        }
        self._counts["revisions at the end"] = len(revisions)
        self._counts["newest revision"] = max(revisions)
        times = sorted(self._latencies)
        if times:
            worst = timedelta(seconds=times[int(len(times) * 0.99)])
            self._counts["p99 ms"] = round(worst.total_seconds() * 1000)
