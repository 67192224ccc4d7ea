"""Converts numbers from outside the process to durations.

A float can hold times that `timedelta`, or a clock to which one is added, can't. Times
beyond `MAX_DURATION` mean "no limit" in practice and are shortened to it.
"""

from __future__ import annotations

from datetime import timedelta
from math import isfinite

#: Longest duration that is returned. Deadlines and dates that are this far ahead can be
#: represented by all clocks and timers.
MAX_DURATION = timedelta(days=365)
_MAX_SECONDS = MAX_DURATION.total_seconds()


class BadDuration(ValueError):
    """The number is not a duration: it is negative, infinite or not a number."""


def seconds_to_duration(value: float) -> timedelta:
    """Return a number of seconds as a duration of at most `MAX_DURATION`.

    Raises:
        BadDuration: the number is negative, infinite or not a number.

    Examples:
        >>> seconds_to_duration(2.5), seconds_to_duration(1e300) == MAX_DURATION
        (datetime.timedelta(seconds=2, microseconds=500000), True)
    """
    _check(value, "seconds")
    return timedelta(seconds=min(value, _MAX_SECONDS))


def milliseconds_to_duration(value: float) -> timedelta:
    """Return a number of milliseconds as a duration of at most `MAX_DURATION`.

    Raises:
        BadDuration: the number is negative, infinite or not a number.

    Examples:
        >>> milliseconds_to_duration(250)
        datetime.timedelta(microseconds=250000)
    """
    _check(value, "milliseconds")
    return timedelta(milliseconds=min(value, _MAX_SECONDS * 1000))


def _check(value: float, unit: str) -> None:
    # An int of any size is finite, but `isfinite` can't convert a very large one.
    if value < 0 or not (isinstance(value, int) or isfinite(value)):
        raise BadDuration(f"expected a number of {unit}, 0 or more, got {value!r}")
