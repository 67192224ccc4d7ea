"""Machines of instances that run as real processes, and their settings files."""

from __future__ import annotations

import ctypes
import os
import resource
import signal
import subprocess
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import REGIONS

#: Ports that an instance listens on, the same on all machines.
CALLERS_PORT = 7000
READINESS_PORT = 7001
PEER_PORTS = (7010, 7025)
METRICS_PORT = 9109
#: Option of prctl(2): the signal that a process gets when its parent ends.
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
_machine_numbers = count(1)


@dataclass(slots=True)
class Machine:
    """A machine and the process of its instance.

    Args:
        name: name of the instance.
        ip: loopback address of the machine.
        data_centre: its data centre.
        log_path: file that its processes write to.
        settings: text of the settings file.
        environment: environment variables beside those of the deploy file; None
            removes one.
        limits: limits of the process by the number of the resource.
        process: the process that was started last.
        ends: exit codes of the processes that ended by themselves.
        starts: number of processes that were started.
    """

    name: str
    ip: str
    data_centre: str
    log_path: Path
    settings: str
    environment: dict[str, str | None] = field(default_factory=dict)
    limits: dict[int, int] = field(default_factory=dict)
    process: subprocess.Popen | None = None
    ends: list[int] = field(default_factory=list)
    starts: int = 0
    #: Whether the process is to be started again after it has ended.
    kept: bool = True
    #: Added to its ports, but for that of the metrics page. Instances that share an
    #: address differ in it.
    port_offset: int = 0

    @property
    def callers(self) -> HostPort:
        """The address for callers."""
        return HostPort(self.ip, CALLERS_PORT + self.port_offset)

    @property
    def readiness(self) -> HostPort:
        """The address of the balancer's readiness check."""
        return HostPort(self.ip, READINESS_PORT + self.port_offset)

    @property
    def peers(self) -> list[HostPort]:
        """The addresses of which the instance takes one for its peers."""
        first, last = (port + self.port_offset for port in PEER_PORTS)
        return [HostPort(self.ip, port) for port in range(first, last + 1)]

    @property
    def settings_path(self) -> Path:
        """The path of the settings file."""
        return self.log_path.with_suffix(".toml")

    def read_log(self) -> str:
        """Return what its processes wrote."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def find_memory_peak(self) -> int:
        """Return the peak of the process's resident memory, in bytes."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024


def make_settings_file(
    name: str,
    ip: str,
    data_centre: str,
    store: HostPort,
    port_offset: int = 0,
    **bounds: object,
) -> str:
    """Return the text of a settings file as the platform fills it.

    Args:
        name: name of the instance.
        ip: address of its machine.
        data_centre: its data centre.
        store: address of the store.
        port_offset: added to all ports.
        bounds: values of the table ``bounds`` that differ from the usual ones.
    """
    zones = "\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items())
    usual = {
        "drainMs": 3000,
        "graceS": 6,
        "retryBudgetRatio": 0.2,
        "retryWindowS": 10,
        "budgetSlack": 54,
        **bounds,
    }
    lines = "\n".join(f"{key} = {value}" for key, value in usual.items())
    callers, readiness, first_peer, last_peer = (
        port + port_offset for port in (CALLERS_PORT, READINESS_PORT, *PEER_PORTS)
    )
    return (
        f'nodeName = "{name}"\nrole = "entry"\nip = "{ip}"\nzone = "{data_centre}"\n'
        f'region = "{REGIONS[data_centre]}"\n'
        f"portRange = [{first_peer}, {last_peer}]\nbootstrap = true\n"
        f"[zones]\n{zones}\n"
        f'[listen]\nfront = "{ip}:{callers}"\nready = "{ip}:{readiness}"\n'
        "[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\nmaxFds = 4100\n"
        f"[bounds]\n{lines}\n"
        f'[platform]\naddress = "{store}"\nwritesPerS = 400\nreadsPerS = 2000\n'
    )


def make_address() -> str:
    """Return a loopback address that no other machine of any test process has."""
    process = os.getpid()
    number = next(_machine_numbers)
    return f"127.{64 + process // 250 % 128}.{process % 250}.{number % 250 + 1}"


def make_preparation(limits: Mapping[int, int]) -> Callable[[], None]:
    """Return what a new process does before it runs the program."""

    def prepare() -> None:
        _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
        for number, bound in limits.items():
            resource.setrlimit(number, (bound, bound))

    return prepare
