"""A bounded randomised run over real processes: kills, pauses, planned stops.

Unlike in `walkcart.bench.soak`, runs with the same seed differ, since they depend on
the timing of the machine. It checks the same promises, with the replies to callers and
the leaves' records.
"""

from __future__ import annotations

import signal
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import msgspec
import trio

from walkcart.bench.caller import Caller, find_violations
from walkcart.bench.fleet import Fleet, Processes, fetch
from walkcart.bench.world import make_partner, make_service
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.settings import HostPort, parse_host_port
from walkcart.once.keys import make_key
from walkcart.wire.network import TcpNetwork

DAEMONS = 4
TOKEN = "soak"
LEAVES = ("parts:4:2", "cards:1:3")
SETTINGS = ("--fatal-invariants", "yes", "--stop-grace", "0.3")
#: Seconds between two requests or faults.
QUERY_INTERVAL = 0.05
EXECUTE_INTERVAL = 0.1
MEAN_FAULT_INTERVAL = 2.0
#: Seconds from the end of the faults until the checks.
RECOVERY_TIME = 8.0


def run_process_soak(seed: int, minutes: float) -> int:
    """Run and print the results; return 1 if a promise was broken."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Processes(Path(folder)), Path(folder))
        try:
            fleet.start(DAEMONS, LEAVES, SETTINGS)
            fleet.wait_healthy()
            text = make_partner("soak", TOKEN) + make_service("parts", 4)
            fleet.apply(text + make_service("cards", 1, True), "--wait")
            fleet.wait_ready()
            run = _ProcessSoak(fleet, Random(seed))
            trio.run(run.run, minutes * 60)
        finally:
            fleet.processes.stop_all()
    print(f"seed {seed}: {'BROKEN' if run.broken else 'held'}; {minutes:g} minutes")
    print(f"  faults: {dict(run.faults)}; outcomes: {dict(sorted(run.seen.items()))}")
    for line in run.broken[:10]:
        print(f"  {line}")
    return 1 if run.broken else 0


class _ProcessSoak:
    """One run."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._number = 0
        self._not_run: list[str] = []
        self.broken: list[str] = []
        self.faults: Counter[str] = Counter()
        self.seen: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Send requests under faults, then check records and last answers."""
        self._clock = TrioClock()
        async with trio.open_nursery() as request_nursery:
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_queries, request_nursery)
                    nursery.start_soon(self._send_executions, request_nursery)
                    nursery.start_soon(self._inject_faults)
            self._restart_ended()
        await trio.sleep(RECOVERY_TIME)
        await self._check_end()
        self._check_records()

    def _choose_address(self) -> HostPort:
        name = self._random.choice(sorted(self._fleet.entries))
        return parse_host_port(self._fleet.entries[name])

    async def _send_queries(self, request_nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(QUERY_INTERVAL)
            self._number += 1
            request_nursery.start_soon(self._query, self._number)

    async def _query(self, number: int) -> None:
        query = {"number": number}
        caller = Caller(TcpNetwork(), TOKEN)
        with trio.move_on_after(20):
            asked = await caller.query(self._choose_address(), "parts", query)
            self.seen[f"query {asked.verdict or 'no reply'}"] += 1
            for violation in find_violations(asked, "soak", query):
                self.broken.append(f"{violation} in the answer to {number}")
            if asked.verdict == "not_run":
                self._not_run.append(msgspec.json.encode(query).decode())
        await caller.close()

    async def _send_executions(self, request_nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(EXECUTE_INTERVAL)
            self._number += 1
            key = make_key(self._clock.now(), self._random)
            for delay in (0.0, self._random.choice([0.0, 0.2, 1.0])):
                request_nursery.start_soon(self._execute, self._number, key, delay)

    async def _execute(self, number: int, key: str, delay: float) -> None:
        await trio.sleep(delay)
        caller = Caller(TcpNetwork(), TOKEN)
        with trio.move_on_after(20):
            asked = await caller.execute(self._choose_address(), "cards", number, key)
            self.seen[f"execute {asked.verdict or 'no reply'}"] += 1
        await caller.close()

    async def _inject_faults(self) -> None:
        while True:
            await trio.sleep(self._random.uniform(0.5, 1.5) * MEAN_FAULT_INTERVAL)
            name = self._random.choice(sorted(self._fleet.entries))
            kind = self._random.choice(["kill", "pause", "stop"])
            self.faults[kind] += 1
            match kind:
                case "kill":
                    self._fleet.processes.kill(name)
                    await trio.sleep(self._random.uniform(0.2, 3.0))
                    self._fleet.restart_daemon(name)
                case "pause":
                    self._fleet.processes.signal(name, signal.SIGSTOP)
                    await trio.sleep(self._random.uniform(0.2, 4.0))
                    self._fleet.processes.signal(name, signal.SIGCONT)
                case _:
                    self._fleet.processes.signal(name, signal.SIGTERM)
                    code = await trio.to_thread.run_sync(
                        self._fleet.processes.wait, name
                    )
                    if code != 0:
                        self.broken.append(f"{name} ended a planned stop with {code}")
                    self._fleet.restart_daemon(name)

    def _restart_ended(self) -> None:
        """Continue paused daemons and restart stopped ones after the faults."""
        for name in self._fleet.entries:
            if name in self._fleet.processes.running:
                self._fleet.processes.signal(name, signal.SIGCONT)
            else:
                self._fleet.restart_daemon(name)

    async def _check_end(self) -> None:
        caller = Caller(TcpNetwork(), TOKEN)
        for name, address in self._fleet.entries.items():
            asked = await caller.query(parse_host_port(address), "parts", "end")
            if asked.status != 200 or not asked.content["coverage"]["complete"]:
                self.broken.append(f"after the end {name} answered {asked.status}")
        await caller.close()

    def _check_records(self) -> None:
        once: Counter[str] = Counter()
        bodies: set[str] = set()
        for address in self._fleet.leaves:
            record = msgspec.json.decode(fetch(address, "/record")[1])
            once.update(record["once"])
            bodies.update(record["bodies"])
        self.seen["keys that ran"] = len(once)
        for key, count in once.items():
            if count > 1:
                self.broken.append(f"key {key} ran {count} times")
        for body in self._not_run:
            if body in bodies:
                self.broken.append(f"{body} was told not run, and ran")
