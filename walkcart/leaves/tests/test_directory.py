"""Leaves whose entries vanish from the store, or state extreme times."""

from dataclasses import replace
from datetime import timedelta
from io import StringIO

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.leaves.directory import (
    LAPSE_GRACE,
    MAX_HELD_TIME,
    LeafDirectory,
    LeafEntry,
)

ENTRY = LeafEntry("a", "plain", "127.0.0.1:1", "north-a", "north", 2, False)


async def run_outages(length, pause):
    """Let outages follow each other without end; return for how long a leaf is kept.

    Args:
        length: length of each outage, in seconds.
        pause: time between two outages, in seconds.

    Returns:
        The seconds from the disappearance of the leaf's entry until its removal,
        without those of outages; None if it was kept for 100 outages.
    """
    clock = TrioClock()
    back_at = clock.monotonic()
    is_away = False

    def find_back_time():
        return clock.monotonic() if is_away else back_at

    directory = LeafDirectory(clock, EventLog("one", clock, StringIO()), find_back_time)
    directory.set_entries([ENTRY])
    async with trio.open_nursery() as nursery:
        await nursery.start(directory.run)
        await trio.sleep(10)
        for number in range(100):
            is_away = True
            await trio.sleep(length)
            is_away, back_at = False, clock.monotonic()
            directory.set_entries([])
            await trio.sleep(pause)
            if not directory.leaves_of("plain"):
                nursery.cancel_scope.cancel()
                return (number + 1) * pause
        nursery.cancel_scope.cancel()


def test_outages_in_a_row_do_not_keep_a_leaf_forever():
    kept_for = run_mocked(run_outages, 2.0, 1.0)
    assert kept_for is not None
    assert LAPSE_GRACE.total_seconds() <= kept_for
    assert kept_for <= MAX_HELD_TIME.total_seconds() + 1.0


def test_long_outage_does_not_end_the_grace_of_a_lapsed_entry():
    assert run_mocked(run_outages, 60.0, 1.0) > LAPSE_GRACE.total_seconds()


@pytest.mark.parametrize("is_known", [False, True])
def test_one_report_of_a_huge_cold_time_does_not_keep_a_leaf_cold_for_days(is_known):
    log = StringIO()

    async def run():
        clock = TrioClock()
        await trio.sleep(100)
        directory = LeafDirectory(clock, EventLog("one", clock, log), lambda: 0.0)
        if is_known:
            directory.set_entries([ENTRY])
        directory.set_entries([replace(ENTRY, cold_time=timedelta(days=365))])
        (leaf,) = directory.leaves_of("plain")
        return leaf.cold_until - clock.monotonic()

    assert run_mocked(run) == pytest.approx(600)
    assert log.getvalue().count("leaf_cold_bounded") == 1


def test_usual_cold_time_is_used_as_reported():
    async def run():
        clock = TrioClock()
        await trio.sleep(100)
        events = EventLog("one", clock, StringIO())
        directory = LeafDirectory(clock, events, lambda: 0.0)
        directory.set_entries([replace(ENTRY, cold_time=timedelta(seconds=9))])
        (leaf,) = directory.leaves_of("plain")
        return leaf.cold_until - clock.monotonic()

    assert run_mocked(run) == pytest.approx(9)
