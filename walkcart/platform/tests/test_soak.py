"""A short seeded soak test of the real program, with seeds that failed before."""

import pytest

from walkcart.platform.tests.soak import run_seed


# Seeds that failed because of faults of the soak test itself. 103: the daemons' ports
# were among the machine's ephemeral ports, so two daemons couldn't listen. 1, on a
# machine with twenty busy processes: a signal that arrived while a daemon still loaded
# its modules counted as a failed stop; and the soak waited forever for the exit of a
# daemon that another fault series had paused. 946: one series killed all daemons while
# another had just ended one of them.
@pytest.mark.parametrize("seed", [1, 2, 103, 946])
def test_short_soak_holds(seed):
    assert run_seed(seed, minutes=0.1)
