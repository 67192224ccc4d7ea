"""Reads of a prefix that takes several pages, each of its own age.

A machine was killed and started again while a leaf's entry was removed. Its first read
of the entries took three pages, each some seconds old: the page with the leaf was from
before the removal, another page from after it. The watch began after the latest item of
all pages, so it never brought the removal, and the instance went on sending to a leaf
that had left.
"""

from bisect import bisect_right
from dataclasses import dataclass

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from walkcart.store.items import Item, Page, Removal
from walkcart.store.reading import read_prefix
from walkcart.store.tests.test_follower import (
    find_items,
    find_revisions,
    make_follower,
    make_history,
)
from walkcart.store.updates import Origin

DRAWS = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=40
)
#: How many changes each page lags behind, in turn.
LAGS = st.lists(st.integers(0, 8), min_size=1, max_size=4)


@dataclass
class AgedPages:
    """A store whose pages are each of another age.

    Args:
        history: all changes, with the revisions 1, 2 and so on.
        lags: by how many changes each page lags behind, in turn.
        size: number of items of a page.
    """

    history: list[Item | Removal]
    lags: list[int]
    size: int = 1
    read: int = 0
    fresh_reads: int = 0

    async def list_items(self, prefix, after, fresh):
        lag = 0 if fresh else self.lags[self.read % len(self.lags)]
        self.read += 1
        self.fresh_reads += fresh
        items = find_items(self.history, max(0, len(self.history) - lag))
        keys = sorted(items)[bisect_right(sorted(items), after) :]
        page = tuple(items[key] for key in keys[: self.size])
        # The reply states the revision of the store, not that of the items.
        return Page(page, len(self.history), len(keys) <= self.size)


def read(history, lags):
    """Return a reading with these lags, and the store."""
    store = AgedPages(history, lags)
    return trio.run(read_prefix, store, "", False), store


def watch(follower, history, last=None):
    """Apply what a watch from the copy's revision brings."""
    last = len(history) if last is None else last
    follower.apply(history[follower.revision : last], last)


@settings(max_examples=400)
@given(DRAWS, LAGS)
def test_watch_after_pages_of_different_ages_brings_every_change(draws, lags):
    """Guards against missing what happened between the ages of two pages."""
    history = make_history(draws)
    reading, store = read(history, lags)
    follower = make_follower()
    follower.replace(reading.items, reading.revision)
    watch(follower, history)
    assert find_revisions(follower) == find_revisions_of(find_items(history, None))
    assert not store.fresh_reads


@settings(max_examples=400)
@given(DRAWS, LAGS, st.integers(0, 40))
def test_feed_after_pages_of_different_ages_brings_every_change(draws, lags, base):
    """Guards against a feed that begins after a change that the copy lacks."""
    history = make_history(draws)
    reading, _ = read(history, lags)
    receiver, feeder = make_follower(), make_follower()
    receiver.replace(reading.items, reading.revision)
    base = min(base, len(history))
    feeder.replace(find_items(history, base), base)
    watch(feeder, history)
    changes = feeder.changes_after(receiver.revision)
    origin = Origin("feeder", 0.0)
    if changes is None:
        items = {item.key: item for item in feeder.items()}
        receiver.replace(items, feeder.revision, origin)
    else:
        receiver.apply(changes, feeder.revision, origin)
    assert find_revisions(receiver) == find_revisions(feeder)


@settings(max_examples=400)
@given(DRAWS, LAGS)
def test_copy_of_a_feeder_that_read_pages_of_different_ages_is_repaired(draws, lags):
    """Guards against a gap that a feeder passes on with its first copy."""
    history = make_history(draws)
    reading, _ = read(history, lags)
    feeder, receiver = make_follower(), make_follower()
    feeder.replace(reading.items, reading.revision)
    items = {item.key: item for item in feeder.items()}
    receiver.replace(items, feeder.revision, Origin("feeder", 0.0))
    base = receiver.revision
    watch(feeder, history)
    changes = feeder.changes_after(base)
    assert changes is not None
    receiver.apply(changes, feeder.revision, Origin("feeder", 0.0))
    assert find_revisions(receiver) == find_revisions_of(find_items(history, None))


@settings(max_examples=400)
@given(DRAWS, LAGS, st.integers(0, 40))
def test_old_pages_never_restore_what_a_feed_has_removed(draws, lags, fed_to):
    """Guards against a first read that ends after a feeder's copy arrived."""
    history = make_history(draws)
    reading, _ = read(history, lags)
    fed_to = min(fed_to, len(history))
    follower = make_follower()
    follower.replace(find_items(history, fed_to), fed_to, Origin("feeder", 0.0))
    follower.replace(reading.items, reading.revision)
    watch(follower, history)
    assert find_revisions(follower) == find_revisions_of(find_items(history, None))


def find_revisions_of(items):
    return {key: item.revision for key, item in items.items()}
