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
from walkcart.store.follower import PrefixFollower
from walkcart.store.items import Changes, HistoryLost, Item, Page, Removal

#: Seconds that the copy is kept, and the calls that are few enough in them.
RUN_SECONDS = 20
MAX_CALLS = 4 * RUN_SECONDS


class RepeatingStore:
    """Answers each read with one item, and each watch at once in the same way."""

    def __init__(self, make_result):
        self.make_result = make_result
        self.calls = 0

    async def list_items(self, prefix, after, fresh):
        self.calls += 1
        await trio.sleep(0.001)
        return Page((Item("a", b"", 5),), 9, True)

    async def watch(self, prefix, after, wait):
        self.calls += 1
        await trio.sleep(0.001)
        return self.make_result(self.calls)


def count_calls(make_result, seconds=RUN_SECONDS):
    """Return how many calls a copy makes while its store answers in one way."""
    store = RepeatingStore(make_result)

    async def run():
        calls = SimpleNamespace(
            on_recovered=lambda listener: None, reachable=True, last_success=0.0
        )
        clock = TrioClock()
        follower = PrefixFollower(
            store,
            calls,
            "",
            clock,
            Backoff(timedelta(seconds=0.1), timedelta(seconds=0.8), Random(1)),
            EventLog("one", clock, StringIO()),
            lambda update: None,
        )
        with trio.move_on_after(seconds):
            await follower.run(task_status=trio.TASK_STATUS_IGNORED)
        return store.calls

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
