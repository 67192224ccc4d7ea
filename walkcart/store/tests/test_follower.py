"""Copies of a prefix, and the changes that keep other copies up to date with them."""

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


def make_follower(told=None, is_significant=differ):
    calls = SimpleNamespace(on_recovered=lambda listener: None)
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
        is_significant=is_significant,
    )


def find_revisions(follower):
    return {item.key: item.revision for item in follower.items()}


def find_items(history, revision):
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
    """Return changes with the revisions 1, 2 and so on.

    A draw whose second part is true removes its key if that is stored.
    """
    history = []
    for number, (key, removes) in enumerate(draws, start=1):
        held = find_items(history, number)
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
def test_changes_after_its_revision_bring_a_copy_up_to_date(draws, steps, base):
    history = make_history(draws)
    base = min(base, len(history))
    feeder, receiver = make_follower(), make_follower()
    feeder.replace({}, 0)
    receiver.replace(find_items(history, base), base)
    for step, how in steps:
        revision = min(len(history), max(step, feeder.revision))
        match how:
            case "copy":
                feeder.replace(find_items(history, revision), revision)
            case "pages":
                # The last page was read later than the first one.
                late = min(len(history), revision + 3)
                feeder.replace(find_items(history, late), revision)
            case "watch":
                feeder.apply(history[feeder.revision : revision], revision)
    feeder.apply(history[feeder.revision :], len(history))
    changes = feeder.changes_after(base)
    if changes is None:
        # The changes are unknown, since the feeder took a full copy of a later
        # revision.
        assert any(how != "watch" for _, how in steps)
        return
    receiver.apply(changes, feeder.revision)
    assert find_revisions(receiver) == find_revisions(feeder)
    assert find_revisions(feeder) == {
        key: item.revision for key, item in find_items(history, len(history)).items()
    }


def test_full_read_is_passed_on_as_differences():
    follower = make_follower()
    old = {key: Item(key, b"1", 1) for key in KEYS}
    follower.replace(old, 5)
    follower.replace({**old, "a": Item("a", b"2", 8)}, 9)
    assert follower.changes_after(5) == (Item("a", b"2", 8),)
    assert follower.changes_after(4) is None
    # It isn't known whether items were added and removed in between.
    assert follower.changes_after(7) is None


def test_insignificant_value_is_kept_without_notification():
    told = []
    follower = make_follower(told, is_significant=lambda old, new: False)
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
def test_feeder_that_is_behind_never_restores_removed_items(draws, first, last):
    history = make_history(draws)
    base, behind = sorted(number % (len(history) + 1) for number in (first, last))
    receiver = make_follower()
    receiver.replace(find_items(history, len(history)), len(history))
    before = find_revisions(receiver)
    receiver.apply(history[base:behind], behind, Origin("behind", 0.1))
    assert find_revisions(receiver) == before


def test_changed_values_from_a_feeder_are_always_significant():
    """Guards against ignoring a leaf that became cold again, for a shorter time.

    The receiver has missed the value in between, by which the leaf wasn't cold, and the
    new value alone is no rise over the last one that it has.
    """

    def rises(old, new):
        return int(new) > int(old)

    told = []
    receiver = make_follower(told, rises)
    receiver.replace({"leaf": Item("leaf", b"3000", 1)}, 1)
    # The feeder saw 3000, then 0, which it didn't pass on, and then 1800.
    receiver.apply([Item("leaf", b"1800", 3)], 3, Origin("feeder", 0.1))
    assert told == [{"leaf"}, {"leaf"}]
