"""Rows of leaves' replies that can't be merged."""

import msgspec
import pytest

from walkcart.entry.replies import BadRows, merge_rows
from walkcart.entry.requests import QueryBody
from walkcart.fanout.answers import Answer, Coverage
from walkcart.leaves.leaf import Snapshot

DEEP = b'{"rows": [' + b"[" * 100_000 + b"]" * 100_000 + b"]}"


@pytest.mark.parametrize("order_by", [None, "field"])
def test_rows_that_nest_deeply_are_no_rows(order_by):
    answer = Answer(Snapshot(1, 1), Coverage(1, (0,), (), ()), ((0, DEEP),), 1)
    with pytest.raises(BadRows):
        merge_rows(QueryBody(msgspec.Raw(b"{}"), order_by), answer)
