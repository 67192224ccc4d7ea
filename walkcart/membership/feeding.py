"""Passing the copies of what the store holds on to subscribers.

State is passed on, not a log of changes: of each prefix a subscriber is sent what
differs from what it last said to have, and nothing more before it has acknowledged
that. So at most one message of a prefix is on its way to a subscriber, a slow link or
receiver gets fewer versions rather than later ones, and how much waits doesn't depend
on how often the configuration changes: with whole versions in turn a feeder on a link
of 10 Mbit/s fell 6 s behind under six changes a second.

See Also:
    `walkcart.membership.relaying.Relay`, the receiver.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.store.follower import PrefixFollower
from walkcart.store.items import Change, Item, Removal
from walkcart.store.packing import pack_value, unpack_value
from walkcart.wire.messagebase import Message
from walkcart.wire.relays import (
    RelayAge,
    RelayChanges,
    RelayCopy,
    RelayCurrent,
    RelayedItem,
    RelayedState,
    RelaySubscribe,
    RelayUnserved,
)

#: A subscription ends this long after it was renewed last.
SUBSCRIPTION = timedelta(seconds=3)
#: A message that wasn't acknowledged after this is taken for lost: a full copy of 170
#: KB to each of 12 subscribers takes 1.6 s on a link of 10 Mbit/s if it can't be
#: packed.
RESEND = timedelta(seconds=2)
#: Least time between two signs of life. One is due when the store has served a call,
#: which it does each second, so that it is new when it is sent.
BEAT = timedelta(seconds=0.5)
#: A copy that was surely complete longer ago isn't passed on as one that is.
FRESH = timedelta(seconds=1.6)
#: Level of zlib: 2,627 bytes of a configuration of 21,676 in 0.15 ms of a processor;
#: level 6 makes 2,539 of them in 0.41 ms.
PACK_LEVEL = 1
#: Bytes that a message may unpack to, so that a small one can't fill the memory.
UNPACK_LIMIT = 64 << 20


@dataclass(frozen=True, slots=True)
class _Flight:
    """A message that wasn't acknowledged yet.

    Args:
        revision: that the subscriber has when it arrived.
        sent_at: when it was queued, in seconds.
    """

    revision: int
    sent_at: float


class _Subscriber:
    """What is known of one subscriber."""

    def __init__(self) -> None:
        self.renewed_at = float("-inf")
        #: By prefix, the revision that it last said to have.
        self.told: dict[str, int] = {}
        self.flights: dict[str, _Flight] = {}

    def take_word(self, prefix: str, revision: int, now: float) -> None:
        """Note what the subscriber has of a prefix."""
        flight = self.flights.get(prefix)
        if flight is not None:
            arrived = revision >= flight.revision
            lost = now - flight.sent_at > RESEND.total_seconds()
            # One that has less than it had is a new process: nothing is on its way.
            is_new = revision < self.told.get(prefix, 0)
            if arrived or lost or is_new:
                del self.flights[prefix]
        self.told[prefix] = revision


class Feeder:
    """Sends subscribers what changed, and signs of life.

    Args:
        followers: the copies, by prefix.
        links: to the other instances.
        clock: source of time.
        may_feed: whether this instance watches the store and is served by it.
        on_asked: told who asks while it may not.
    """

    def __init__(
        self,
        followers: Mapping[str, PrefixFollower],
        links: PeerLinks,
        clock: Clock,
        may_feed: Callable[[], bool],
        on_asked: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._followers = followers
        self._links = links
        self._clock = clock
        self._may_feed = may_feed
        self._on_asked = on_asked
        self._subscribers: dict[str, _Subscriber] = {}
        self._changed_at = dict.fromkeys(followers, clock.monotonic())
        self._beat_at = float("-inf")
        #: The last packed message of each prefix: most subscribers lack the same.
        self._packed: dict[str, tuple[tuple[int, int], bytes]] = {}
        for follower in followers.values():
            follower.on_change = self._on_change
            follower.on_current = self._beat
        links.on(RelaySubscribe, self._on_subscribe)

    def has_subscribers(self) -> bool:
        """Return whether anybody was asking of late."""
        self._drop_ended(self._clock.monotonic())
        return bool(self._subscribers)

    def turn_away(self) -> None:
        """Tell all subscribers to ask others."""
        for name in self._subscribers:
            self._links.send(name, RelayUnserved())
        self._subscribers.clear()

    def note_served(self) -> None:
        """Send signs of life, now that the store has served a call."""
        now = self._clock.monotonic()
        oldest = min(follower.current_at for follower in self._followers.values())
        # While a watch pauses there is nothing new to say; once it is over there is.
        if now - oldest <= BEAT.total_seconds() <= now - self._beat_at:
            self._beat()

    def _beat(self) -> None:
        """Send signs of life: what a watch has shown ages while it pauses."""
        now = self._clock.monotonic()
        self._beat_at = now
        self._drop_ended(now)
        if not self._subscribers or not self._may_feed():
            return
        for name, subscriber in self._subscribers.items():
            for follower in self._followers.values():
                self._offer(name, subscriber, follower)
            self._send_sign(name, subscriber)

    def _drop_ended(self, now: float) -> None:
        limit = now - SUBSCRIPTION.total_seconds()
        for name, subscriber in list(self._subscribers.items()):
            if subscriber.renewed_at < limit:
                del self._subscribers[name]

    def _on_change(self, follower: PrefixFollower) -> None:
        self._changed_at[follower.prefix] = self._clock.monotonic()
        if not self._may_feed():
            return
        for name, subscriber in self._subscribers.items():
            self._offer(name, subscriber, follower)

    def _on_subscribe(self, sender: str, message: Message) -> None:
        assert isinstance(message, RelaySubscribe)
        now = self._clock.monotonic()
        first = sender not in self._subscribers
        subscriber = self._subscribers.setdefault(sender, _Subscriber())
        subscriber.renewed_at = now
        for prefix, revision in message.revisions.items():
            if prefix in self._followers:
                subscriber.take_word(prefix, revision, now)
        if not self._may_feed():
            self._on_asked(sender)
            return
        for follower in self._followers.values():
            self._offer(sender, subscriber, follower)
        if first:
            self._send_sign(sender, subscriber)

    def _offer(
        self, name: str, subscriber: _Subscriber, follower: PrefixFollower
    ) -> None:
        """Send a subscriber what it lacks of a prefix, if nothing is on its way."""
        prefix = follower.prefix
        if prefix in subscriber.flights or not self._is_fresh(follower):
            return
        base = subscriber.told.get(prefix, 0)
        changes = follower.changes_after(base)
        if changes == ():
            return
        if self._links.send(name, self._make_message(follower, base, changes)):
            now = self._clock.monotonic()
            subscriber.flights[prefix] = _Flight(follower.revision, now)

    def _make_message(
        self,
        follower: PrefixFollower,
        base: int,
        changes: tuple[Change, ...] | None,
    ) -> Message:
        prefix, revision = follower.prefix, follower.revision
        now = self._clock.monotonic()
        age = RelayAge(now - follower.current_at, now - self._changed_at[prefix])
        if changes is None:
            packed = self._pack(prefix, -1, revision, follower.items())
            return RelayCopy(prefix, revision, packed, age)
        packed = self._pack(prefix, base, revision, changes)
        return RelayChanges(prefix, base, revision, packed, age)

    def _pack(
        self, prefix: str, base: int, revision: int, changes: Iterable[Change]
    ) -> bytes:
        held = self._packed.get(prefix)
        if held is not None and held[0] == (base, revision):
            return held[1]
        packed = pack_changes(changes)
        self._packed[prefix] = ((base, revision), packed)
        return packed

    def _send_sign(self, name: str, subscriber: _Subscriber) -> None:
        """Say where the copies stand that the subscriber lacks nothing of."""
        now = self._clock.monotonic()
        states = {
            prefix: RelayedState(
                follower.latest_change, follower.revision, now - follower.current_at
            )
            for prefix, follower in self._followers.items()
            if prefix not in subscriber.flights and self._is_fresh(follower)
        }
        if states:
            self._links.send(name, RelayCurrent(states))

    def _is_fresh(self, follower: PrefixFollower) -> bool:
        age = self._clock.monotonic() - follower.current_at
        return follower.known and age <= FRESH.total_seconds()


def pack_changes(changes: Iterable[Change]) -> bytes:
    """Return the bytes of changes for a message."""
    return pack_value(tuple(_encode(change) for change in changes), PACK_LEVEL)


def unpack_changes(packed: bytes) -> list[Change]:
    """Return the changes in a message.

    Raises:
        walkcart.store.packing.BadValue: they can't be read.
    """
    rows = unpack_value(packed, tuple[RelayedItem, ...], UNPACK_LIMIT)
    return [_decode(row) for row in rows]


def _encode(change: Change) -> RelayedItem:
    match change:
        case Item(key, value, revision):
            return RelayedItem(key, revision, value)
        case Removal(key, revision):
            return RelayedItem(key, revision, gone=True)


def _decode(item: RelayedItem) -> Change:
    if item.gone:
        return Removal(item.key, item.revision)
    return Item(item.key, item.value, item.revision)
