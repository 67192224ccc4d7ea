"""Checks of the conversion of outside numbers to durations."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from math import inf, isfinite, nan

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.kernel.durations import (
    MAX_DURATION,
    BadDuration,
    milliseconds_to_duration,
    seconds_to_duration,
)

NUMBERS = st.floats() | st.integers()


@given(NUMBERS)
@example(1e19)
@example(-1e19)
@example(8.64e16)
@example(10**400)
@example(-(10**400))
@example(-0.0)
@example(5e-324)
def test_every_number_is_a_bounded_duration_or_refused(value):
    for convert in (seconds_to_duration, milliseconds_to_duration):
        is_valid = value >= 0 and (isinstance(value, int) or isfinite(value))
        if not is_valid:
            with pytest.raises(BadDuration):
                convert(value)
            continue
        found = convert(value)
        assert timedelta() <= found <= MAX_DURATION
        assert datetime.now(UTC) + found


@pytest.mark.parametrize("value", [nan, inf, -inf, -1, -0.001])
def test_bad_duration_is_named_in_the_error(value):
    with pytest.raises(BadDuration, match="expected a number of seconds"):
        seconds_to_duration(value)


def test_usual_durations_are_exact():
    assert seconds_to_duration(6) == timedelta(seconds=6)
    assert milliseconds_to_duration(120_000) == timedelta(minutes=2)
    assert seconds_to_duration(10**12) == MAX_DURATION
