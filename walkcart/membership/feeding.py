"""Replication of the local copies of stored prefixes to subscribed instances.

The feeder sends state, not a log of changes. For each prefix a subscriber gets the
difference from the revision that it last acknowledged, and nothing more until it
acknowledges that message. So at most one message of a prefix is on its way to a
subscriber, and a slow link or receiver gets fewer versions instead of later ones. The
amount queued doesn't depend on how often the configuration changes: when every version
was sent in turn, a feeder on a link of 10 Mbit/s fell 6 s behind under six changes a
second.

See Also:
    `walkcart.membership.relaying.Relay`, the receiver.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from msgspec import Meta

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

#: A subscription expires this long after its last renewal.
SUBSCRIPTION_TTL = timedelta(seconds=3)
#: A message that isn't acknowledged within this time counts as lost. A full copy of 170
#: KB to each of 12 subscribers takes 1.6 s on a link of 10 Mbit/s if it doesn't
#: compress.
RESEND_TIMEOUT = timedelta(seconds=2)
#: Shortest time between two heartbeats. One is due after each renewal of the lease,
#: about once a second, so that it carries a recent confirmation.
HEARTBEAT_INTERVAL = timedelta(seconds=0.5)
#: A copy that was last confirmed complete longer ago is not sent to subscribers.
MAX_COPY_AGE = timedelta(seconds=1.6)
#: Compression level of zlib. Level 1 packs a configuration of 21,676 bytes into 2,627
#: in 0.15 ms of CPU time; level 6 packs it into 2,539 in 0.41 ms.
ZLIB_LEVEL = 1
#: Limits for an unpacked message, so that a small message can't exhaust the memory: its
#: size in bytes on a machine of unknown memory, and the number of changes, since even
#: an empty one takes some 200 bytes as an object.
MAX_UNPACKED_BYTES = 16 << 20
MAX_UNPACKED_CHANGES = 50_000


@dataclass(frozen=True, slots=True)
class _SentMessage:
    """A message that the subscriber has not acknowledged yet.

    Args:
        revision: the revision that the subscriber has once it applied the message.
        sent_at: when the message was queued, in seconds.
    """

    revision: int
    sent_at: float


class _Subscriber:
    """The state of one subscription."""

    def __init__(self) -> None:
        self.renewed_at = float("-inf")
        #: The revision that the subscriber last reported, by prefix.
        self.told: dict[str, int] = {}
        #: The message of each prefix that is not acknowledged yet.
        self.in_flight: dict[str, _SentMessage] = {}

    def record_revision(self, prefix: str, revision: int, now: float) -> None:
        """Record the revision of a prefix that the subscriber reports."""
        sent_message = self.in_flight.get(prefix)
        if sent_message is not None:
            arrived = revision >= sent_message.revision
            lost = now - sent_message.sent_at > RESEND_TIMEOUT.total_seconds()
            # A lower revision than before comes from a new process, for which no
            # message is on its way.
            restarted = revision < self.told.get(prefix, 0)
            if arrived or lost or restarted:
                del self.in_flight[prefix]
        self.told[prefix] = revision


class Feeder:
    """Sends changes and heartbeats to subscribers.

    Args:
        followers: the local copies, by prefix.
        links: links to the other instances.
        clock: source of time.
        may_feed: returns whether this instance watches the store and can reach it.
        on_refused: called with the name of an instance that subscribes while `may_feed`
            returns False.
    """

    def __init__(
        self,
        followers: Mapping[str, PrefixFollower],
        links: PeerLinks,
        clock: Clock,
        may_feed: Callable[[], bool],
        on_refused: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._followers = followers
        self._links = links
        self._clock = clock
        self._may_feed = may_feed
        self._on_refused = on_refused
        self._subscribers: dict[str, _Subscriber] = {}
        self._changed_at = dict.fromkeys(followers, clock.monotonic())
        self._heartbeat_at = float("-inf")
        #: The last packed changes of each prefix, with the revisions before and after
        #: them; most subscribers need the same ones. A full copy has -1 as the first.
        self._packed: dict[str, tuple[tuple[int, int], bytes]] = {}
        for follower in followers.values():
            follower.on_change = self._on_change
            follower.on_current = self._send_heartbeats
        links.on(RelaySubscribe, self._on_subscribe)

    def has_subscribers(self) -> bool:
        """Return whether there are subscriptions that have not expired."""
        self._drop_expired(self._clock.monotonic())
        return bool(self._subscribers)

    def reject_subscribers(self) -> None:
        """End all subscriptions and tell the subscribers to ask another instance."""
        for name in self._subscribers:
            self._links.send(name, RelayUnserved())
        self._subscribers.clear()

    def send_heartbeats_if_due(self) -> None:
        """Send heartbeats if they are due; called after a renewal of the lease."""
        now = self._clock.monotonic()
        oldest = min(follower.current_at for follower in self._followers.values())
        # While a watch is paused there is no newer confirmation to send.
        if (
            now - oldest
            <= HEARTBEAT_INTERVAL.total_seconds()
            <= now - self._heartbeat_at
        ):
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        """Send missing changes and heartbeats; copies age while a watch is paused."""
        now = self._clock.monotonic()
        self._heartbeat_at = now
        self._drop_expired(now)
        if not self._subscribers or not self._may_feed():
            return
        for name, subscriber in self._subscribers.items():
            for follower in self._followers.values():
                self._send_missing(name, subscriber, follower)
            self._send_current(name, subscriber)

    def _drop_expired(self, now: float) -> None:
        limit = now - SUBSCRIPTION_TTL.total_seconds()
        for name, subscriber in list(self._subscribers.items()):
            if subscriber.renewed_at < limit:
                del self._subscribers[name]

    def _on_change(self, follower: PrefixFollower) -> None:
        self._changed_at[follower.prefix] = self._clock.monotonic()
        if not self._may_feed():
            return
        for name, subscriber in self._subscribers.items():
            self._send_missing(name, subscriber, follower)

    def _on_subscribe(self, sender: str, message: Message) -> None:
        assert isinstance(message, RelaySubscribe)
        now = self._clock.monotonic()
        first = sender not in self._subscribers
        subscriber = self._subscribers.setdefault(sender, _Subscriber())
        subscriber.renewed_at = now
        for prefix, revision in message.revisions.items():
            if prefix in self._followers:
                subscriber.record_revision(prefix, revision, now)
        if not self._may_feed():
            self._on_refused(sender)
            return
        for follower in self._followers.values():
            self._send_missing(sender, subscriber, follower)
        if first:
            self._send_current(sender, subscriber)

    def _send_missing(
        self, name: str, subscriber: _Subscriber, follower: PrefixFollower
    ) -> None:
        """Send a subscriber the changes of a prefix that it lacks.

        Sends nothing while an earlier message of the prefix is not acknowledged.
        """
        prefix = follower.prefix
        if prefix in subscriber.in_flight or not self._is_fresh(follower):
            return
        base = subscriber.told.get(prefix, 0)
        changes = follower.changes_after(base)
        if changes == ():
            return
        if self._links.send(name, self._make_message(follower, base, changes)):
            now = self._clock.monotonic()
            subscriber.in_flight[prefix] = _SentMessage(follower.revision, now)

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

    def _send_current(self, name: str, subscriber: _Subscriber) -> None:
        """Send the revision and age of each copy that the subscriber has in full."""
        now = self._clock.monotonic()
        states = {
            prefix: RelayedState(
                follower.latest_change, follower.revision, now - follower.current_at
            )
            for prefix, follower in self._followers.items()
            if prefix not in subscriber.in_flight and self._is_fresh(follower)
        }
        if states:
            self._links.send(name, RelayCurrent(states))

    def _is_fresh(self, follower: PrefixFollower) -> bool:
        age = self._clock.monotonic() - follower.current_at
        return follower.known and age <= MAX_COPY_AGE.total_seconds()


def pack_changes(changes: Iterable[Change]) -> bytes:
    """Return changes as compressed bytes for a message."""
    return pack_value(tuple(_encode(change) for change in changes), ZLIB_LEVEL)


_Rows = Annotated[tuple[RelayedItem, ...], Meta(max_length=MAX_UNPACKED_CHANGES)]


def unpack_changes(packed: bytes, limit: int = MAX_UNPACKED_BYTES) -> list[Change]:
    """Return the changes from the compressed bytes of a message.

    Args:
        packed: the compressed bytes.
        limit: largest number of bytes that are decompressed.

    Raises:
        walkcart.store.packing.BadValue: the bytes can't be decoded.
    """
    rows = unpack_value(packed, _Rows, limit)
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
