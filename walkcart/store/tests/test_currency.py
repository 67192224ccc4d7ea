"""At which time a copy surely held all that was stored."""

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


def make_currency():
    clock = ManualClock()
    calls = SimpleNamespace(last_success=clock.time)
    return CopyFreshness(calls, clock), clock, calls


def serve_later(clock, calls, seconds):
    clock.time += seconds
    calls.last_success = clock.time


def test_a_call_that_was_served_while_a_watch_paused_is_vouched_for():
    currency, clock, calls = make_currency()
    currency.record_changes(FEW)
    serve_later(clock, calls, 0.7)
    clock.time += 0.1
    with currency.watch():
        assert currency.find_complete_time() == calls.last_success


def test_a_call_that_was_served_before_a_watch_resumes_says_nothing():
    currency, clock, calls = make_currency()
    currency.record_changes(FEW)
    noted = clock.time
    with suppress(StoreUnavailable), currency.watch():
        raise StoreUnavailable(True, "no reply in time")
    serve_later(clock, calls, 9.0)
    with currency.watch():
        assert currency.find_complete_time() == noted
        serve_later(clock, calls, 0.1)
        assert currency.find_complete_time() == clock.time
    assert currency.find_complete_time() == noted


def test_a_watch_that_brought_a_part_is_not_taken_for_all():
    currency, clock, calls = make_currency()
    currency.record_complete(clock.time)
    noted = clock.time
    clock.time += 1.0
    assert not currency.record_changes(MANY)
    assert currency.find_complete_time() == noted
    with currency.watch():
        serve_later(clock, calls, CUT_OFF_TIME / 2)
        assert currency.find_complete_time() == noted
        serve_later(clock, calls, CUT_OFF_TIME)
        assert currency.find_complete_time() == clock.time


def test_a_watch_that_brought_few_changes_is_taken_for_all():
    currency, clock, _ = make_currency()
    clock.time += 1.0
    assert currency.record_changes(FEW)
    assert currency.find_complete_time() == clock.time


def test_few_large_values_may_be_a_part():
    currency, _, _ = make_currency()
    large = Item("a", bytes(FULL_BYTES // 2), 1)
    assert currency.record_changes([large])
    assert not currency.record_changes([large, large])
