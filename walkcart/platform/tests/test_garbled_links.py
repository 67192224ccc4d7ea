"""Links that repeat, garble and rename messages: no instance ends, none lies."""

import pytest

from walkcart.platform.tests.garbledlinks import find_violations, run_garbled_links


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_spoiled_links_end_no_instance_and_spoil_no_answer(seed):
    counts = run_garbled_links(seed)
    assert find_violations(counts) == []
    assert counts["spoiled"] > 100
    assert counts["answered"] > 0.9 * (counts["answered"] + counts["failed"])
