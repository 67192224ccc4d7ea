"""Replay of recorded traces against stated outcomes.

A trace is JSON lines in the order of time. Each line has ``at`` (seconds) and
one of:

* ``estate``: what to start, in the first line;
* ``question``: ``caller``, ``service``, ``query`` and optional ``headers``;
* ``execution``: ``caller``, ``service``, ``command``, ``key`` (a number that
  stands for an idempotency key);
* ``fault``: its ``name`` and fields, see `walkcart.bench.faults`, or one of
  ``store`` with fields of the store's faults;
* ``change``: the TOML that an operator applies, with ``author``.

Beside it stands ``NAME.outcome.json``: bounds that must hold, each a name with
``min`` or ``max`` or ``equals``.
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
from walkcart.bench.load import name_outcome
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
SETTLE = 3.0
END_TIME = 10.0


class BadTrace(ValueError):
    """A trace that can't be replayed; the text says which line and why."""


def read_trace(path: Path) -> list[dict[str, Any]]:
    """Return the lines of a trace.

    Raises:
        BadTrace: no JSON, or out of order.
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
    """Replay a trace on the mocked clock; return what came of it."""
    return run_mocked(_Replay(read_trace(path)).run)


def check_outcome(path: Path, seen: dict[str, float]) -> list[str]:
    """Return where `seen` leaves the outcome stated beside the trace."""
    stated = msgspec.json.decode(path.with_suffix(".outcome.json").read_bytes())
    wrong = []
    for name, bounds in stated.items():
        value = seen.get(name, 0)
        for kind, bound in bounds.items():
            holds = {
                "min": value >= bound,
                "max": value <= bound,
                "equals": value == bound,
            }[kind]
            if not holds:
                wrong.append(f"{name} is {value}, stated {kind} {bound}")
    return wrong


def replay_files(paths: list[str]) -> int:
    """Replay traces; return 1 when an outcome isn't as stated, 2 for a bad file."""
    failed = 0
    for text in paths:
        path = Path(text)
        try:
            seen = replay(path)
            wrong = check_outcome(path, seen)
        except (BadTrace, OSError) as error:
            print(f"{path}: {error}")
            return 2
        print(f"{path.name}: {'as stated' if not wrong else 'NOT as stated'}: {seen}")
        for line in wrong:
            print(f"  {line}")
        failed += bool(wrong)
    return 1 if failed else 0


class _Replay:
    """One replay."""

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self._lines = lines
        self._seen: Counter[str] = Counter()
        self._latencies: list[float] = []
        self._keys: dict[int, str] = {}

    async def run(self) -> dict[str, float]:
        """Start the estate, do what the lines say, count."""
        estate = self._lines[0]["estate"]
        async with trio.open_nursery() as nursery:
            self._world = World(nursery, estate.get("seed", 1), MemoryNetwork())
            await self._start(estate)
            start = trio.current_time()
            async with trio.open_nursery() as acting:
                for line in self._lines[1:]:
                    await trio.sleep_until(start + line["at"])
                    acting.start_soon(self._act, line)
            await trio.sleep(END_TIME)
            self._summarise()
            nursery.cancel_scope.cancel()
        return dict(sorted(self._seen.items()))

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
        await trio.sleep(SETTLE)
        network = world.network("client")
        self._callers = {name: Caller(network, TOKENS[name]) for name in TOKENS}

    def _address(self, number: int):
        running = sorted(self._world.instances)
        return self._world.instances[running[number % len(running)]].address

    async def _act(self, line: dict[str, Any]) -> None:
        match line:
            case {"question": question}:
                await self._ask(question)
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
                raise BadTrace(f"can't be read: {line}")

    async def _ask(self, question: dict[str, Any]) -> None:
        self._seen["questions"] += 1
        number = self._seen["questions"]
        caller = question["caller"]
        headers = tuple(
            (key.encode(), value.encode())
            for key, value in question.get("headers", {}).items()
        )
        asked = await self._callers[caller].query(
            self._address(number), question["service"], question["query"], headers
        )
        self._seen[name_outcome(asked)] += 1
        for violation in find_violations(asked, caller, question["query"]):
            self._seen[violation] += 1
        if asked.status == 200:
            self._latencies.append(asked.elapsed)

    async def _execute(self, execution: dict[str, Any]) -> None:
        self._seen["executions"] += 1
        number = execution["key"]
        if number not in self._keys:
            self._keys[number] = make_key(self._world.clock.now(), Random(number))
        asked = await self._callers[execution["caller"]].execute(
            self._address(self._seen["executions"]),
            execution["service"],
            execution["command"],
            self._keys[number],
        )
        self._seen[f"executions {asked.verdict or 'lost'}"] += 1

    async def _change(self, text: str, author: str) -> None:
        outcome = await self._world.apply(text, author=author, patience=60.0)
        match outcome:
            case Accepted():
                self._seen["changes accepted"] += 1
            case ChangeConflict():
                self._seen["changes in conflict"] += 1
            case _:
                self._seen["changes otherwise"] += 1

    def _summarise(self) -> None:
        runs: Counter[str] = Counter()
        for leaf in self._world.leaves_ever:
            runs.update(leaf.once)
        self._seen["most runs of a key"] = max(runs.values(), default=0)
        revisions = {
            item.find("keeper", ConfigurationKeeper).document.revision
            for item in self._world.instances.values()
        }
        self._seen["revisions at the end"] = len(revisions)
        self._seen["newest revision"] = max(revisions)
        times = sorted(self._latencies)
        if times:
            worst = timedelta(seconds=times[int(len(times) * 0.99)])
            self._seen["p99 ms"] = round(worst.total_seconds() * 1000)
