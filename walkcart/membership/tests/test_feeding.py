"""What a feeder sends, and what a receiver makes of it, without a network."""

from datetime import timedelta
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.harness import ManualClock
from walkcart.membership.feeding import (
    BEAT,
    FRESH,
    RESEND,
    SUBSCRIPTION,
    Feeder,
    pack_changes,
    unpack_changes,
)
from walkcart.store.follower import PrefixFollower, differ
from walkcart.store.items import Item, Removal
from walkcart.store.packing import BadValue
from walkcart.wire.relays import RelayChanges, RelayCurrent, RelaySubscribe

PREFIX = "routes"
SUBSCRIBER = "two"


class KeptLinks:
    """Keeps what is sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, message):
        self.sent.append(message)
        return True

    def take(self):
        sent, self.sent = self.sent, []
        return sent


def make_follower(clock):
    calls = SimpleNamespace(on_back=lambda listener: None, last_success=0.0)
    return PrefixFollower(
        None,
        calls,
        PREFIX,
        clock,
        None,
        None,
        lambda update: None,
        is_significant=differ,
    )


class FeederFixture:
    """A feeder with one copy and one subscriber."""

    def __init__(self):
        self.clock = ManualClock()
        self.links = KeptLinks()
        self.follower = make_follower(self.clock)
        followers = {PREFIX: self.follower}
        self.feeds = True
        self.feeder = Feeder(followers, self.links, self.clock, lambda: self.feeds)
        self.follower.replace({}, 1)
        self.follower.record_current(1, self.clock.time)

    def change(self, revision, key="a"):
        self.follower.record_current(revision, self.clock.time)
        self.follower.apply([Item(key, b"%d" % revision, revision)], revision)

    def tell(self, revision):
        self.links.handlers[RelaySubscribe](
            SUBSCRIBER, RelaySubscribe({PREFIX: revision})
        )

    def pass_time(self, duration):
        self.clock.time += duration.total_seconds()
        self.follower.record_current(self.follower.revision, self.clock.time)


def test_nothing_follows_a_change_before_it_is_acknowledged_then_only_the_newest():
    fixture = FeederFixture()
    fixture.tell(1)
    fixture.links.take()
    for revision in (2, 3, 4, 5):
        fixture.change(revision)
    (first,) = fixture.links.take()
    assert (first.base, first.revision) == (1, 2)
    fixture.tell(2)
    (second,) = fixture.links.take()
    assert (second.base, second.revision) == (2, 5)
    assert unpack_changes(second.packed) == [Item("a", b"5", 5)]
    fixture.tell(5)
    assert fixture.links.take() == []


def test_a_message_that_is_not_acknowledged_is_sent_again_after_a_while():
    fixture = FeederFixture()
    fixture.tell(1)
    fixture.change(2)
    fixture.links.take()
    fixture.tell(1)
    assert fixture.links.take() == []
    fixture.pass_time(RESEND + timedelta(milliseconds=1))
    fixture.tell(1)
    (again,) = fixture.links.take()
    assert isinstance(again, RelayChanges)
    assert again.revision == 2


def test_a_subscriber_that_started_anew_is_sent_all_at_once():
    fixture = FeederFixture()
    fixture.tell(1)
    fixture.change(2)
    fixture.tell(2)
    fixture.change(3)
    fixture.links.take()
    fixture.tell(0)
    (copy,) = fixture.links.take()
    assert unpack_changes(copy.packed) == [Item("a", b"3", 3)]


def test_a_copy_that_was_not_confirmed_lately_is_neither_sent_nor_vouched_for():
    fixture = FeederFixture()
    fixture.tell(1)
    fixture.links.take()
    fixture.clock.time += FRESH.total_seconds() + 0.1
    fixture.follower.apply([Item("a", b"2", 2)], 2)
    fixture.feeder.note_served()
    assert fixture.links.take() == []


def test_who_does_not_watch_sends_nothing():
    fixture = FeederFixture()
    fixture.feeds = False
    fixture.tell(1)
    fixture.change(2)
    fixture.feeder.note_served()
    assert fixture.links.take() == []


def test_signs_of_life_state_the_age_and_are_spaced():
    fixture = FeederFixture()
    fixture.tell(1)
    fixture.links.take()
    fixture.clock.time += 0.4
    fixture.feeder.note_served()
    fixture.feeder.note_served()
    (sign,) = fixture.links.take()
    assert isinstance(sign, RelayCurrent)
    assert round(sign.states[PREFIX].current_age, 3) == 0.4
    fixture.pass_time(BEAT)
    fixture.feeder.note_served()
    assert len(fixture.links.take()) == 1


def test_a_subscription_that_is_not_renewed_ends():
    fixture = FeederFixture()
    fixture.tell(1)
    fixture.links.take()
    fixture.pass_time(SUBSCRIPTION + timedelta(milliseconds=1))
    fixture.feeder.note_served()
    fixture.change(2)
    assert fixture.links.take() == []


def test_bytes_that_are_no_changes_are_refused():
    packed = pack_changes([Item("a", b"1", 1), Removal("b", 2)])
    assert unpack_changes(packed) == [Item("a", b"1", 1), Removal("b", 2)]
    for bad in (b"", b"rubbish", packed[:-4]):
        try:
            unpack_changes(bad)
        except BadValue:
            continue
        raise AssertionError(f"{bad!r} was taken")


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("change"), st.sampled_from("abc")),
            st.tuples(st.sampled_from(["deliver", "lose", "wait", "restart"])),
        ),
        max_size=40,
    )
)
def test_a_subscriber_converges_whatever_is_lost(steps):
    fixture = FeederFixture()
    receiver = make_follower(fixture.clock)
    revision = 1
    fixture.tell(0)
    flight = fixture.links.take()
    for step in steps:
        match step:
            case ("change", key):
                revision += 1
                fixture.change(revision, key)
            case ("deliver",):
                take_all(receiver, flight)
                flight = []
                fixture.tell(receiver.revision)
            case ("lose",):
                flight = []
            case ("wait",):
                fixture.pass_time(RESEND / 4)
                fixture.tell(receiver.revision if receiver.known else 0)
            case ("restart",):
                receiver = make_follower(fixture.clock)
                flight = []
                fixture.tell(0)
        flight += fixture.links.take()
        # Signs of life aside, one message is on its way at the most, until it is lost.
        assert sum(not isinstance(item, RelayCurrent) for item in flight) <= 2
    for _ in range(12):
        fixture.pass_time(RESEND / 4)
        fixture.tell(receiver.revision if receiver.known else 0)
        take_all(receiver, flight + fixture.links.take())
        flight = []
    assert dict(by_key(receiver)) == dict(by_key(fixture.follower))


def take_all(receiver, messages):
    """Take messages as `walkcart.membership.relaying.Relay` does."""
    for message in messages:
        match message:
            case RelayCurrent():
                continue
            case RelayChanges(base=base, revision=revision, packed=packed):
                if receiver.known and receiver.revision >= base:
                    receiver.apply(unpack_changes(packed), revision)
            case _:
                items = unpack_changes(message.packed)
                found = {item.key: item for item in items}
                if not receiver.known or message.revision >= receiver.revision:
                    receiver.replace(found, message.revision)


def by_key(follower):
    return ((item.key, item.value) for item in follower.items())
