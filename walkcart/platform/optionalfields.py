"""Optional fields of the settings file, whose defaults replace invalid values.

See Also:
    `walkcart.platform.settings.read_settings`, which reads the whole file.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from walkcart.kernel.durations import MAX_DURATION, seconds_to_duration
from walkcart.kernel.settings import InvalidSetting

#: Maximum length of an invalid value in a log line, in characters.
SHOWN_LENGTH = 100
_MAX_SECONDS = MAX_DURATION.total_seconds()
_MAX_NUMBER = 1e9
BYTES_PER_MIB = 2**20
#: Greatest number of file descriptors that is taken for one.
MAX_DESCRIPTORS = 2**20
#: Smallest number that other numbers are divided by.
_MIN_DIVISOR = 0.001


@dataclass(frozen=True, slots=True)
class OptionalNumber:
    """A field that has a default, which also replaces an invalid value."""

    field: str
    default: float
    low: float = 0.0
    high: float = _MAX_NUMBER


#: Repeats to a service, as a fraction of its requests in a window of some seconds, and
#: the repeats beyond it, for all instances together.
RETRY_RATIO = OptionalNumber("bounds.retryBudgetRatio", 0.2)
RETRY_WINDOW = OptionalNumber("bounds.retryWindowS", 10.0, 0.1, _MAX_SECONDS)
RETRY_SLACK = OptionalNumber("bounds.budgetSlack", 0.0)
#: Limit of the requests that a cold leaf gets in one second from all instances
#: together: the service's rate times the tolerance, plus the slack.
WARMUP_TOLERANCE = OptionalNumber("bounds.warmupTolerance", 1.0)
WARMUP_SLACK = OptionalNumber("bounds.warmupSlack", 0.0)
#: Window of teams' rate limits, in seconds, and by how much a limit may be exceeded in
#: it: a fraction of the limit, plus a number of requests.
QUOTA_WINDOW = OptionalNumber("bounds.quotaWindowS", 5.0, 0.1, _MAX_SECONDS)
QUOTA_TOLERANCE = OptionalNumber("bounds.quotaTolerance", 0.1)
QUOTA_SLACK = OptionalNumber("bounds.quotaSlack", 0.0)
#: Seconds between SIGTERM and SIGKILL.
GRACE = OptionalNumber("bounds.graceS", 6.0, 0.0, _MAX_SECONDS)
#: Fraction of a core that the process gets, and the speed of that core relative to the
#: usual one; despite its name, not a count.
CPU_SHARE = OptionalNumber("limits.cpuShare", 1.0, _MIN_DIVISOR)
CORES = OptionalNumber("limits.cores", 1.0, _MIN_DIVISOR)
#: Memory of the process, in MiB.
MEMORY = OptionalNumber("limits.memoryMb", 300.0, 1.0, 2.0**20)
#: File descriptors of the process; 0 if their number isn't stated.
DESCRIPTORS = OptionalNumber("limits.maxFds", 0.0, 0.0, MAX_DESCRIPTORS)
#: Calls to the store per second, for all instances together.
WRITE_RATE = OptionalNumber("platform.writesPerS", 100.0, _MIN_DIVISOR)
READ_RATE = OptionalNumber("platform.readsPerS", 500.0, _MIN_DIVISOR)
#: Milliseconds between two liveness reports of a leaf.
REPORT_INTERVAL = OptionalNumber("heartbeatMs", 1200.0, 1.0, _MAX_SECONDS)


def find_field(content: dict[str, Any], name: str) -> Any:
    """Return the value of a field; None if it or its table is missing."""
    table, separator, field = name.rpartition(".")
    if not separator:
        return content.get(name)
    values = content.get(table)
    return values.get(field) if isinstance(values, dict) else None


def describe_value(value: object) -> str:
    """Return the start of a value's representation, for log lines.

    Python doesn't represent a number with too many digits, which a file can state in
    hexadecimal, or tables that nest deeply, as they do with a key of many parts.

    Examples:
        >>> describe_value([1]), describe_value(1 << 20000)
        ('[1]', 'a value of type int')
    """
    try:
        return repr(value)[:SHOWN_LENGTH]
    except (ValueError, RecursionError):
        return f"a value of type {type(value).__name__}"


class OptionalFields:
    """Reads optional fields, and collects those with an invalid value.

    Args:
        content: the content of the settings file.
    """

    def __init__(self, content: dict[str, Any]) -> None:
        self._content = content
        self.invalid: list[InvalidSetting] = []
        for table in ("bounds", "limits", "zones"):
            if not isinstance(content.get(table, {}), dict):
                self._report(table, content[table], "a table")

    def read_number(self, number: OptionalNumber) -> float:
        """Return a number, or its default."""
        value = find_field(self._content, number.field)
        if value is None:
            return number.default
        # The comparison also fails for nan. A bool is an int, but not a number here.
        if type(value) in (int, float) and number.low <= value <= number.high:
            return float(value)
        expected = f"a number from {number.low:g} to {number.high:g}"
        self._report(number.field, value, f"{expected}; {number.default:g} is used")
        return number.default

    def read_duration(self, number: OptionalNumber) -> timedelta:
        """Return a number of seconds as a duration."""
        return seconds_to_duration(self.read_number(number))

    def read_regions(self) -> dict[str, str]:
        """Return the region of each data centre."""
        zones = self._content.get("zones")
        regions = {}
        for name, region in zones.items() if isinstance(zones, dict) else ():
            if isinstance(region, str):
                regions[name] = region
            else:
                self._report(f"zones.{name}", region, "the name of a region")
        return regions

    def read_memory(self) -> int:
        """Return the bytes of memory for the process: no more than the machine has."""
        stated = int(self.read_number(MEMORY) * BYTES_PER_MIB)
        existing = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        if 0 < existing < stated:
            limit = existing / BYTES_PER_MIB
            expected = f"at most the machine's memory; {limit:g} is used"
            self._report(MEMORY.field, stated / BYTES_PER_MIB, expected)
            return existing
        return stated

    def _report(self, name: str, value: object, expected: str) -> None:
        shown = describe_value(value)
        self.invalid.append(InvalidSetting(name, shown, "the settings file", expected))
