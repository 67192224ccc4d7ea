"""Links that repeat, garble and rename messages: no instance ends, none lies."""

import pytest

from walkcart.platform.tests.garbledlinks import check, play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_spoiled_links_end_no_instance_and_spoil_no_answer(seed):
    counts = play(seed)
    assert check(counts) == []
    assert counts["spoiled"] > 100
    assert counts["answered"] > 0.9 * (counts["answered"] + counts["failed"])
