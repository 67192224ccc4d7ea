"""Merging long replies takes little memory beside the replies themselves."""

import tracemalloc
from random import Random

from walkcart.platform.records import MAX_RECORDS, RECORD_SIZE, merge_records


def test_a_merge_doesnt_take_several_times_the_size_of_the_replies():
    random = Random(63)
    bodies = [random.randbytes(2 << 20) for _ in range(8)]
    tracemalloc.start()
    try:
        merge_records(bodies, 5)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < sum(map(len, bodies))


def test_a_merge_in_portions_keeps_the_greatest_records_and_equal_ones():
    random = Random(63)
    records = [
        bytes([random.randrange(3)]) + bytes(RECORD_SIZE - 1)
        for _ in range(3 * MAX_RECORDS)
    ]
    bodies = [b"".join(records[start::3]) + b"rest" for start in range(3)]
    top = MAX_RECORDS + 7
    assert merge_records(bodies, top) == b"".join(sorted(records, reverse=True)[:top])
