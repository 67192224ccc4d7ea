"""Stand-ins and daemons as real processes on free ports of this machine.

Used by the tests of whole processes, the demo, the soak run over processes and the
measurement of slopes. The programs themselves start no processes.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from walkcart.kernel.settings import ENVIRONMENT_PREFIX

OPERATOR_TOKEN = "operators"
HOST = "127.0.0.1"
#: Maximum number of polls, and of runs of ports that are tried.
MAX_TRIES = 600
#: Seconds between two polls.
POLL_INTERVAL = 0.1
#: Ticks per second, the unit of processor time in ``/proc``.
CLOCK_TICK = os.sysconf("SC_CLK_TCK")
#: Bytes per page, the unit of memory in ``/proc``.
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


class _Ports:
    """Allocates runs of consecutive ports, each port once in this process.

    The ports are below the range that the system uses for outgoing connections.
    Such a connection could take a port between its allocation and its use.
    """

    FIRST, LAST = 10_000, 32_000

    def __init__(self) -> None:
        # Processes that run at the same time begin at different ports.
        self._next = self.FIRST + os.getpid() * 97 % (self.LAST - self.FIRST)

    def allocate(self, count: int) -> list[int]:
        """Return a run of `count` free ports; raise `OSError` if none is found."""
        for _ in range(MAX_TRIES):
            if self._next + count > self.LAST:
                self._next = self.FIRST
            ports = list(range(self._next, self._next + count))
            self._next += count
            if all(is_free(port) for port in ports):
                return ports
        raise OSError(f"found no run of {count} consecutive free ports")


_PORTS = _Ports()


def allocate_ports(count: int) -> list[int]:
    """Return `count` consecutive free ports.

    Raises:
        OSError: no such run was found.
    """
    return _PORTS.allocate(count)


def is_free(port: int) -> bool:
    """Return whether nothing is bound to `port`."""
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until `condition` returns true.

    Raises:
        TimeoutError: it was still false after `MAX_TRIES` polls, a minute or more.
    """
    for _ in range(MAX_TRIES):
        if condition():
            return
        time.sleep(POLL_INTERVAL)
    raise TimeoutError(
        f"the condition held in none of {MAX_TRIES} polls, {POLL_INTERVAL} s apart"
    )


def fetch(
    address: str,
    path: str,
    data: bytes | None = None,
    headers: dict[str, str] | None = None,
    method: str | None = None,
) -> tuple[int, bytes]:
    """Send one HTTP request; return status and body, or status 0 without a reply."""
    url = f"http://{address}{path}"
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=30) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def is_ready(address: str) -> bool:
    """Return whether an instance reports that it is ready."""
    return fetch(address, "/readyz")[0] == 200


class Processes:
    """Starts, signals and stops processes by name.

    Args:
        log_folder: the folder for the logs with their output.
    """

    def __init__(self, log_folder: Path) -> None:
        self.log_folder = log_folder
        self.running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module arguments`` as the process `name`."""
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(ENVIRONMENT_PREFIX)
        }
        with (self.log_folder / f"{name}.log").open("wb") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def wait(self, name: str) -> int:
        """Wait for the end of a process; return its exit code."""
        return self.running.pop(name).wait()

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.log_folder / f"{name}.log").read_text()

    def stop_all(self) -> None:
        """Kill all processes."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()

    def cpu_seconds(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        stat = Path(f"/proc/{self.running[name].pid}/stat").read_text()
        parts = stat.rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / CLOCK_TICK

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of a process, in MB."""
        statm = Path(f"/proc/{self.running[name].pid}/statm").read_text()
        return int(statm.split()[1]) * PAGE_SIZE / 1e6


@dataclass(slots=True)
class Fleet:
    """A deployment of stand-ins and daemons as processes.

    Args:
        processes: starts and stops the processes.
        folder: the folder for configuration files.
        store: the address of the store.
        listing: the address of the instance list.
        entries: the addresses for callers by name of the daemon.
        leaves: the addresses of all leaves.
    """

    processes: Processes
    folder: Path
    store: str = ""
    listing: str = ""
    entries: dict[str, str] = field(default_factory=dict)
    leaves: list[str] = field(default_factory=list)
    _started: dict[str, tuple[int, int, tuple[str, ...]]] = field(default_factory=dict)

    def start(
        self,
        daemons: int,
        leaves: Iterable[str] = (),
        settings: Iterable[str] = (),
        listed: Iterable[str] = (),
    ) -> None:
        """Start the store, the instance list, the leaves and the daemons.

        Args:
            daemons: number of daemons.
            leaves: groups as ``GROUP:SHARDS:REPLICAS``, one process for each group.
            settings: further flags for all daemons.
            listed: groups that already run, as ``GROUP:SHARDS:REPLICAS:IP:PORT``.
        """
        ports = allocate_ports(2 + 2 * daemons)
        self.store, self.listing = (f"{HOST}:{port}" for port in ports[:2])
        module = "walkcart.standins.main"
        self.processes.start("store", module, "store", "--listen", self.store)
        arguments = ["list", "--listen", self.listing]
        for spec in leaves:
            arguments += ["--leaves", self._start_leaves(spec)]
        for spec in listed:
            arguments += ["--leaves", spec]
        pairs = list(zip(ports[2::2], ports[3::2], strict=True))
        for number, (entry, peer) in enumerate(pairs):
            arguments += ["--instance", f"daemon-{number},{HOST}:{entry},{HOST}:{peer}"]
        self.processes.start("list", module, *arguments)
        for number, (entry, peer) in enumerate(pairs):
            self.start_daemon(f"daemon-{number}", entry, peer, *settings)

    def _start_leaves(self, spec: str) -> str:
        group, shards, replicas = spec.split(":")
        ports = allocate_ports(int(shards) * int(replicas))
        full = f"{spec}:{HOST}:{ports[0]}"
        self.leaves += [f"{HOST}:{port}" for port in ports]
        self.processes.start(
            f"leaves-{group}", "walkcart.standins.main", "leaves", full
        )
        return full

    def start_daemon(self, name: str, entry: int, peer: int, *settings: str) -> None:
        """Start one daemon."""
        self._started[name] = (entry, peer, settings)
        self.entries[name] = f"{HOST}:{entry}"
        self.processes.start(
            name,
            "walkcart.daemon.main",
            *("--instance", name, "--listen", f"{HOST}:{entry}"),
            *("--peer-listen", f"{HOST}:{peer}", "--store", self.store),
            *("--instance-list", self.listing, "--operator-token", OPERATOR_TOKEN),
            *settings,
        )

    def restart_daemon(self, name: str) -> None:
        """Restart a daemon that has ended, with the same ports and flags."""
        entry, peer, settings = self._started[name]
        self.start_daemon(name, entry, peer, *settings)

    def wait_healthy(self) -> None:
        """Wait until all daemons reply to health checks."""
        for entry in self.entries.values():
            wait_until(lambda entry=entry: fetch(entry, "/healthz")[0] == 200)

    def wait_ready(self) -> None:
        """Wait until all daemons are ready."""
        for entry in self.entries.values():
            wait_until(lambda entry=entry: is_ready(entry))

    def apply(self, text: str, *arguments: str) -> subprocess.CompletedProcess:
        """Apply a configuration with the operators' tool."""
        path = self.folder / "configuration.toml"
        path.write_text(text)
        return self.run_tool("apply", str(path), *arguments)

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' tool."""
        return subprocess.run(
            [
                *(sys.executable, "-m", "walkcart.cli.main", *arguments),
                *("--store", self.store, "--token", OPERATOR_TOKEN),
                *("--instance", next(iter(self.entries.values()))),
            ],
            capture_output=True,
            text=True,
        )

    def status(self, name: str) -> dict[str, Any]:
        """Return the status that a daemon reports to operators."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        _, body = fetch(self.entries[name], "/v1/status", headers=headers)
        return msgspec.json.decode(body)
