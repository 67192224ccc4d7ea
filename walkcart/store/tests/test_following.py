"""Copies of a prefix and the changes by which other copies keep up with them."""

from datetime import timedelta
from random import Random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.harness import ManualClock
from walkcart.store.backoff import Backoff
from walkcart.store.follower import PrefixFollower, differ
from walkcart.store.items import Item, Removal
from walkcart.store.updates import Origin

KEYS = "abcde"


def make_follower(told=None, matters=differ):
    calls = SimpleNamespace(on_back=lambda listener: None)
    backoff = Backoff(timedelta(seconds=1), timedelta(seconds=1), Random(1))

    def listen(update):
        if told is not None:
            told.append(update.changed)

    return PrefixFollower(
        None,
        calls,
        "",
        ManualClock(),
        backoff,
        None,
        listen,
        is_significant=matters,
    )


def state_of(follower):
    return {item.key: item.revision for item in follower.items()}


def read_state(history, revision):
    """Return the items that the store holds at a revision."""
    items = {}
    for change in history[:revision]:
        match change:
            case Item(key):
                items[key] = change
            case Removal(key):
                items.pop(key, None)
    return items


def make_history(draws):
    """Return changes with the revisions 1, 2 and on; odd draws remove what is there."""
    history = []
    for number, (key, removes) in enumerate(draws, start=1):
        held = read_state(history, number)
        if removes and key in held:
            history.append(Removal(key, number))
        else:
            history.append(Item(key, b"%d" % number, number))
    return history


@given(
    st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=30),
    st.lists(
        st.tuples(st.integers(0, 30), st.sampled_from(["copy", "pages", "watch"]))
    ),
    st.integers(0, 30),
)
def test_a_copy_that_takes_the_changes_after_its_revision_is_equal(draws, steps, base):
    history = make_history(draws)
    base = min(base, len(history))
    feeder, receiver = make_follower(), make_follower()
    feeder.replace({}, 0)
    receiver.replace(read_state(history, base), base)
    for step, how in steps:
        revision = min(len(history), max(step, feeder.revision))
        match how:
            case "copy":
                feeder.replace(read_state(history, revision), revision)
            case "pages":
                # The last page was read later than the first one.
                late = min(len(history), revision + 3)
                feeder.replace(read_state(history, late), revision)
            case "watch":
                feeder.apply(history[feeder.revision : revision], revision)
    feeder.apply(history[feeder.revision :], len(history))
    changes = feeder.changes_after(base)
    if changes is None:
        # It can't know: a full copy was taken past what the receiver has.
        assert any(how != "watch" for _, how in steps)
        return
    receiver.apply(changes, feeder.revision)
    assert state_of(receiver) == state_of(feeder)
    assert state_of(feeder) == {
        key: item.revision for key, item in read_state(history, len(history)).items()
    }


def test_a_full_reading_is_passed_on_as_what_differs():
    follower = make_follower()
    old = {key: Item(key, b"1", 1) for key in KEYS}
    follower.replace(old, 5)
    follower.replace({**old, "a": Item("a", b"2", 8)}, 9)
    assert follower.changes_after(5) == (Item("a", b"2", 8),)
    assert follower.changes_after(4) is None
    # Whether anything came and went in between is not known.
    assert follower.changes_after(7) is None


def test_a_value_that_matters_to_nobody_is_kept_and_not_told():
    told = []
    follower = make_follower(told, matters=lambda old, new: False)
    follower.replace({}, 0)
    told.clear()
    follower.apply([Item("a", b"1", 1)], 1)
    assert not follower.apply([Item("a", b"2", 2)], 2)
    assert told == [frozenset("a")]
    assert follower.changes_after(1) == ()
    assert [item.value for item in follower.items()] == [b"2"]


@given(
    st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=30),
    st.integers(0, 30),
    st.integers(0, 30),
)
def test_a_feeder_that_is_behind_never_brings_back_what_was_removed(draws, first, last):
    history = make_history(draws)
    base, behind = sorted(number % (len(history) + 1) for number in (first, last))
    receiver = make_follower()
    receiver.replace(read_state(history, len(history)), len(history))
    before = state_of(receiver)
    receiver.apply(history[base:behind], behind, Origin("behind", 0.1))
    assert state_of(receiver) == before


def test_what_a_feeder_passes_on_is_news_whatever_this_copy_would_make_of_it():
    """A leaf that became cold again, for less time than the last that was heard of."""

    def rises(old, new):
        return int(new) > int(old)

    told = []
    receiver = make_follower(told, rises)
    receiver.replace({"leaf": Item("leaf", b"3000", 1)}, 1)
    # The feeder saw 3000, then 0, which it kept to itself, and then 1800.
    receiver.apply([Item("leaf", b"1800", 3)], 3, Origin("feeder", 0.1))
    assert told == [{"leaf"}, {"leaf"}]
