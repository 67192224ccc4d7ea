"""A randomised soak of the real program on the platform's stand-ins.

Daemons run as processes of their own, with settings files as the platform lays them.
The soak holds the store, the leafs, the callers and loopback proxies between them; it
stops, pauses, kills and restarts daemons by signals and troubles connections, store,
leafs and configuration, in series that overlap. It checks what callers and leafs see.

    python -m walkcart.platform.tests.soak --seed 1 --seeds 5 --minutes 0.5

The machine's timing decides too, so a seed doesn't repeat a run exactly.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.soakcalls import SoakCallers
from walkcart.platform.tests.soakestate import SoakEstate
from walkcart.platform.tests.soakteams import MOVING, TEAMS, SoakTeams

#: Daemons of a run and the data centres that they stand in, in turn.
DAEMONS = 4
DATA_CENTRES = ("north-a", "south-a")
FAULT_GAP = (0.2, 1.2)
SETTLE_SECONDS = 8.0
START_SECONDS = 20.0
STOP_SECONDS = 12.0


class Daemons:
    """The processes under test, by name."""

    def __init__(self, folder: Path, estate: SoakEstate) -> None:
        self._folder = folder
        self._estate = estate
        self.running: dict[str, subprocess.Popen] = {}
        self._log_starts: dict[str, int] = {}

    def start(self, name: str) -> None:
        """Start a daemon; its settings lie in a file of its own."""
        path = self._folder / f"{name}.toml"
        path.write_text(self._estate.make_settings(name), encoding="utf-8")
        environment = {**os.environ, "WALKCART_NODE_FILE": str(path)}
        with self._log_of(name).open("a") as log:
            self._log_starts[name] = log.tell()
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "walkcart.daemon.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _log_of(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    def took_requests(self, name: str) -> bool:
        """Return whether the last life of a daemon got as far as taking requests."""
        text = self._log_of(name).read_text(encoding="utf-8", errors="replace")
        return '"event": "started"' in text[self._log_starts[name] :]

    def signal(self, name: str, number: int) -> None:
        """Send a signal."""
        if name in self.running:
            self.running[name].send_signal(number)

    async def end(self, name: str, number: int) -> int:
        """Send a signal and wait for the end; return the exit code."""
        process = self.running.pop(name)
        process.send_signal(number)
        # Another series may have paused it, and can't wake it any longer.
        process.send_signal(signal.SIGCONT)
        try:
            return await trio.to_thread.run_sync(
                process.wait, STOP_SECONDS, abandon_on_cancel=True
            )
        except subprocess.TimeoutExpired:
            return -signal.SIGALRM
        finally:
            # Also when the run ends meanwhile: nothing that it started outlives it.
            process.kill()
            process.wait()

    def kill_all(self) -> None:
        """End what this soak started."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.running.clear()


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: Path, nursery: trio.Nursery) -> None:
        self._random = Random(seed)
        # Half of the seeds have teams: without them nothing may differ.
        teams = SoakTeams(self._random) if seed % 2 == 0 else None
        self.estate = SoakEstate(nursery, self._random, teams)
        self.daemons = Daemons(folder, self.estate)
        self.callers = SoakCallers(self.estate, self._random)
        self.faults: Counter[str] = Counter()
        self.broken: list[str] = []

    async def run(self, seconds: float) -> None:
        """Start everything, trouble it, let it settle, and check."""
        names = [f"daemon-{number}" for number in range(DAEMONS)]
        await self.estate.start(names, DATA_CENTRES)
        for name in names:
            self.daemons.start(name)
        await self._wait_ready(names)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.callers.run)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as troubles:
                    for _ in range(2):
                        troubles.start_soon(self._bring_faults, names)
            self._end_faults(names)
            await trio.sleep(SETTLE_SECONDS)
            nursery.cancel_scope.cancel()
        await self._check_end(names)
        self.broken += self.callers.broken
        self.broken += self.estate.check_runs(self.callers.told_not_run)

    async def _wait_ready(self, names: list[str]) -> None:
        with trio.move_on_after(START_SECONDS):
            for name in names:
                while not await self.callers.is_ready(name):
                    await trio.sleep(0.1)

    async def _bring_faults(self, names: list[str]) -> None:
        while True:
            await trio.sleep(self._random.uniform(*FAULT_GAP))
            kind = self._random.choice(
                (
                    *("kill", "pause", "stop", "store", "leaf", "link", "route"),
                    *("herd", "evacuate", "keys"),
                )
            )
            self.faults[kind] += 1
            await self._bring_one(kind, names)

    async def _bring_one(self, kind: str, names: list[str]) -> None:
        name = self._random.choice(names)
        span = self._random.uniform(0.2, 3.0)
        match kind:
            case "kill" if name in self.daemons.running:
                await self.daemons.end(name, signal.SIGKILL)
                await trio.sleep(span / 4)
                self.daemons.start(name)
            case "stop" if name in self.daemons.running:
                code = await self.daemons.end(name, signal.SIGTERM)
                # Before it takes requests a signal may end it as it ends any process.
                early = code == -signal.SIGTERM and not self.daemons.took_requests(name)
                if code not in (0, -signal.SIGKILL) and not early:
                    self.broken.append(f"{name} ended a planned stop with {code}")
                self.daemons.start(name)
            case "pause":
                self.daemons.signal(name, signal.SIGSTOP)
                await trio.sleep(span)
                self.daemons.signal(name, signal.SIGCONT)
            case "herd":
                await self._kill_all(names)
                await trio.sleep(span)
            case "store":
                await self.estate.trouble_store(span)
            case "leaf":
                await self.estate.trouble_leaf(span)
            case "link":
                await self.estate.trouble_link(span)
            case "evacuate":
                await self.estate.evacuate(span)
            case "keys" if self.estate.teams is not None:
                self.estate.teams.move_key()
                self.estate.change_routes()
            case "route":
                self.estate.change_routes()

    async def _kill_all(self, names: list[str]) -> None:
        """Kill all that run, and start these again; another series may end some."""
        killed = []
        for name in names:
            if name in self.daemons.running:
                killed.append(name)
                await self.daemons.end(name, signal.SIGKILL)
        for name in killed:
            self.daemons.start(name)

    def _end_faults(self, names: list[str]) -> None:
        """Bring back what the end of the faults left paused, ended or troubled."""
        self.estate.heal()
        for name in names:
            if name in self.daemons.running:
                self.daemons.signal(name, signal.SIGCONT)
                if self.daemons.running[name].poll() is not None:
                    self.broken.append(f"{name} ended by itself")
                    self.daemons.start(name)
            else:
                self.daemons.start(name)

    async def _check_end(self, names: list[str]) -> None:
        """Every daemon serves, whole, by the newest configuration."""
        self.estate.configure(make_route("last", "/last/", backend="plain"))
        await trio.sleep(3)
        for name in names:
            status = await self.callers.ask_status(name, "/last/x")
            if status != 200:
                self.broken.append(f"after the end {name} answered {status}")
        await self._check_keys(names)
        await self._check_evacuation(names)

    async def _check_keys(self, names: list[str]) -> None:
        """A key that was taken away opens nothing, and opens all once it is back."""
        teams = self.estate.teams
        if teams is None:
            return
        for holder, expected in ((None, 401), (TEAMS[1], 200)):
            teams.holder = holder
            self.estate.configure(make_route("last", "/last/", backend="plain"))
            await trio.sleep(3)
            for name in names:
                status = await self.callers.ask_status(name, "/last/x", MOVING)
                if status != expected:
                    self.broken.append(f"key of {holder} at {name}: {status}")

    async def _check_evacuation(self, names: list[str]) -> None:
        """Nothing goes to an evacuated data centre, now that all are in touch."""
        place = DATA_CENTRES[0]
        self.estate.store.put(f"op/evacuate/{place}", {})
        await trio.sleep(3)
        before = self.estate.count_arrived(place)
        for name in names * 3:
            await self.callers.ask_status(name, "/last/x")
        arrived = self.estate.count_arrived(place) - before
        if arrived:
            self.broken.append(f"{arrived} requests went to evacuated {place}")


def run_seed(seed: int, minutes: float) -> bool:
    """Run one seed; return whether everything held."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)

        async def run() -> Soak:
            async with trio.open_nursery() as nursery:
                soak = Soak(seed, folder, nursery)
                try:
                    await soak.run(minutes * 60)
                finally:
                    soak.daemons.kill_all()
                nursery.cancel_scope.cancel()
            return soak

        soak = trio.run(run)
        told = "BROKEN" if soak.broken else "held"
        print(f"seed {seed}: {told}; {minutes:g} minutes; {dict(soak.faults)}")
        print(f"  answers: {dict(sorted(soak.callers.seen.items()))}")
        for line in soak.broken[:10]:
            print(f"  {line}")
        if soak.broken:
            keep = Path("out") / f"soak-{seed}"
            keep.mkdir(parents=True, exist_ok=True)
            for path in folder.glob("*.log"):
                (keep / path.name).write_bytes(path.read_bytes())
            print(f"  logs: {keep}")
        return not soak.broken


def main() -> None:
    """Run the seeds that the arguments name."""
    parser = argparse.ArgumentParser(description="soak the daemon on stand-ins")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    options = parser.parse_args()
    held = [
        run_seed(seed, options.minutes)
        for seed in range(options.seed, options.seed + options.seeds)
    ]
    print(f"{sum(held)} of {len(held)} seeds held")
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
