"""The settings file that the platform lays on each machine.

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

#: The variable that holds the file's path.
FILE_VARIABLE = "WALKCART_NODE_FILE"


class BadSettings(ValueError):
    """The file can't be read, or lacks something; its text says what."""


class _Listen(msgspec.Struct):
    """Addresses that the machine must serve."""

    # Where callers come in.
    front: str
    # Where the balancer asks whether the instance wants connections.
    ready: str


class _Bounds(msgspec.Struct, rename="camel"):
    """Figures of the rules, as far as the product needs them."""

    # Repeats that a service may get, as a share of its requests in the window.
    retry_budget_ratio: float = 0.2
    # Length of that window, in seconds.
    retry_window_s: float = 10.0
    # Repeats on top of that share, of all instances together.
    budget_slack: float = 0.0
    # Requests that a cold leaf gets in one second, of all instances together: its
    # service's rate times the first, plus the second.
    warmup_tolerance: float = 1.0
    warmup_slack: float = 0.0
    # Window in which teams' rate limits hold, in seconds, and by how much they may be
    # passed in it: a share of the limit, and requests on top.
    quota_window_s: float = 5.0
    quota_tolerance: float = 0.1
    quota_slack: float = 0.0
    # From SIGTERM to SIGKILL, in seconds.
    grace_s: float = 6.0


class _Limits(msgspec.Struct, rename="camel"):
    """What the machine has."""

    # Share of a core that the process gets.
    cpu_share: float = 1.0
    # How many times as fast as usual that core is, in spite of its name.
    cores: float = 1.0


class _Store(msgspec.Struct, rename="camel"):
    """The shared store."""

    address: str
    # Calls that change something, a second, of all instances together.
    writes_per_s: float = 100.0
    reads_per_s: float = 500.0


class _File(msgspec.Struct, rename="camel"):
    """The file; fields that aren't named here are left alone."""

    node_name: str
    ip: str
    # The data centre that the machine stands in.
    zone: str
    region: str
    # First and last port that instances may use among themselves.
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Region of each data centre.
    zones: dict[str, str] = {}


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What an instance is told about its machine.

    Args:
        instance: its name.
        host: IP number of the machine.
        data_centre: where it stands.
        region: of that data centre.
        regions: region of every data centre.
        callers: address that callers reach.
        readiness: address that the balancer asks.
        peer_ports: first and last port for instances among themselves.
        store: address of the shared store.
        store_rate: calls a second that the store takes of all instances together.
        repeat_ratio: repeats that a service may get for each request.
        repeat_window: time over which that holds.
        repeat_allowance: repeats on top, of all instances together.
        grace: time from the signal to stop until the process is killed.
        cores: of the machine, in cores of the usual speed.
        cold_bound: what cold leafs may get.
        quota_bounds: by how much teams' rate limits may be passed.
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


def parse_duration_ms(milliseconds: float) -> timedelta:
    """Return the time that a number of milliseconds stands for."""
    return timedelta(milliseconds=milliseconds)


def read_settings(path: Path) -> PlatformSettings:
    """Read the settings file.

    Raises:
        BadSettings: it can't be read, or a field is missing or of another type.
    """
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        file = msgspec.convert(content, _File)
        return _translate(file)
    except (OSError, UnicodeDecodeError) as error:
        raise BadSettings(f"the settings file can't be read: {error}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, BadValue) as error:
        raise BadSettings(f"the settings file is wrong: {error}") from error


def _translate(file: _File) -> PlatformSettings:
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
    )
