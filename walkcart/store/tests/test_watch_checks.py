"""Checks of a waiting watch whose reply arrives late."""

from datetime import timedelta
from io import StringIO
from random import Random
from types import SimpleNamespace

import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.store.backoff import Backoff
from walkcart.store.follower import PrefixFollower
from walkcart.store.items import Changes, Item, Page, Removal

STORED = Item("leaf", b"value", 5)
REMOVED = Removal("leaf", 6)
#: Seconds until the reply to the first watch arrives, which brings only the first of
#: two changes.
REPLY_TIME = 1.2


class OvertakenStore:
    """Replies to a check sooner than to the watch that was there before."""

    def __init__(self):
        self.has_replied = False

    async def list_items(self, prefix, after, fresh):
        await trio.lowlevel.checkpoint()
        return Page((), 4, True)

    async def watch(self, prefix, after, wait):
        if wait < timedelta(seconds=1):
            await trio.lowlevel.checkpoint()
            return Changes((STORED, REMOVED), 6)
        if not self.has_replied:
            self.has_replied = True
            await trio.sleep(REPLY_TIME)
            return Changes((STORED,), 5)
        await trio.sleep(wait.total_seconds())
        return Changes((), after)


def test_late_reply_of_a_watch_brings_back_nothing_that_a_check_removed():
    # Guards against a leaf that comes back and stays, as no watch removes it again.
    async def run():
        clock = TrioClock()
        calls = SimpleNamespace(
            on_recovered=lambda listener: None, reachable=True, last_success=0.0
        )
        follower = PrefixFollower(
            OvertakenStore(),
            calls,
            "",
            clock,
            Backoff(timedelta(seconds=0.1), timedelta(seconds=0.8), Random(1)),
            EventLog("one", clock, StringIO()),
            lambda update: None,
        )
        follower.begin_watching()
        async with trio.open_nursery() as nursery:
            await nursery.start(follower.run)
            await trio.sleep(1)
            check = await follower.check_watch()
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
            return check.is_complete, check.missed, list(follower.items())

    assert run_mocked(run) == (True, True, [])
