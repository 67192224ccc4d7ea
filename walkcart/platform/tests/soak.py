"""A randomised soak test of the real program on stand-ins of the platform.

Daemons run as processes of their own, with settings files like the platform's. The
soak process contains store, leaves, callers and the proxies between them. It stops,
pauses, kills and restarts daemons by signals, injects faults into connections, store,
leaves and configuration, in overlapping series, and checks what callers and leaves see.

    python -m walkcart.platform.tests.soak --seed 1 --seeds 5 --minutes 0.5

The timing of the machine matters too, so a seed doesn't reproduce a run exactly.
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
from walkcart.platform.tests.soakenvironment import SoakEnvironment
from walkcart.platform.tests.soakteams import SHARED_KEY, TEAMS, SoakTeams

#: Number of daemons, and their data centres in turn.
DAEMONS = 4
DATA_CENTRES = ("north-a", "south-a")
#: Bounds of the random interval between faults, in seconds.
FAULT_INTERVAL = (0.2, 1.2)
#: Time between the last fault and the final checks, in seconds.
SETTLE_SECONDS = 8.0
#: Maximum time until all daemons are ready, in seconds.
START_SECONDS = 20.0
#: Maximum time for a daemon to exit after a signal, in seconds.
STOP_SECONDS = 12.0


class Daemons:
    """The daemon processes under test."""

    def __init__(self, folder: Path, environment: SoakEnvironment) -> None:
        self._folder = folder
        self._environment = environment
        self.running: dict[str, subprocess.Popen] = {}
        self._log_starts: dict[str, int] = {}

    def start(self, name: str) -> None:
        """Write the settings file of a daemon and start the daemon."""
        path = self._folder / f"{name}.toml"
        path.write_text(self._environment.make_settings(name), encoding="utf-8")
        environment = {**os.environ, "WALKCART_NODE_FILE": str(path)}
        with self._find_log(name).open("a") as log:
            self._log_starts[name] = log.tell()
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "walkcart.daemon.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _find_log(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    def has_started(self, name: str) -> bool:
        """Return whether a daemon has begun to serve requests since its last start."""
        text = self._find_log(name).read_text(encoding="utf-8", errors="replace")
        return '"event": "started"' in text[self._log_starts[name] :]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon if it runs."""
        if name in self.running:
            self.running[name].send_signal(number)

    async def end(self, name: str, number: int) -> int:
        """Send a signal and wait for the exit; return the exit code."""
        process = self.running.pop(name)
        process.send_signal(number)
        # Another fault series may have paused the daemon and can no longer resume it.
        process.send_signal(signal.SIGCONT)
        try:
            return await trio.to_thread.run_sync(
                process.wait, STOP_SECONDS, abandon_on_cancel=True
            )
        except subprocess.TimeoutExpired:
            return -signal.SIGALRM
        finally:
            # Also when the run is cancelled: no process that it started may outlive it.
            process.kill()
            process.wait()

    def kill_all(self) -> None:
        """Kill all daemons that this soak started."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.running.clear()


class Soak:
    """One run of the soak test."""

    def __init__(self, seed: int, folder: Path, nursery: trio.Nursery) -> None:
        self._random = Random(seed)
        # Half of the seeds, the even ones, have teams. Nothing else may differ.
        teams = SoakTeams(self._random) if seed % 2 == 0 else None
        self.environment = SoakEnvironment(nursery, self._random, teams)
        self.daemons = Daemons(folder, self.environment)
        self.callers = SoakCallers(self.environment, self._random)
        self.faults: Counter[str] = Counter()
        self.broken: list[str] = []

    async def run(self, seconds: float) -> None:
        """Start everything, inject faults for `seconds`, let it settle, and check."""
        names = [f"daemon-{number}" for number in range(DAEMONS)]
        await self.environment.start(names, DATA_CENTRES)
        for name in names:
            self.daemons.start(name)
        await self._wait_ready(names)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.callers.run)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as faults:
                    for _ in range(2):
                        faults.start_soon(self._inject_faults, names)
            self._end_faults(names)
            await trio.sleep(SETTLE_SECONDS)
            nursery.cancel_scope.cancel()
        await self._check_end(names)
        self.broken += self.callers.broken
        self.broken += self.environment.check_runs(self.callers.reported_not_run)

    async def _wait_ready(self, names: list[str]) -> None:
        with trio.move_on_after(START_SECONDS):
            for name in names:
                while not await self.callers.is_ready(name):
                    await trio.sleep(0.1)

    async def _inject_faults(self, names: list[str]) -> None:
        while True:
            await trio.sleep(self._random.uniform(*FAULT_INTERVAL))
            kind = self._random.choice(
                (
                    *("kill", "pause", "stop", "store", "leaf", "link", "route"),
                    *("herd", "evacuate", "keys"),
                )
            )
            self.faults[kind] += 1
            await self._inject_fault(kind, names)

    async def _inject_fault(self, kind: str, names: list[str]) -> None:
        name = self._random.choice(names)
        duration = self._random.uniform(0.2, 3.0)
        match kind:
            case "kill" if name in self.daemons.running:
                await self.daemons.end(name, signal.SIGKILL)
                await trio.sleep(duration / 4)
                self.daemons.start(name)
            case "stop" if name in self.daemons.running:
                code = await self.daemons.end(name, signal.SIGTERM)
                # SIGTERM may kill a daemon that has not begun to serve requests.
                early = code == -signal.SIGTERM and not self.daemons.has_started(name)
                if code not in (0, -signal.SIGKILL) and not early:
                    self.broken.append(f"{name} ended a planned stop with {code}")
                self.daemons.start(name)
            case "pause":
                self.daemons.signal(name, signal.SIGSTOP)
                await trio.sleep(duration)
                self.daemons.signal(name, signal.SIGCONT)
            case "herd":
                await self._kill_all(names)
                await trio.sleep(duration)
            case "store":
                await self.environment.disturb_store(duration)
            case "leaf":
                await self.environment.disturb_leaf(duration)
            case "link":
                await self.environment.disturb_link(duration)
            case "evacuate":
                await self.environment.evacuate(duration)
            case "keys" if self.environment.teams is not None:
                self.environment.teams.reassign_key()
                self.environment.change_routes()
            case "route":
                self.environment.change_routes()

    async def _kill_all(self, names: list[str]) -> None:
        """Kill and restart the running daemons; other series may have stopped some."""
        killed = []
        for name in names:
            if name in self.daemons.running:
                killed.append(name)
                await self.daemons.end(name, signal.SIGKILL)
        for name in killed:
            self.daemons.start(name)

    def _end_faults(self, names: list[str]) -> None:
        """Undo the faults that the end of the series left in place."""
        self.environment.clear_faults()
        for name in names:
            if name in self.daemons.running:
                self.daemons.signal(name, signal.SIGCONT)
                if self.daemons.running[name].poll() is not None:
                    self.broken.append(f"{name} ended by itself")
                    self.daemons.start(name)
            else:
                self.daemons.start(name)

    async def _check_end(self, names: list[str]) -> None:
        """Check that each daemon serves requests of the newest configuration."""
        self.environment.configure(make_route("last", "/last/", backend="plain"))
        await trio.sleep(3)
        for name in names:
            status = await self.callers.ask_status(name, "/last/x")
            if status != 200:
                self.broken.append(f"after the end {name} answered {status}")
        await self._check_keys(names)
        await self._check_evacuation(names)

    async def _check_keys(self, names: list[str]) -> None:
        """Check that a removed key is refused, and that it works once it is back."""
        teams = self.environment.teams
        if teams is None:
            return
        for holder, expected in ((None, 401), (TEAMS[1], 200)):
            teams.holder = holder
            self.environment.configure(make_route("last", "/last/", backend="plain"))
            await trio.sleep(3)
            for name in names:
                status = await self.callers.ask_status(name, "/last/x", SHARED_KEY)
                if status != expected:
                    self.broken.append(f"key of {holder} at {name}: {status}")

    async def _check_evacuation(self, names: list[str]) -> None:
        """Check that no request goes to an evacuated data centre, once all know it."""
        place = DATA_CENTRES[0]
        self.environment.store.put(f"op/evacuate/{place}", {})
        await trio.sleep(3)
        before = self.environment.count_arrivals(place)
        for name in names * 3:
            await self.callers.ask_status(name, "/last/x")
        arrived = self.environment.count_arrivals(place) - before
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
            log_folder = Path("out") / f"soak-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for path in folder.glob("*.log"):
                (log_folder / path.name).write_bytes(path.read_bytes())
            print(f"  logs: {log_folder}")
        return not soak.broken


def main() -> None:
    """Run the seeds given by the arguments."""
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
