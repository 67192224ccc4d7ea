"""The main job with real programs on this machine: what ``make run`` does.

The store, the instance list, the leaves of both of Swapline's sharded services and
three instances run as processes of their own. The configuration of
``examples/swapline.toml`` is applied with the operators' tool, then questions from
``examples/queries.jsonl`` are asked while one leaf is slow and another is killed.
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

from walkcart.bench.caller import Asked, Caller
from walkcart.bench.fleet import HOST, Fleet, Processes, fetch, take_ports
from walkcart.bench.judgement import PROMISES, Judgement, Record, judge_run
from walkcart.bench.load import Tally
from walkcart.cli.output import render_table
from walkcart.kernel.settings import parse_host_port
from walkcart.wire.network import TcpNetwork

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
INSTANCES = 3
#: Shards of each group; two leaves each, as the configuration describes them.
GROUPS = {"pack-finder": 20, "swap-ledger": 30}
TOKENS = ("courier", "fleet", "depot")
#: Questions a second: some 350 requests to leaves, a third of what one core bears.
RATE = 14.0
SECONDS = 10.0
#: Seconds from the first question to the faults.
SLOW_AT = 2.5
KILL_AT = 5.0
SLOW_LEAF = "pack-finder-3-0"
KILLED_LEAF = "swap-ledger-7-1"
#: Seconds after which a caller gives a question up; the longest deadline is 2 s.
PATIENCE = 5.0
EXIT_BROKEN = 1
#: Line of an instance's log that tells of a broken invariant.
BROKEN_INVARIANT = '"invariant_broken"'


def run_demo() -> int:
    """Run the job; return 0 only if the run shows what is promised."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Processes(Path(folder)), Path(folder))
        try:
            demo = Demo(fleet)
            demo.start()
            trio.run(demo.ask_all)
            record = demo.make_record()
        finally:
            fleet.processes.stop_all()
    return _report(demo.tally, record, judge_run(record))


class Demo:
    """One run.

    Args:
        fleet: to start the programs with.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._leaves: dict[str, str] = {}
        self._refused: list[str] = []
        self.tally = Tally()

    def start(self) -> None:
        """Start all programs and put the configuration in force."""
        _tell("starting the store, the instance list and 100 leaves")
        groups = [self._start_leaves(name, count) for name, count in GROUPS.items()]
        _tell(f"starting {INSTANCES} instances")
        self._fleet.start(INSTANCES, listed=groups)
        self._fleet.wait_healthy()
        text = (EXAMPLES / "swapline.toml").read_text(encoding="utf-8")
        applied = self._fleet.apply(text, "--wait")
        if applied.returncode:
            raise RuntimeError(f"the configuration wasn't applied: {applied.stderr}")
        _tell("the configuration is in force at every instance")
        self._fleet.wait_ready()

    def _start_leaves(self, group: str, shards: int) -> str:
        """Start the leaves of a group; the one to be killed is a process by itself."""
        ports = take_ports(shards * 2)
        words = f"{group}:{shards}:2:{HOST}:{ports[0]}"
        for number, port in enumerate(ports):
            name = f"{group}-{number // 2}-{number % 2}"
            self._leaves[name] = f"{HOST}:{port}"
        start = self._fleet.processes.start
        module = "walkcart.standins.main"
        if KILLED_LEAF not in self._leaves or not KILLED_LEAF.startswith(group):
            start(f"leaves-{group}", module, "leaves", words)
            return words
        start(f"leaves-{group}", module, "leaves", words, "--without", KILLED_LEAF)
        start(KILLED_LEAF, module, "leaves", words, "--only", KILLED_LEAF)
        return words

    async def ask_all(self) -> None:
        """Ask by an open loop while the faults happen."""
        lines = (EXAMPLES / "queries.jsonl").read_text(encoding="utf-8").splitlines()
        questions = [json.loads(line) for line in lines]
        callers = {name: Caller(TcpNetwork(), f"{name}-trial-token") for name in TOKENS}
        random = Random(1)
        start = trio.current_time()
        at, number = 0.0, 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._bring_faults)
            nursery.start_soon(self._show_progress)
            async with trio.open_nursery() as asking:
                while at < SECONDS:
                    await trio.sleep_until(start + at)
                    question = questions[number % len(questions)]
                    caller = callers[question["partner"]]
                    asking.start_soon(self._ask, caller, question, number, at)
                    number += 1
                    at += random.expovariate(RATE)
            nursery.cancel_scope.cancel()

    async def _ask(
        self, caller: Caller, question: dict[str, Any], number: int, at: float
    ) -> None:
        names = sorted(self._fleet.entries)
        address = parse_host_port(self._fleet.entries[names[number % len(names)]])
        query = {**question["query"], "number": number}
        asked = Asked(0, PATIENCE)
        with trio.move_on_after(PATIENCE):
            asked = await caller.query(address, question["service"], query)
        if asked.verdict == "not_run":
            self._refused.append(msgspec.json.encode(query).decode())
        self.tally.add(asked, question["partner"], query, at)

    async def _bring_faults(self) -> None:
        await trio.sleep(SLOW_AT)
        address = self._leaves[SLOW_LEAF]
        await trio.to_thread.run_sync(fetch, address, "/control", b'{"slow": 10.0}')
        _tell(f"leaf {SLOW_LEAF} is ten times slower from now on")
        await trio.sleep(KILL_AT - SLOW_AT)
        self._fleet.processes.kill(KILLED_LEAF)
        _tell(f"leaf {KILLED_LEAF} is killed")

    async def _show_progress(self) -> None:
        while True:
            await trio.sleep(2)
            complete, ended = self.tally.outcomes["complete"], self.tally.outcomes
            _tell(f"{ended.total()} questions ended, {complete} answers complete")

    def make_record(self) -> Record:
        """Return what came of the questions, with what leaves and instances say."""
        outcomes = self.tally.outcomes
        violations = self.tally.violations
        broken = {
            "one snapshot": violations["mixed_versions"],
            "own answer": violations["wrong_caller"],
            "true coverage": violations["wrong_coverage"],
            "true refusals": len(set(self._refused) & self._find_ran()),
            "own checks": self._count_broken_invariants(),
        }
        failures = sum(outcomes[name] for name in ("refused", "uncertain", "lost"))
        answers = outcomes["complete"] + outcomes["partial"]
        return Record(answers, failures, broken)

    def _find_ran(self) -> set[str]:
        """Return the questions that leaves say they ran; the killed one can't say."""
        ran: set[str] = set()
        for name, address in self._leaves.items():
            if name != KILLED_LEAF:
                ran.update(msgspec.json.decode(fetch(address, "/record")[1])["bodies"])
        return ran

    def _count_broken_invariants(self) -> int:
        logs = (self._fleet.processes.read_log(name) for name in self._fleet.entries)
        return sum(log.count(BROKEN_INVARIANT) for log in logs)


def _report(tally: Tally, record: Record, judgement: Judgement) -> int:
    """Print what the run showed; the last line is one JSON object."""
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
        _tell(f"{kept}: {promise} ({meaning})")
    for complaint in judgement.complaints:
        _tell(f"failed: {complaint}")
    _tell("next: README.md, 'Each in a process of its own', starts the same by hand")
    print(render_table(["figure", "value"], list(summary.items())))
    print(json.dumps(summary))
    return 0 if judgement.passed else EXIT_BROKEN


def _tell(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
