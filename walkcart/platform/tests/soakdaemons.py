"""The daemons of a soak test: processes whose ends, answers and memory are watched."""

from __future__ import annotations

import resource
import signal
import subprocess
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from re import search

import trio

from walkcart.platform.tests.processmachine import Machine, make_address
from walkcart.platform.tests.processworld import (
    POLL_INTERVAL,
    RESTART_DELAY,
    ProcessWorld,
)
from walkcart.wire.http import HttpRequest

#: Maximum time for a daemon to exit after a signal, in seconds.
STOP_SECONDS = 12.0
#: Maximum time until all daemons are ready, in seconds.
START_SECONDS = 20.0
#: A daemon that gives no reply for so many seconds, and isn't disturbed, hangs.
HANG_SECONDS = 8.0
#: Seconds between two checks of a daemon's replies and memory.
CHECK_INTERVAL = 1.0
#: Maximum resident memory of a daemon, in bytes: the limit of the platform's machines.
MAX_MEMORY = 300 << 20
#: Added to the ports of a daemon that shares the address of another one.
SHARED_PORT_OFFSET = 100
#: Limits of the processes of some daemons, by the number of the daemon.
LIMITS = {
    1: {resource.RLIMIT_NOFILE: 200},
    2: {resource.RLIMIT_AS: 1 << 30},
}


class Daemons:
    """The daemon processes under test.

    Each has a loopback address of its own, but for the last two, which share one.

    Args:
        nursery: runs the checks.
        folder: folder for settings files and logs.
    """

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        self._world = ProcessWorld(nursery, folder)
        self.running: dict[str, subprocess.Popen] = {}
        self.broken: list[str] = []
        #: Maximum resident memory of each daemon so far, in bytes.
        self.memory_peaks: Counter[str] = Counter()
        self._log_starts: dict[str, int] = {}
        self._disturbances: Counter[str] = Counter()
        #: Settings of daemons before any fault replaced them.
        self._usual_settings: dict[str, str] = {}
        #: When a daemon replied last, was started or was disturbed.
        self._sound_since: dict[str, float] = {}

    @property
    def machines(self) -> dict[str, Machine]:
        """The machines of the daemons, by name."""
        return self._world.machines

    def add(self, names: list[str], data_centres: tuple[str, ...]) -> None:
        """Add daemons that are not started yet."""
        for number, name in enumerate(names):
            shares = number > 1 and number == len(names) - 1
            ip = self.machines[names[number - 1]].ip if shares else make_address()
            place = data_centres[number % len(data_centres)]
            machine = self._world.add_machine(name, place, ip)
            machine.port_offset = SHARED_PORT_OFFSET if shares else 0
            machine.limits = dict(LIMITS.get(number, {}))

    def start(self, name: str) -> None:
        """Write the settings file of a daemon and start the daemon."""
        machine = self.machines[name]
        self._log_starts[name] = len(machine.read_log())
        self._world.start_once(machine)
        assert machine.process is not None
        self.running[name] = machine.process
        self._sound_since[name] = trio.current_time() + START_SECONDS

    def has_started(self, name: str) -> bool:
        """Return whether a daemon has begun to serve requests since its last start."""
        return self.has_event_since(name, self._log_starts[name], ["started"])

    def has_begun(self, name: str) -> bool:
        """Return whether a daemon has set its signal handlers since its last start."""
        return self.has_event_since(name, self._log_starts[name], ["process_started"])

    async def wait_begun(self, name: str) -> None:
        """Wait until a daemon has loaded its modules since its last start.

        That takes seconds on a busy machine, and never ends if the process does.
        """
        with trio.move_on_after(START_SECONDS):
            while not self.has_begun(name):
                await trio.sleep(POLL_INTERVAL)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon if it runs."""
        if name in self.running:
            self.running[name].send_signal(number)

    async def end(self, name: str, number: int) -> int:
        """Send a signal and wait for the exit; return the exit code."""
        process = self.running.pop(name)
        if (code := process.poll()) is not None:
            self._record_own_end(name, code)
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

    def kill(self, name: str) -> None:
        """Kill a daemon if it runs, without a turn for others."""
        if (process := self.running.pop(name, None)) is not None:
            process.kill()
            process.wait()

    def kill_all(self) -> None:
        """Kill all daemons that this soak started."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
        self._world.close()
        self.running.clear()

    @contextmanager
    def replace_settings(
        self, name: str, change: Callable[[str], str]
    ) -> Iterator[None]:
        """While the context is open, a daemon that starts has changed settings.

        Faults may overlap, so what comes back is never what another one has changed.
        """
        machine = self.machines[name]
        usual = self._usual_settings.setdefault(name, machine.settings)
        machine.settings = change(usual)
        try:
            yield
        finally:
            machine.settings = usual
            machine.settings_path.write_text(usual, encoding="utf-8")

    def restore_limits(self, name: str) -> None:
        """Let a daemon start with its usual limits from now on."""
        number = list(self.machines).index(name)
        self.machines[name].limits = dict(LIMITS.get(number, {}))

    def restore_descriptors(self, name: str, process: subprocess.Popen) -> None:
        """Give a process of a daemon, if it runs, its usual limit of descriptors."""
        own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        number = list(self.machines).index(name)
        usual = LIMITS.get(number, {}).get(resource.RLIMIT_NOFILE, own)
        with suppress(ProcessLookupError):
            hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]
            soft = usual if hard == resource.RLIM_INFINITY else min(usual, hard)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (soft, hard))

    @contextmanager
    def disturb(self, *names: str) -> Iterator[None]:
        """While the context is open, daemons need not reply."""
        self._disturbances.update(names)
        try:
            yield
        finally:
            self._disturbances.subtract(names)
            for name in names:
                self._extend(name, trio.current_time())

    def _extend(self, name: str, time: float) -> None:
        self._sound_since[name] = max(self._sound_since.get(name, time), time)

    async def keep(self) -> None:
        """Start daemons again that end by themselves, as the platform does."""
        while True:
            await trio.sleep(POLL_INTERVAL)
            for name, process in list(self.running.items()):
                code = process.poll()
                if code is not None and self.running.get(name) is process:
                    del self.running[name]
                    self._record_own_end(name, code)
                    await trio.sleep(RESTART_DELAY)
                    if name not in self.running:
                        self.start(name)

    def _record_own_end(self, name: str, code: int) -> None:
        lines = self.machines[name].read_log().strip().splitlines()
        last = lines[-1][:200] if lines else "no output"
        self.broken.append(f"{name} ended by itself with {code}: {last}")

    async def watch(self, name: str) -> None:
        """Check regularly that a daemon replies, and how much memory it takes."""
        request = HttpRequest("GET", "/api/ready")
        while True:
            await trio.sleep(CHECK_INTERVAL)
            self._record_memory(name)
            address = self.machines[name].readiness
            reply = await self._world.exchange(address, request, 1.0)
            excused = name not in self.running or self._disturbances[name] > 0
            if reply is not None or excused:
                self._extend(name, trio.current_time())
            elif trio.current_time() > self._sound_since[name] + HANG_SECONDS:
                self._extend(name, trio.current_time())
                self.broken.append(f"{name} gave no reply for {HANG_SECONDS} s")

    def _record_memory(self, name: str) -> None:
        if (process := self.running.get(name)) is None:
            return
        peak = _read_memory_peak(process.pid)
        if peak > MAX_MEMORY >= self.memory_peaks[name]:
            self.broken.append(f"{name} took {peak >> 20} MB")
        self.memory_peaks[name] = max(self.memory_peaks[name], peak)

    async def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        return await self._world.is_ready(self.machines[name])

    def has_event(self, events: Iterable[str], detail: str = "") -> bool:
        """Return whether the log of any daemon has one of these events.

        Args:
            events: names of events.
            detail: text that the line has, too.
        """
        return any(
            _has_event(machine.read_log(), events, detail)
            for machine in self.machines.values()
        )

    def measure_log(self, name: str) -> int:
        """Return the length of the log of a daemon."""
        return len(self.machines[name].read_log())

    def has_event_since(self, name: str, start: int, events: Iterable[str]) -> bool:
        """Return whether the log of a daemon has one of these events after a place."""
        return _has_event(self.machines[name].read_log()[start:], events, "")


def _has_event(log: str, events: Iterable[str], detail: str) -> bool:
    texts = [f'"event": "{event}"' for event in events]
    return any(
        detail in line and any(text in line for text in texts)
        for line in log.splitlines()
    )


def _read_memory_peak(pid: int) -> int:
    """Return the peak of a process's resident memory in bytes; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except (FileNotFoundError, ProcessLookupError):
        return 0
    found = search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) * 1024 if found else 0
