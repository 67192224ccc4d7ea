"""The demo of ``make run``, with real programs on this machine.

The store, the instance list, the leaves of Swapline's two sharded services and three
instances run as separate processes. The operators' tool applies the configuration
``examples/swapline.toml``. Then callers send the questions of
``examples/queries.jsonl`` while one leaf is slow and another is killed.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trio

from walkcart.bench.caller import Caller, RequestResult
from walkcart.bench.fleet import HOST, Fleet, Processes, allocate_ports, fetch
from walkcart.bench.judgement import PROMISES, Judgement, Record, judge_run
from walkcart.bench.load import Tally
from walkcart.cli.output import render_table
from walkcart.kernel.settings import parse_host_port
from walkcart.wire.network import TcpNetwork

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
INSTANCES = 3
#: Number of shards of each group, as configured; each shard has two leaves.
GROUPS = {"pack-finder": 20, "swap-ledger": 30}
TOKENS = ("courier", "fleet", "depot")
#: Questions per second: about 350 leaf requests, a third of what one core can serve.
RATE = 14.0
SECONDS = 10.0
#: Times of the faults, in seconds from the first question.
SLOW_AT = 2.5
KILL_AT = 5.0
SLOW_LEAF = "pack-finder-3-0"
KILLED_LEAF = "swap-ledger-7-1"
#: Seconds after which a caller gives up; the longest deadline is 2 s.
REQUEST_TIMEOUT = 5.0
EXIT_BROKEN = 1
#: Text in an instance's log that marks a broken invariant.
BROKEN_INVARIANT = '"invariant_broken"'


def run_demo() -> int:
    """Run the demo; return 0 only if it keeps the promises."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Processes(Path(folder)), Path(folder))
        try:
            demo = Demo(fleet)
            demo.start()
            trio.run(demo.send_questions)
            record = demo.make_record()
        finally:
            fleet.processes.stop_all()
    return _report(demo.tally, record, judge_run(record))


class Demo:
    """One run of the demo.

    Args:
        fleet: starts the programs.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._leaves: dict[str, str] = {}
        self._refused: list[str] = []
        self.tally = Tally()

    def start(self) -> None:
        """Start all programs and apply the configuration."""
        _print_progress("starting the store, the instance list and 100 leaves")
        groups = [self._start_leaves(name, count) for name, count in GROUPS.items()]
        _print_progress(f"starting {INSTANCES} instances")
        self._fleet.start(INSTANCES, listed=groups)
        self._fleet.wait_healthy()
        text = (EXAMPLES / "swapline.toml").read_text(encoding="utf-8")
        applied = self._fleet.apply(text, "--wait")
        if applied.returncode:
            raise RuntimeError(f"the configuration wasn't applied: {applied.stderr}")
        _print_progress("the configuration is in force at every instance")
        self._fleet.wait_ready()

    def _start_leaves(self, group: str, shards: int) -> str:
        """Start the leaves of a group; the one to be killed has a separate process."""
        ports = allocate_ports(shards * 2)
        spec = f"{group}:{shards}:2:{HOST}:{ports[0]}"
        for number, port in enumerate(ports):
            name = f"{group}-{number // 2}-{number % 2}"
            self._leaves[name] = f"{HOST}:{port}"
        start = self._fleet.processes.start
        module = "walkcart.standins.main"
        if KILLED_LEAF not in self._leaves or not KILLED_LEAF.startswith(group):
            start(f"leaves-{group}", module, "leaves", spec)
            return spec
        start(f"leaves-{group}", module, "leaves", spec, "--without", KILLED_LEAF)
        start(KILLED_LEAF, module, "leaves", spec, "--only", KILLED_LEAF)
        return spec

    async def send_questions(self) -> None:
        """Send questions at a fixed mean rate while faults are injected."""
        lines = (EXAMPLES / "queries.jsonl").read_text(encoding="utf-8").splitlines()
        questions = [json.loads(line) for line in lines]
        callers = {name: Caller(TcpNetwork(), f"{name}-trial-token") for name in TOKENS}
        random = Random(1)
        start = trio.current_time()
        at, number = 0.0, 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults)
            nursery.start_soon(self._show_progress)
            async with trio.open_nursery() as request_nursery:
                while at < SECONDS:
                    await trio.sleep_until(start + at)
                    question = questions[number % len(questions)]
                    caller = callers[question["partner"]]
                    request_nursery.start_soon(
                        self._send_question, caller, question, number, at
                    )
                    number += 1
                    at += random.expovariate(RATE)
            nursery.cancel_scope.cancel()

    async def _send_question(
        self, caller: Caller, question: dict[str, Any], number: int, at: float
    ) -> None:
        names = sorted(self._fleet.entries)
        address = parse_host_port(self._fleet.entries[names[number % len(names)]])
        query = {**question["query"], "number": number}
        asked = RequestResult(0, REQUEST_TIMEOUT)
        with trio.move_on_after(REQUEST_TIMEOUT):
            asked = await caller.query(address, question["service"], query)
        if asked.verdict == "not_run":
            self._refused.append(msgspec.json.encode(query).decode())
        self.tally.add(asked, question["partner"], query, at)

    async def _inject_faults(self) -> None:
        await trio.sleep(SLOW_AT)
        address = self._leaves[SLOW_LEAF]
        await trio.to_thread.run_sync(fetch, address, "/control", b'{"slow": 10.0}')
        _print_progress(f"leaf {SLOW_LEAF} is ten times slower from now on")
        await trio.sleep(KILL_AT - SLOW_AT)
        self._fleet.processes.kill(KILLED_LEAF)
        _print_progress(f"leaf {KILLED_LEAF} is killed")

    async def _show_progress(self) -> None:
        while True:
            await trio.sleep(2)
            complete, ended = self.tally.outcomes["complete"], self.tally.outcomes
            _print_progress(
                f"{ended.total()} questions ended, {complete} answers complete"
            )

    def make_record(self) -> Record:
        """Return the outcomes, checked against the records of leaves and instances."""
        outcomes = self.tally.outcomes
        violations = self.tally.violations
        broken = {
            "one snapshot": violations["mixed_versions"],
            "own answer": violations["wrong_caller"],
            "true coverage": violations["wrong_coverage"],
            "true refusals": len(set(self._refused) & self._find_executed()),
            "own checks": self._count_broken_invariants(),
        }
        failures = sum(outcomes[name] for name in ("refused", "uncertain", "lost"))
        answers = outcomes["complete"] + outcomes["partial"]
        return Record(answers, failures, broken)

    def _find_executed(self) -> set[str]:
        """Return the questions that leaves recorded as run, except the killed leaf."""
        ran: set[str] = set()
        for name, address in self._leaves.items():
            if name != KILLED_LEAF:
                ran.update(msgspec.json.decode(fetch(address, "/record")[1])["bodies"])
        return ran

    def _count_broken_invariants(self) -> int:
        logs = (self._fleet.processes.read_log(name) for name in self._fleet.entries)
        return sum(log.count(BROKEN_INVARIANT) for log in logs)


def _report(tally: Tally, record: Record, judgement: Judgement) -> int:
    """Print the results of the run; the last line is one JSON object."""
    summary = {
        "answers": record.answers,
        "complete": tally.outcomes["complete"],
        "partial": tally.outcomes["partial"],
        "errors": record.failures,
        "refused": tally.outcomes["refused"],
        "uncertain": tally.outcomes["uncertain"],
        "lost": tally.outcomes["lost"],
        **{name.replace(" ", "_"): count for name, count in record.broken.items()},
        "coverage": round(tally.coverage, 4),
        "p50_ms": tally.quantile(0.5),
        "p99_ms": tally.quantile(0.99),
        "extra_load": round(tally.extra_load, 4),
        "passed": judgement.passed,
    }
    for promise, meaning in PROMISES.items():
        kept = "broken" if record.broken.get(promise) else "kept"
        _print_progress(f"{kept}: {promise} ({meaning})")
    for problem in judgement.problems:
        _print_progress(f"failed: {problem}")
    _print_progress(
        "next: README.md, 'Each in a process of its own', starts the same by hand"
    )
    print(render_table(["figure", "value"], list(summary.items())))
    print(json.dumps(summary))
    return 0 if judgement.passed else EXIT_BROKEN


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
