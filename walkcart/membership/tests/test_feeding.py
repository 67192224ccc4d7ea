"""The messages of a feeder and their effect on a receiver, without a network."""

import tracemalloc
from datetime import timedelta
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.harness import ManualClock
from walkcart.membership.feeding import (
    HEARTBEAT_INTERVAL,
    MAX_COPY_AGE,
    RESEND_TIMEOUT,
    SUBSCRIPTION_TTL,
    Feeder,
    pack_changes,
    unpack_changes,
)
from walkcart.store.follower import PrefixFollower, differ
from walkcart.store.items import Item, Removal
from walkcart.store.packing import BadValue
from walkcart.wire.bodies import MemoryPlan
from walkcart.wire.relays import RelayChanges, RelayCurrent, RelaySubscribe

PREFIX = "routes"
SUBSCRIBER = "two"


class RecordingLinks:
    """Records the messages that are sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, message):
        self.sent.append(message)
        return True

    def pop_sent(self):
        sent, self.sent = self.sent, []
        return sent


def make_follower(clock):
    calls = SimpleNamespace(on_recovered=lambda listener: None, last_success=0.0)
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
        self.links = RecordingLinks()
        self.follower = make_follower(self.clock)
        followers = {PREFIX: self.follower}
        self.feeds = True
        self.feeder = Feeder(followers, self.links, self.clock, lambda: self.feeds)
        self.follower.replace({}, 1)
        self.follower.record_current(1, self.clock.time)

    def change(self, revision, key="a"):
        self.follower.record_current(revision, self.clock.time)
        self.follower.apply([Item(key, b"%d" % revision, revision)], revision)

    def subscribe(self, revision):
        self.links.handlers[RelaySubscribe](
            SUBSCRIBER, RelaySubscribe({PREFIX: revision})
        )

    def pass_time(self, duration):
        self.clock.time += duration.total_seconds()
        self.follower.record_current(self.follower.revision, self.clock.time)


def test_next_message_waits_for_acknowledgement_and_has_the_newest_state():
    fixture = FeederFixture()
    fixture.subscribe(1)
    fixture.links.pop_sent()
    for revision in (2, 3, 4, 5):
        fixture.change(revision)
    (first,) = fixture.links.pop_sent()
    assert (first.base, first.revision) == (1, 2)
    fixture.subscribe(2)
    (second,) = fixture.links.pop_sent()
    assert (second.base, second.revision) == (2, 5)
    assert unpack_changes(second.packed) == [Item("a", b"5", 5)]
    fixture.subscribe(5)
    assert fixture.links.pop_sent() == []


def test_unacknowledged_message_is_sent_again():
    fixture = FeederFixture()
    fixture.subscribe(1)
    fixture.change(2)
    fixture.links.pop_sent()
    fixture.subscribe(1)
    assert fixture.links.pop_sent() == []
    fixture.pass_time(RESEND_TIMEOUT + timedelta(milliseconds=1))
    fixture.subscribe(1)
    (again,) = fixture.links.pop_sent()
    assert isinstance(again, RelayChanges)
    assert again.revision == 2


def test_restarted_subscriber_is_sent_everything_at_once():
    fixture = FeederFixture()
    fixture.subscribe(1)
    fixture.change(2)
    fixture.subscribe(2)
    fixture.change(3)
    fixture.links.pop_sent()
    fixture.subscribe(0)
    (copy,) = fixture.links.pop_sent()
    assert unpack_changes(copy.packed) == [Item("a", b"3", 3)]


def test_copy_without_recent_confirmation_is_not_sent():
    fixture = FeederFixture()
    fixture.subscribe(1)
    fixture.links.pop_sent()
    fixture.clock.time += MAX_COPY_AGE.total_seconds() + 0.1
    fixture.follower.apply([Item("a", b"2", 2)], 2)
    fixture.feeder.send_heartbeats_if_due()
    assert fixture.links.pop_sent() == []


def test_instance_that_does_not_watch_sends_nothing():
    fixture = FeederFixture()
    fixture.feeds = False
    fixture.subscribe(1)
    fixture.change(2)
    fixture.feeder.send_heartbeats_if_due()
    assert fixture.links.pop_sent() == []


def test_heartbeats_state_the_age_and_are_spaced():
    fixture = FeederFixture()
    fixture.subscribe(1)
    fixture.links.pop_sent()
    fixture.clock.time += 0.4
    fixture.feeder.send_heartbeats_if_due()
    fixture.feeder.send_heartbeats_if_due()
    (sign,) = fixture.links.pop_sent()
    assert isinstance(sign, RelayCurrent)
    assert round(sign.states[PREFIX].current_age, 3) == 0.4
    fixture.pass_time(HEARTBEAT_INTERVAL)
    fixture.feeder.send_heartbeats_if_due()
    assert len(fixture.links.pop_sent()) == 1


def test_subscription_that_is_not_renewed_expires():
    fixture = FeederFixture()
    fixture.subscribe(1)
    fixture.links.pop_sent()
    fixture.pass_time(SUBSCRIPTION_TTL + timedelta(milliseconds=1))
    fixture.feeder.send_heartbeats_if_due()
    fixture.change(2)
    assert fixture.links.pop_sent() == []


def test_message_that_unpacks_to_much_more_than_its_length_is_rejected():
    many = pack_changes([Removal("", 1)] * 1_000_000)
    long = pack_changes([Item("a", b"x" * 20_000_000, 1)])
    assert max(len(many), len(long)) < 200_000
    for packed in (many, long):
        tracemalloc.start()
        with pytest.raises(BadValue):
            unpack_changes(packed)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 40_000_000


def test_small_machine_unpacks_less():
    packed = pack_changes([Item("a", b"x" * 5_000_000, 1)])
    assert len(unpack_changes(packed)) == 1
    with pytest.raises(BadValue):
        unpack_changes(packed, MemoryPlan(64 << 20).relays)


def test_undecodable_changes_raise():
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
def test_subscriber_converges_whatever_is_lost(steps):
    fixture = FeederFixture()
    receiver = make_follower(fixture.clock)
    revision = 1
    fixture.subscribe(0)
    in_flight = fixture.links.pop_sent()
    for step in steps:
        match step:
            case ("change", key):
                revision += 1
                fixture.change(revision, key)
            case ("deliver",):
                apply_all(receiver, in_flight)
                in_flight = []
                fixture.subscribe(receiver.revision)
            case ("lose",):
                in_flight = []
            case ("wait",):
                fixture.pass_time(RESEND_TIMEOUT / 4)
                fixture.subscribe(receiver.revision if receiver.known else 0)
            case ("restart",):
                receiver = make_follower(fixture.clock)
                in_flight = []
                fixture.subscribe(0)
        in_flight += fixture.links.pop_sent()
        # Apart from heartbeats, at most one message is on its way until it is lost.
        assert sum(not isinstance(item, RelayCurrent) for item in in_flight) <= 2
    for _ in range(12):
        fixture.pass_time(RESEND_TIMEOUT / 4)
        fixture.subscribe(receiver.revision if receiver.known else 0)
        apply_all(receiver, in_flight + fixture.links.pop_sent())
        in_flight = []
    assert dict(list_items(receiver)) == dict(list_items(fixture.follower))


def apply_all(receiver, messages):
    """Apply messages as `walkcart.membership.relaying.Relay` does."""
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


def list_items(follower):
    return ((item.key, item.value) for item in follower.items())
