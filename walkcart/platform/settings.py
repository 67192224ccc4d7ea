"""Reads the settings file that the platform puts on each machine.

Examples:
    >>> parse_duration_ms(250)
    datetime.timedelta(microseconds=250000)
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from walkcart.kernel.settings import BadValue, HostPort, parse_host_port
from walkcart.routing.coldleaves import ColdBound
from walkcart.routing.quotas import QuotaBounds
from walkcart.wire.bodies import MemoryPlan

#: Environment variable with the path of the file.
FILE_VARIABLE = "WALKCART_NODE_FILE"


class BadSettings(ValueError):
    """The settings file can't be read or is invalid; the message says why."""


class _Listen(msgspec.Struct):
    """Addresses on which the instance must listen."""

    # Address for callers.
    front: str
    # Address at which the balancer checks whether the instance accepts connections.
    ready: str


class _Bounds(msgspec.Struct, rename="camel"):
    """Limits set by the platform's rules, as far as the product needs them."""

    # Maximum number of repeats to a service, as a fraction of its requests in the
    # window.
    retry_budget_ratio: float = 0.2
    # Length of that window, in seconds.
    retry_window_s: float = 10.0
    # Repeats beyond that fraction, for all instances together.
    budget_slack: float = 0.0
    # Limit of the requests that a cold leaf gets in one second from all instances
    # together: the service's rate times the tolerance, plus the slack.
    warmup_tolerance: float = 1.0
    warmup_slack: float = 0.0
    # Window of teams' rate limits, in seconds, and by how much a limit may be exceeded
    # in it: a fraction of the limit, plus a number of requests.
    quota_window_s: float = 5.0
    quota_tolerance: float = 0.1
    quota_slack: float = 0.0
    # Time between SIGTERM and SIGKILL, in seconds.
    grace_s: float = 6.0


#: Least and greatest size of a machine's memory that is taken for one, in MiB.
MIN_MEMORY_MB, MAX_MEMORY_MB = 64, 2**20
#: Greatest number of file descriptors that is taken for one.
MAX_DESCRIPTORS = 2**20


class _Limits(msgspec.Struct, rename="camel"):
    """Resources of the machine."""

    # Fraction of a core that the process gets.
    cpu_share: float = 1.0
    # Speed of that core relative to the usual one; despite its name, not a count.
    cores: float = 1.0
    # Memory of the process, in MiB; 0 if it isn't stated.
    memory_mb: float = 0.0
    # File descriptors of the process; 0 if it isn't stated.
    max_fds: float = 0.0


class _Store(msgspec.Struct, rename="camel"):
    """The shared store."""

    address: str
    # Writing calls per second, for all instances together.
    writes_per_s: float = 100.0
    reads_per_s: float = 500.0


class _File(msgspec.Struct, rename="camel"):
    """The settings file; fields that aren't declared here are ignored."""

    node_name: str
    ip: str
    # Data centre of the machine.
    zone: str
    region: str
    # First and last port for connections between instances.
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Region of each data centre.
    zones: dict[str, str] = {}


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of an instance and its machine.

    Args:
        instance: name of the instance.
        host: IP address of the machine.
        data_centre: data centre of the machine.
        region: region of that data centre.
        regions: region of each data centre.
        callers: address for callers.
        readiness: address of the balancer's readiness check.
        peer_ports: first and last port for connections between instances.
        store: address of the shared store.
        store_rate: calls per second that the store accepts from all instances
            together.
        repeat_ratio: maximum number of repeats to a service, per request.
        repeat_window: window over which requests and repeats are counted.
        repeat_allowance: repeats beyond the ratio, for all instances together.
        grace: time from the stop signal until the process is killed.
        cores: CPU capacity, in cores of the usual speed.
        memory: how much of the memory bodies may take.
        descriptors: number of file descriptors; 0 if it isn't stated.
        cold_bound: limits on the requests to cold leaves.
        quota_bounds: by how much teams' rate limits may be exceeded.
    """

    instance: str
    host: str
    data_centre: str
    region: str
    regions: dict[str, str]
    callers: HostPort
    readiness: HostPort
    peer_ports: tuple[int, int]
    store: HostPort
    store_rate: float
    repeat_ratio: float
    repeat_window: timedelta
    repeat_allowance: float
    grace: timedelta
    cores: float = 1.0
    cold_bound: ColdBound = ColdBound()
    quota_bounds: QuotaBounds = QuotaBounds()
    memory: MemoryPlan = MemoryPlan()
    descriptors: int = 0


def parse_duration_ms(milliseconds: float) -> timedelta:
    """Convert milliseconds to a timedelta."""
    return timedelta(milliseconds=milliseconds)


def read_settings(path: Path) -> PlatformSettings:
    """Read the settings file.

    Raises:
        BadSettings: the file can't be read, or a field is missing or of a wrong type.
    """
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        file = msgspec.convert(content, _File)
        return _make_settings(file)
    except (OSError, UnicodeDecodeError) as error:
        raise BadSettings(f"the settings file can't be read: {error}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, BadValue) as error:
        raise BadSettings(f"the settings file is wrong: {error}") from error


def _make_settings(file: _File) -> PlatformSettings:
    return PlatformSettings(
        instance=file.node_name,
        host=file.ip,
        data_centre=file.zone,
        region=file.region,
        regions=file.zones,
        callers=parse_host_port(file.listen.front),
        readiness=parse_host_port(file.listen.ready),
        peer_ports=file.port_range,
        store=parse_host_port(file.platform.address),
        store_rate=min(file.platform.writes_per_s, file.platform.reads_per_s),
        repeat_ratio=file.bounds.retry_budget_ratio,
        repeat_window=timedelta(seconds=file.bounds.retry_window_s),
        repeat_allowance=file.bounds.budget_slack,
        grace=timedelta(seconds=file.bounds.grace_s),
        cores=file.limits.cpu_share * file.limits.cores,
        cold_bound=ColdBound(file.bounds.warmup_tolerance, file.bounds.warmup_slack),
        quota_bounds=QuotaBounds(
            file.bounds.quota_window_s,
            file.bounds.quota_tolerance,
            file.bounds.quota_slack,
        ),
        memory=_plan_memory(file.limits.memory_mb),
        descriptors=int(min(max(0.0, file.limits.max_fds), MAX_DESCRIPTORS)),
    )


def _plan_memory(megabytes: float) -> MemoryPlan:
    """Return the plan for a machine; a size that isn't sensible isn't used."""
    if MIN_MEMORY_MB <= megabytes <= MAX_MEMORY_MB:
        return MemoryPlan(int(megabytes * 2**20))
    return MemoryPlan()
