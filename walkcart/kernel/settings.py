"""Settings from flags and environment variables, checked at the start.

A flag has precedence over its environment variable, and that over the default. All
invalid settings are reported together.

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
#: Prefix of the variables of the operators' tool, which the daemon ignores.
TOOL_PREFIX = "WALKCART_TOOL_"
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?")
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
MASK = "********"


@dataclass(frozen=True, slots=True, order=True)
class HostPort:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else self._plain()

    def _plain(self) -> str:
        return f"{self.host}:{self.port}"


class BadValue(ValueError):
    """A value is invalid; the text of the error says what was expected."""


def parse_host_port(text: str) -> HostPort:
    """Parse ``IP:port``, without resolving names.

    Raises:
        BadValue: the text isn't an IP address and a port from 0 to 65535.
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


def parse_peer_address(text: str) -> HostPort:
    """Parse the ``IP:port`` at which another process accepts connections.

    An address with a scope is meaningful only at the machine that wrote it.

    Raises:
        BadValue: the text isn't such an address.
    """
    address = parse_host_port(text)
    ip = ip_address(address.host)
    if not address.port or ip.is_unspecified or ip.is_multicast or "%" in address.host:
        raise BadValue("an IP number of one machine and a port above 0")
    return address


def parse_optional_host_port(text: str) -> HostPort | None:
    """Parse ``IP:port``, or return None for an empty text."""
    return parse_host_port(text) if text else None


def parse_name(text: str) -> str:
    """Parse a name of lower-case letters, digits, dots and hyphens."""
    if not NAME_PATTERN.fullmatch(text):
        raise BadValue("1 to 64 small letters, digits, dots and hyphens")
    return text


def parse_text(text: str) -> str:
    """Return the text unchanged: any text is valid."""
    return text


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise BadValue("yes or no")
    return text == "yes"


def parse_level(text: str) -> int:
    """Parse the name of a log level."""
    if text not in LEVELS:
        raise BadValue(f"one of {', '.join(LEVELS)}")
    return LEVELS[text]


def parse_ratio(text: str) -> float:
    """Parse a number from 0 to 1."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise BadValue("a number from 0 to 1")
    return value


def parse_seconds(low: float, high: float) -> Callable[[str], timedelta]:
    """Return a parser of a number of seconds from `low` to `high`."""

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
    """The settings of an instance, read at its start."""

    instance: str = _setting(parse_name, "instance-1", "Name of this instance.")
    data_centre: str = _setting(parse_name, "local", "Data centre of this instance.")
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
        parse_optional_host_port,
        "",
        "Address of the statsd server; empty to send nothing.",
    )
    operator_token: str = _setting(
        parse_text, "", "Credential of operators; empty to refuse them.", secret=True
    )
    log_level: int = _setting(parse_level, "info", "Lowest level that is logged.")
    span_output: str = _setting(
        parse_text, "none", "Where spans go: none, stderr or a file's path."
    )
    span_ratio: float = _setting(
        parse_ratio, "0.01", "Share of new traces that are kept."
    )
    heartbeat_interval: timedelta = _setting(
        parse_seconds(0.05, 10), "0.5", "Seconds between two rounds of heartbeats."
    )
    list_interval: timedelta = _setting(
        parse_seconds(0.05, 60), "1", "Seconds between two reads of the instance list."
    )
    stop_grace: timedelta = _setting(
        parse_seconds(0, 60),
        "2",
        "Seconds that a stop still accepts requests, until the balancer notices.",
    )
    stop_bound: timedelta = _setting(
        parse_seconds(0, 600), "30", "Maximum duration of a stop, in seconds."
    )
    fatal_invariants: bool = _setting(
        parse_flag, "no", "Whether a broken invariant ends the process; for tests."
    )


@dataclass(frozen=True, slots=True)
class InvalidSetting:
    """An invalid setting.

    Args:
        name: name of the setting, or the unknown flag or variable.
        value: the invalid value; masked if the setting is secret.
        source: where the value came from.
        expected: what was expected instead.
    """

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
    """The result of loading settings.

    Args:
        settings: the settings, with the default in place of each invalid value.
        sources: where each value came from, by the name of the setting.
        faults: all invalid settings; empty if the settings can be used.
    """

    settings: Settings
    sources: dict[str, str]
    faults: tuple[InvalidSetting, ...]


def format_flag(name: str) -> str:
    """Return the command-line flag of the setting called `name`."""
    return "--" + name.replace("_", "-")


def load_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> LoadedSettings:
    """Load the settings from flags and environment variables.

    Args:
        arguments: words of the command line, ``--flag value`` or ``--flag=value``.
        environment: the environment variables.
    """
    given, faults = _read_flags(arguments)
    values: dict[str, Any] = {}
    sources: dict[str, str] = {}
    for item in fields(Settings):
        text, source = _choose_source(
            item.name, item.metadata["default"], given, environment
        )
        sources[item.name] = source
        try:
            values[item.name] = item.metadata["parse"](text)
        except BadValue as error:
            shown = MASK if item.metadata["secret"] else text
            faults.append(InvalidSetting(item.name, shown, source, str(error)))
    faults.extend(_unknown_variables(environment))
    return LoadedSettings(Settings(**values), sources, tuple(faults))


def _choose_source(
    name: str, default: str, given: Mapping[str, str], environment: Mapping[str, str]
) -> tuple[str, str]:
    if name in given:
        return given[name], f"flag {format_flag(name)}"
    variable = ENVIRONMENT_PREFIX + name.upper()
    if variable in environment:
        return environment[variable], f"variable {variable}"
    return default, "default"


def _unknown_variables(environment: Mapping[str, str]) -> list[InvalidSetting]:
    known = {ENVIRONMENT_PREFIX + item.name.upper() for item in fields(Settings)}
    unknown = [
        name
        for name in environment
        if name.startswith(ENVIRONMENT_PREFIX)
        and not name.startswith(TOOL_PREFIX)
        and name not in known
    ]
    expected = "a setting's name"
    return [
        InvalidSetting(name, "", "the environment", expected)
        for name in sorted(unknown)
    ]


def _read_flags(
    arguments: Sequence[str],
) -> tuple[dict[str, str], list[InvalidSetting]]:
    names = {format_flag(item.name): item.name for item in fields(Settings)}
    given: dict[str, str] = {}
    faults: list[InvalidSetting] = []
    words = list(arguments)
    while words:
        flag, separator, value = words.pop(0).partition("=")
        if flag not in names:
            faults.append(InvalidSetting(flag, value, "the flags", "a known flag"))
            continue
        if not separator:
            if not words:
                faults.append(InvalidSetting(names[flag], "", "the flags", "a value"))
                continue
            value = words.pop(0)
        given[names[flag]] = value
    return given, faults


def describe_settings(loaded: LoadedSettings) -> list[tuple[str, str, str]]:
    """Return rows of the name, value and source of each setting; secrets are masked."""
    rows = []
    for item in fields(Settings):
        value = getattr(loaded.settings, item.name)
        if item.metadata["secret"] and value:
            value = MASK
        rows.append((item.name, _format_value(value), loaded.sources[item.name]))
    return rows


def _format_value(value: Any) -> str:
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
