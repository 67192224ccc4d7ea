"""Settings: flags and environment variables, checked at the start.

A flag goes before its environment variable, and that before the default. All
faults are found in one go.

Examples:
    >>> load_settings([], {"WALKCART_DATA_CENTRE": "hobart-a"}).settings.data_centre
    'hobart-a'
    >>> load_settings(["--listen", "nowhere"], {}).faults[0].name
    'listen'
"""

from __future__ import annotations

import logging
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, fields
from datetime import timedelta
from ipaddress import ip_address
from typing import Any

from walkcart.kernel.numbers import read_number

ENVIRONMENT_PREFIX = "WALKCART_"
#: Variables of the operators' tool, which the daemon leaves alone.
TOOL_PREFIX = "WALKCART_TOOL_"
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?")
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
MASK = "********"


@dataclass(frozen=True, slots=True, order=True)
class HostPort:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else self._plain()

    def _plain(self) -> str:
        return f"{self.host}:{self.port}"


class BadValue(ValueError):
    """A value that can't be taken; its text says what was expected."""


def parse_host_port(text: str) -> HostPort:
    """Read ``IP:port``; no names are resolved.

    Raises:
        BadValue: not an IP number and a port from 0 to 65535.
    """
    expected = "an IP number and a port, as in 127.0.0.1:7000"
    host, separator, port = text.rpartition(":")
    number = read_number(port)
    if not separator or number is None or number > 65535:
        raise BadValue(expected)
    try:
        return HostPort(str(ip_address(host.strip("[]"))), number)
    except ValueError:
        raise BadValue(expected) from None


def parse_optional_host_port(text: str) -> HostPort | None:
    """Read ``IP:port``, or an empty text as None."""
    return parse_host_port(text) if text else None


def parse_name(text: str) -> str:
    """Read a name of small letters, digits, dots and hyphens."""
    if not NAME_PATTERN.fullmatch(text):
        raise BadValue("1 to 64 small letters, digits, dots and hyphens")
    return text


def parse_text(text: str) -> str:
    """Read any text."""
    return text


def parse_flag(text: str) -> bool:
    """Read ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise BadValue("yes or no")
    return text == "yes"


def parse_level(text: str) -> int:
    """Read the name of a log level."""
    if text not in LEVELS:
        raise BadValue(f"one of {', '.join(LEVELS)}")
    return LEVELS[text]


def parse_ratio(text: str) -> float:
    """Read a number from 0 to 1."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise BadValue("a number from 0 to 1")
    return value


def parse_seconds(low: float, high: float) -> Callable[[str], timedelta]:
    """Return a reader of a number of seconds between two bounds."""

    def parse(text: str) -> timedelta:
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not low <= value <= high:
            raise BadValue(f"seconds, from {low:g} to {high:g}")
        return timedelta(seconds=value)

    return parse


def _setting(parse: Callable[[str], Any], default: str, help: str, secret=False) -> Any:
    details = {"parse": parse, "default": default, "help": help, "secret": secret}
    return field(default_factory=lambda: parse(default), metadata=details)


@dataclass(frozen=True)
class Settings:
    """What an instance is told at its start."""

    instance: str = _setting(parse_name, "instance-1", "Name of this instance.")
    data_centre: str = _setting(parse_name, "local", "Data centre it stands in.")
    region: str = _setting(parse_name, "local", "Region of that data centre.")
    listen: HostPort = _setting(
        parse_host_port, "127.0.0.1:7000", "Address for callers and operators."
    )
    peer_listen: HostPort = _setting(
        parse_host_port, "127.0.0.1:7001", "Address for other instances."
    )
    store: HostPort = _setting(
        parse_host_port, "127.0.0.1:7100", "The platform's key-value service."
    )
    instance_list: HostPort = _setting(
        parse_host_port, "127.0.0.1:7101", "The platform's list of instances."
    )
    statsd: HostPort | None = _setting(
        parse_optional_host_port, "", "statsd server; empty sends nothing."
    )
    operator_token: str = _setting(
        parse_text, "", "Credential of operators; empty refuses them.", secret=True
    )
    log_level: int = _setting(parse_level, "info", "Lowest level that is logged.")
    span_output: str = _setting(
        parse_text, "none", "Where spans go: none, stderr or a file's path."
    )
    span_ratio: float = _setting(
        parse_ratio, "0.01", "Share of new traces that are kept."
    )
    heartbeat_interval: timedelta = _setting(
        parse_seconds(0.05, 10), "0.5", "Between two rounds of heartbeats."
    )
    list_interval: timedelta = _setting(
        parse_seconds(0.05, 60), "1", "Between two reads of the instance list."
    )
    stop_grace: timedelta = _setting(
        parse_seconds(0, 60), "2", "A stop takes new work this long for the balancer."
    )
    stop_bound: timedelta = _setting(
        parse_seconds(0, 600), "30", "A stop ends after this at the latest."
    )
    fatal_invariants: bool = _setting(
        parse_flag, "no", "A broken promise ends the process; for tests."
    )


@dataclass(frozen=True, slots=True)
class Fault:
    """A value that can't be taken."""

    name: str
    value: str
    source: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.name}: {self.value!r} from {self.source}: expected {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The outcome of reading settings.

    Args:
        settings: what is in force; defaults stand where there are faults.
        sources: by name, where each value came from.
        faults: all bad values; empty when the settings can be used.
    """

    settings: Settings
    sources: dict[str, str]
    faults: tuple[Fault, ...]


def format_flag(name: str) -> str:
    """Return the flag of the setting called `name`."""
    return "--" + name.replace("_", "-")


def load_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> LoadedSettings:
    """Read settings from flags and environment variables.

    Args:
        arguments: ``--flag value`` or ``--flag=value`` words.
        environment: the environment's variables.
    """
    given, faults = _read_flags(arguments)
    values: dict[str, Any] = {}
    sources: dict[str, str] = {}
    for item in fields(Settings):
        text, source = _pick(item.name, item.metadata["default"], given, environment)
        sources[item.name] = source
        try:
            values[item.name] = item.metadata["parse"](text)
        except BadValue as error:
            shown = MASK if item.metadata["secret"] else text
            faults.append(Fault(item.name, shown, source, str(error)))
    faults.extend(_unknown_variables(environment))
    return LoadedSettings(Settings(**values), sources, tuple(faults))


def _pick(
    name: str, default: str, given: Mapping[str, str], environment: Mapping[str, str]
) -> tuple[str, str]:
    if name in given:
        return given[name], f"flag {format_flag(name)}"
    variable = ENVIRONMENT_PREFIX + name.upper()
    if variable in environment:
        return environment[variable], f"variable {variable}"
    return default, "default"


def _unknown_variables(environment: Mapping[str, str]) -> list[Fault]:
    known = {ENVIRONMENT_PREFIX + item.name.upper() for item in fields(Settings)}
    strange = [
        name
        for name in environment
        if name.startswith(ENVIRONMENT_PREFIX)
        and not name.startswith(TOOL_PREFIX)
        and name not in known
    ]
    expected = "a setting's name"
    return [Fault(name, "", "the environment", expected) for name in sorted(strange)]


def _read_flags(arguments: Sequence[str]) -> tuple[dict[str, str], list[Fault]]:
    names = {format_flag(item.name): item.name for item in fields(Settings)}
    given: dict[str, str] = {}
    faults: list[Fault] = []
    words = list(arguments)
    while words:
        flag, separator, value = words.pop(0).partition("=")
        if flag not in names:
            faults.append(Fault(flag, value, "the flags", "a known flag"))
            continue
        if not separator:
            if not words:
                faults.append(Fault(names[flag], "", "the flags", "a value"))
                continue
            value = words.pop(0)
        given[names[flag]] = value
    return given, faults


def describe_settings(loaded: LoadedSettings) -> list[tuple[str, str, str]]:
    """Return rows of name, value in force and source, with secrets masked."""
    rows = []
    for item in fields(Settings):
        value = getattr(loaded.settings, item.name)
        if item.metadata["secret"] and value:
            value = MASK
        rows.append((item.name, _show(value), loaded.sources[item.name]))
    return rows


def _show(value: Any) -> str:
    match value:
        case timedelta():
            return f"{value.total_seconds():g} s"
        case bool():
            return "yes" if value else "no"
        case int():
            return logging.getLevelName(value).lower()
        case None:
            return ""
        case _:
            return str(value)
