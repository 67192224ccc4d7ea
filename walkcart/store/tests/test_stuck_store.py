"""A store whose answers bring a copy no further isn't called all the time."""

from __future__ import annotations

from datetime import timedelta
from io import StringIO
from random import Random
from types import SimpleNamespace

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreUnavailable
from walkcart.store.follower import PrefixFollower
from walkcart.store.items import Changes, HistoryLost, Item, Page, Removal
from walkcart.store.reading import read_prefix

#: Seconds that the copy is kept, and the calls that are few enough in them.
RUN_SECONDS = 20
MAX_CALLS = 4 * RUN_SECONDS


class RepeatingStore:
    """Answers each read with one item, and each watch at once in the same way."""

    def __init__(self, make_result):
        self.make_result = make_result
        self.calls = self.rejected = 0

    def reject_reply(self, detail):
        self.rejected += 1
        return StoreUnavailable(True, detail)

    async def list_items(self, prefix, after, fresh):
        self.calls += 1
        await trio.sleep(0.001)
        return Page((Item("a", b"", 5),), 9, True)

    async def watch(self, prefix, after, wait):
        self.calls += 1
        await trio.sleep(0.001)
        return self.make_result(self.calls)


def count_calls(make_result, seconds=RUN_SECONDS, log=None):
    """Return how many calls a copy makes while its store answers in one way."""
    return play(RepeatingStore(make_result), seconds, log).calls


def play(store, seconds=RUN_SECONDS, log=None):
    """Keep a copy of a store for some seconds; return the store."""

    async def run():
        calls = SimpleNamespace(
            on_recovered=lambda listener: None,
            reachable=True,
            last_success=0.0,
            reject_reply=store.reject_reply,
        )
        clock = TrioClock()
        follower = PrefixFollower(
            store,
            calls,
            "",
            clock,
            Backoff(timedelta(seconds=0.1), timedelta(seconds=0.8), Random(1)),
            EventLog("one", clock, log or StringIO()),
            lambda update: None,
        )
        with trio.move_on_after(seconds):
            await follower.run(task_status=trio.TASK_STATUS_IGNORED)
        return store

    return run_mocked(run)


def make_old_changes(count):
    return Changes(tuple(Item(f"k{n}", b"", 3) for n in range(count)), 9)


@pytest.mark.parametrize(
    "make_result",
    [
        lambda call: Changes((), 9),
        lambda call: Changes((), 2),
        lambda call: Changes((), 100 + call),
        lambda call: make_old_changes(1),
        lambda call: make_old_changes(500),
        lambda call: Changes((Removal("a", 4),), 4),
        lambda call: HistoryLost(),
    ],
    ids=[
        "nothing",
        "lower revision",
        "only revisions",
        "old change",
        "old changes",
        "old removal",
        "no history",
    ],
)
def test_watch_that_brings_nothing_new_is_repeated_after_a_pause(make_result):
    assert count_calls(make_result) < MAX_CALLS


def test_watches_that_bring_new_changes_are_repeated_at_once():
    def make_full_page(call):
        items = tuple(Item(f"k{n}", b"", 10 + call) for n in range(500))
        return Changes(items, 10 + call)

    assert count_calls(make_full_page, seconds=4) > MAX_CALLS


def make_endless_changes(call):
    return Changes(tuple(Item(f"k{n}", b"", 10 + call) for n in range(500)), 10 + call)


def make_same_changes(call):
    """Changes that are later than the revision that the reply states."""
    return Changes(tuple(Item(f"k{n}", b"", 10) for n in range(500)), 9)


def test_full_replies_without_end_are_read_with_pauses():
    log = StringIO()
    few = count_calls(make_endless_changes, seconds=RUN_SECONDS, log=log)
    assert few < 100 + MAX_CALLS
    assert log.getvalue().count("store_endless") == 1


def test_same_full_reply_without_end_is_rejected_with_pauses():
    store = play(RepeatingStore(make_same_changes))
    assert store.calls < 100 + MAX_CALLS
    assert store.rejected > 1


class EndlessPages:
    """A store whose pages of a prefix never end.

    Args:
        size: number of items of each page.
        value: value of each item.
    """

    def __init__(self, size, value):
        self.size, self.value = size, value
        self.pages = self.rejected = 0

    async def list_items(self, prefix, after, fresh):
        await trio.sleep(0.001)
        first = self.pages * self.size
        self.pages += 1
        keys = (f"{first + number:09}" for number in range(self.size))
        return Page(tuple(Item(key, self.value, 1) for key in keys), 9, False)

    def reject_reply(self, detail):
        self.rejected += 1
        return StoreUnavailable(True, detail)


@pytest.mark.parametrize(
    ("size", "value"), [(1, b""), (500, b""), (500, b"x" * 1000), (1, b"x" * 1_000_000)]
)
def test_pages_without_end_are_given_up(size, value):
    store = EndlessPages(size, value)

    async def run():
        started_at = trio.current_time()
        with trio.move_on_after(1000), pytest.raises(StoreUnavailable):
            await read_prefix(store, "", False)
        return trio.current_time() - started_at

    seconds = run_mocked(run)
    assert store.rejected == 1
    assert store.pages <= 200
    assert store.pages * size * (9 + len(value)) <= 20 << 20
    assert store.pages / (seconds + 10) < 5
