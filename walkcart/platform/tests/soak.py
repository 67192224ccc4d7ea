"""A randomised soak test of the real program on stand-ins of the platform.

Daemons run as processes of their own, with settings files like the platform's. The
soak process contains store, leaves, callers and the proxies between them. It stops,
pauses, kills and restarts daemons by signals, injects faults into connections, store,
leaves and configuration, in overlapping series, and checks what callers and leaves see.

    python -m walkcart.platform.tests.soak --seed 1 --seeds 5 --minutes 0.5
    python -m walkcart.platform.tests.soak --daemons 20 --only peers --only flood

The timing of the machine matters too, so a seed doesn't reproduce a run exactly.
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.soakcalls import SoakCallers
from walkcart.platform.tests.soakdaemons import START_SECONDS, Daemons
from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakenvironment import SoakEnvironment
from walkcart.platform.tests.soakfaults import KINDS, FaultKind
from walkcart.platform.tests.soakteams import SHARED_KEY, TEAMS, SoakTeams

#: Number of daemons, and their data centres in turn.
DAEMONS = 4
DATA_CENTRES = ("north-a", "south-a")
#: Bounds of the random interval between faults, in seconds.
FAULT_INTERVAL = (0.2, 1.2)
#: Time between the last fault and the final checks, in seconds.
SETTLE_SECONDS = 8.0
#: Time for which bad input lasts in the check that it is logged, in seconds; less for
#: each kind that restarts a daemon.
CALM_SECONDS, RESTART_SECONDS = 3.0, 1.5
#: Seconds between two series of requests in that time.
ASK_INTERVAL = 0.02
#: Series of faults at the same time.
SERIES = 2


@dataclass(frozen=True, slots=True)
class Options:
    """What one run consists of.

    Args:
        seed: seed of the random numbers.
        minutes: time for which faults are injected.
        daemons: number of daemons; the last two of three or more share an address.
        kinds: kinds of faults.
        series: number of series of faults at the same time.
    """

    seed: int
    minutes: float
    daemons: int
    kinds: tuple[str, ...]
    series: int


class Soak:
    """One run of the soak test."""

    def __init__(self, options: Options, folder: Path, nursery: trio.Nursery) -> None:
        self._options = options
        self._random = Random(options.seed)
        # Half of the seeds, the even ones, have teams. Nothing else may differ.
        teams = SoakTeams(self._random) if options.seed % 2 == 0 else None
        self.environment = SoakEnvironment(nursery, self._random, teams)
        self.daemons = Daemons(nursery, folder)
        self.callers = SoakCallers(self.environment, self._random)
        self._soaked = Soaked(self.daemons, self.environment, self._random)
        self.faults: Counter[str] = Counter()
        self.broken: list[str] = []

    async def run(self) -> None:
        """Start everything, inject faults for some time, let it settle, and check."""
        names = [f"daemon-{number}" for number in range(self._options.daemons)]
        self.daemons.add(names, DATA_CENTRES)
        await self.environment.start(self.daemons.machines, DATA_CENTRES)
        for name in names:
            self.daemons.start(name)
        async with trio.open_nursery() as watchers:
            watchers.start_soon(self.daemons.keep)
            for name in names:
                watchers.start_soon(self.daemons.watch, name)
            await self._wait_ready(names)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.callers.run)
                with trio.move_on_after(self._options.minutes * 60):
                    async with trio.open_nursery() as faults:
                        for _ in range(self._options.series):
                            faults.start_soon(self._inject_faults, names)
                self._end_faults(names)
                await trio.sleep(SETTLE_SECONDS)
                nursery.cancel_scope.cancel()
            await self._check_end(names)
            watchers.cancel_scope.cancel()
        self.broken += self.daemons.broken
        self.broken += self.callers.broken
        self.broken += self.environment.check_runs(self.callers.reported_not_run)

    async def _wait_ready(self, names: list[str]) -> None:
        """Wait until all daemons are ready; record those that aren't in time."""
        with trio.move_on_after(START_SECONDS):
            for name in names:
                while not await self.daemons.is_ready(name):
                    await trio.sleep(0.1)
            return
        for name in names:
            if not await self.daemons.is_ready(name):
                self.broken.append(f"{name} wasn't ready within {START_SECONDS} s")

    async def _inject_faults(self, names: list[str]) -> None:
        while True:
            await trio.sleep(self._random.uniform(*FAULT_INTERVAL))
            kind = self._random.choice(self._options.kinds)
            self.faults[kind] += 1
            duration = self._random.uniform(0.2, 3.0)
            name = self._random.choice(names)
            await KINDS[kind].inject(self._soaked, name, duration)

    def _end_faults(self, names: list[str]) -> None:
        """Undo the faults that the end of the series left in place."""
        self.environment.clear_faults()
        for name in names:
            if name in self.daemons.running:
                self.daemons.signal(name, signal.SIGCONT)
            else:
                self.daemons.start(name)

    async def _check_end(self, names: list[str]) -> None:
        """Check that each daemon serves requests of the newest configuration."""
        await self._wait_ready(names)
        await self._check_events(names)
        self.environment.configure(make_route("last", "/last/", backend="plain"))
        await trio.sleep(3)
        for name in names:
            status = await self.callers.ask_status(name, "/last/x")
            if status != 200:
                self.broken.append(f"after the end {name} answered {status}")
        await self._check_keys(names)
        await self._check_evacuation(names)

    async def _check_events(self, names: list[str]) -> None:
        """Check that the daemons log bad input."""
        kinds = [KINDS[kind] for kind in self._options.kinds if KINDS[kind].events]
        lasting = [kind for kind in kinds if not kind.restarts]
        restarts = [kind for kind in kinds if kind.restarts]
        # The first daemon isn't restarted unless it is the only one.
        others = names[1:] or names
        async with trio.open_nursery() as nursery:
            for paths in (("/one/x", "/all/x"), ("/lone/x",)):
                nursery.start_soon(self._ask_for, names[0], CALM_SECONDS, paths)
            for kind in lasting:
                nursery.start_soon(kind.inject, self._soaked, names[0], CALM_SECONDS)
        # Daemons that restart hardly send each other messages that could be spoiled.
        async with trio.open_nursery() as nursery:
            for number, name in enumerate(others):
                own = restarts[number :: len(others)]
                nursery.start_soon(self._check_restarts, name, own)
        self.broken += [
            f"no daemon logged {' or '.join(kind.events)} {kind.detail}".rstrip()
            for kind in lasting
            if not self.daemons.has_event(kind.events, kind.detail)
        ]

    async def _check_restarts(self, name: str, kinds: list[FaultKind]) -> None:
        """Restart a daemon under bad conditions, and check that it logs each."""
        for kind in kinds:
            await self._wait_ready([name])
            start = self.daemons.measure_log(name)
            await kind.inject(self._soaked, name, RESTART_SECONDS)
            if not self.daemons.has_event_since(name, start, kind.events):
                self.broken.append(f"{name} didn't log {' or '.join(kind.events)}")
        await self._wait_ready([name])

    async def _ask_for(self, name: str, seconds: float, paths: Sequence[str]) -> None:
        """Send requests to a daemon for some seconds, one after the other."""
        with trio.move_on_after(seconds):
            while True:
                for path in paths:
                    await self.callers.ask_status(name, path)
                await trio.sleep(ASK_INTERVAL)

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


def run_seed(
    seed: int,
    minutes: float,
    daemons: int = DAEMONS,
    only: Sequence[str] = (),
    series: int = SERIES,
) -> bool:
    """Run one seed; return whether everything held."""
    kinds = tuple(only) or tuple(KINDS)
    options = Options(seed, minutes, daemons, kinds, series)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)

        async def run() -> Soak:
            async with trio.open_nursery() as nursery:
                soak = Soak(options, folder, nursery)
                try:
                    await soak.run()
                finally:
                    soak.daemons.kill_all()
                nursery.cancel_scope.cancel()
            return soak

        soak = trio.run(run)
        _report(soak, options, folder)
    return not soak.broken


def _report(soak: Soak, options: Options, folder: Path) -> None:
    """Print how a run ended; keep the logs of one that didn't hold."""
    result = "BROKEN" if soak.broken else "held"
    print(f"seed {options.seed}: {result}; {options.minutes:g} minutes")
    print(f"  faults: {dict(sorted(soak.faults.items()))}")
    print(f"  answers: {dict(sorted(soak.callers.seen.items()))}")
    peak = max(soak.daemons.memory_peaks.values(), default=0)
    print(f"  largest memory peak: {peak >> 20} MB")
    for line, times in Counter(soak.broken).most_common(20):
        print(f"  {line}" + (f" ({times} times)" if times > 1 else ""))
    if soak.broken:
        log_folder = Path("out") / f"soak-{options.seed}"
        log_folder.mkdir(parents=True, exist_ok=True)
        for path in folder.glob("*.log"):
            (log_folder / path.name).write_bytes(path.read_bytes())
        print(f"  logs: {log_folder}")


def main() -> None:
    """Run the seeds given by the arguments."""
    parser = argparse.ArgumentParser(description="soak the daemon on stand-ins")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--daemons", type=int, default=DAEMONS)
    parser.add_argument(
        "--only",
        action="append",
        choices=list(KINDS),
        default=[],
        help="inject faults of this kind only; can be given several times",
    )
    parser.add_argument(
        "--series", type=int, default=SERIES, help="series of faults at the same time"
    )
    given = parser.parse_args()
    held = [
        run_seed(seed, given.minutes, given.daemons, given.only, given.series)
        for seed in range(given.seed, given.seed + given.seeds)
    ]
    print(f"{sum(held)} of {len(held)} seeds held")
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
