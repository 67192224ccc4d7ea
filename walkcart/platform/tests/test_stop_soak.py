"""A short seeded soak of planned stops, restarts and leaving leaves."""

import pytest

from walkcart.platform.tests.stopsoak import run_seed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_stops_and_restarts_keep_all_promises(seed):
    """Guards against lost requests, false "not run", and work for leaves that left."""
    assert run_seed(seed) == []
