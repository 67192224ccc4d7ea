"""Test settings that hold for every subpackage."""

import pytest
import trio
from hypothesis import settings

# The same verdict every time: no wall-clock bounds and no chance of its own.
settings.register_profile("walkcart", derandomize=True, deadline=None, database=None)
settings.load_profile("walkcart")

# trio shuffles tasks that are ready together; its hook for reproducible runs.
trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True


@pytest.fixture(autouse=True)
def seed_scheduler():
    """Make each test see the same order of ready tasks."""
    trio._core._run._r.seed(0)
