"""Until when a copy of stored items is known to have been complete."""

from contextlib import suppress
from types import SimpleNamespace

from walkcart.bench.harness import ManualClock
from walkcart.store.calls import StoreUnavailable
from walkcart.store.freshness import (
    CUT_OFF_TIME,
    FULL_BYTES,
    FULL_CHANGES,
    CopyFreshness,
)
from walkcart.store.items import Item

FEW = [Item("a", b"1", 1)]
MANY = [Item(f"a{number}", b"1", number) for number in range(FULL_CHANGES)]


def make_freshness():
    clock = ManualClock()
    calls = SimpleNamespace(last_success=clock.time, last_shown=clock.time)
    return CopyFreshness(calls, clock), clock, calls


def serve_call_after(clock, calls, seconds):
    clock.time += seconds
    calls.last_success = calls.last_shown = clock.time


def test_copy_is_complete_at_a_call_served_during_the_pause():
    freshness, clock, calls = make_freshness()
    freshness.record_changes(FEW)
    serve_call_after(clock, calls, 0.7)
    clock.time += 0.1
    with freshness.watch():
        assert freshness.find_complete_time() == calls.last_success


def test_copy_is_complete_up_to_what_a_late_reply_shows():
    # Guards against feeders that vouch for changes that are still on their way.
    freshness, clock, calls = make_freshness()
    freshness.record_changes(FEW)
    with freshness.watch():
        serve_call_after(clock, calls, 0.7)
        calls.last_shown -= 0.4
        assert freshness.find_complete_time() == calls.last_shown


def test_call_served_before_a_watch_resumes_proves_nothing():
    freshness, clock, calls = make_freshness()
    freshness.record_changes(FEW)
    complete_at = clock.time
    with suppress(StoreUnavailable), freshness.watch():
        raise StoreUnavailable(True, "no reply in time")
    serve_call_after(clock, calls, 9.0)
    with freshness.watch():
        assert freshness.find_complete_time() == complete_at
        serve_call_after(clock, calls, 0.1)
        assert freshness.find_complete_time() == clock.time
    assert freshness.find_complete_time() == complete_at


def test_copy_is_not_complete_after_a_watch_that_was_cut_off():
    freshness, clock, calls = make_freshness()
    freshness.record_complete(clock.time)
    complete_at = clock.time
    clock.time += 1.0
    assert not freshness.record_changes(MANY)
    assert freshness.find_complete_time() == complete_at
    with freshness.watch():
        serve_call_after(clock, calls, CUT_OFF_TIME / 2)
        assert freshness.find_complete_time() == complete_at
        serve_call_after(clock, calls, CUT_OFF_TIME)
        assert freshness.find_complete_time() == clock.time


def test_copy_is_complete_after_a_watch_with_few_changes():
    freshness, clock, _ = make_freshness()
    clock.time += 1.0
    assert freshness.record_changes(FEW)
    assert freshness.find_complete_time() == clock.time


def test_few_large_values_may_be_cut_off():
    freshness, _, _ = make_freshness()
    large = Item("a", bytes(FULL_BYTES // 2), 1)
    assert freshness.record_changes([large])
    assert not freshness.record_changes([large, large])
