"""Times to retry after, for waits of any length."""

from datetime import timedelta
from math import inf, nan
from random import Random

import pytest

from walkcart.routing.retryafter import MAX_SPREAD, MAX_WAIT, draw_retry_after


@pytest.mark.parametrize("wait", [1e19, 1.7e308, inf, nan])
def test_wait_that_never_ends_is_told_as_a_long_one(wait):
    longest = timedelta(seconds=MAX_WAIT * MAX_SPREAD)
    told = draw_retry_after(wait, Random(1))
    assert timedelta(seconds=MAX_WAIT) <= told <= longest
