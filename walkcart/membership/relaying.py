"""What instances read from the shared store, passed on to each other.

Two uses. In a large fleet a few instances of each data centre watch the store and feed
the others, so that the store's calls don't grow with the fleet. In any fleet an
instance that the store turns away while it serves others is fed by one of those.

A feed is a subscription that the receiver renews. The feeder sends changes as they
come, and signs of life while its own calls of the store succeed. A receiver that hears
nothing for a while watches the store itself.

See Also:
    `walkcart.store.following.PrefixFollower`, whose copies are fed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import Registration
from walkcart.routing.shares import rank_rendezvous
from walkcart.store.calls import StoreCalls
from walkcart.store.following import PrefixFollower
from walkcart.store.items import Change, Item, Removal
from walkcart.store.updates import Origin
from walkcart.wire.messagebase import Message
from walkcart.wire.relays import (
    RelayChanges,
    RelayCopy,
    RelayedItem,
    RelaySubscribe,
)

#: Fleets up to this size watch the store with every instance: few calls, no detour.
FEW_INSTANCES = 12
#: Instances of each data centre that watch the store in a larger fleet: what they pass
#: on stays inside.
WATCHERS = 2
#: Between two signs of life of a feeder.
BEAT = timedelta(seconds=0.7)
#: A receiver that heard nothing for this long watches the store itself: within the
#: three seconds that operators allow for a change it must still read it.
SILENCE = timedelta(seconds=1.6)
#: An instance that has just started reads the store itself; only after this is it fed
#: all of the copies. A reading takes some 50 ms.
FIRST_READ_TIME = timedelta(seconds=0.3)
#: A subscription ends this long after it was renewed last.
SUBSCRIPTION = timedelta(seconds=3)
#: A feeder whose last successful call is older sends no signs of life: it renews its
#: lease each second, and a slow store answers within half of one.
FRESH = timedelta(seconds=1.6)


@dataclass(frozen=True, slots=True)
class _SentState:
    """What a subscriber was sent of one prefix last.

    Args:
        revision: that it then has.
        earlier: that it was sent up to when it told last what it has.
    """

    revision: int
    earlier: int

    def take_word(self, told: int) -> _SentState:
        """Return the state after a subscriber told what it has.

        What was sent since it told before may be on its way. If it lacks more than
        that, a message was lost, or its process is new: it is sent all from there.
        """
        if told < self.earlier:
            return _SentState(told, told)
        return _SentState(self.revision, self.revision)


class Relay:
    """Feeds the copies of other instances, and has this one's fed.

    Args:
        followers: the copies.
        calls: tells whether the store serves this instance.
        links: to the other instances.
        registration: knows them.
        clock: source of time.
        events: where feeds that begin and end are logged.
    """

    def __init__(
        self,
        followers: Iterable[PrefixFollower],
        calls: StoreCalls,
        links: PeerLinks,
        registration: Registration,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._followers = {follower.prefix: follower for follower in followers}
        self._calls = calls
        self._links = links
        self._registration = registration
        self._clock = clock
        self._events = events
        self._subscribers: dict[str, float] = {}
        self._sent: dict[tuple[str, str], _SentState] = {}
        self._feeder: str | None = None
        #: When each prefix was brought up to date last: one may be, another not.
        self._heard_at = dict.fromkeys(self._followers, float("-inf"))
        self._silent: dict[str, float] = {}
        self._fed = False
        for follower in self._followers.values():
            follower.on_change = self._note_change
        self._changed_at = dict.fromkeys(self._followers, clock.monotonic())
        links.on(RelaySubscribe, self._on_subscribe)
        links.on_work(RelayChanges, self._on_changes)
        links.on_work(RelayCopy, self._on_copy)

    @property
    def watches(self) -> bool:
        """Whether this instance is one of those that watch the store."""
        if self._is_few():
            return True
        return self._registration.own.name in self._rank(own=True)[:WATCHERS]

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Subscribe, feed and look at the feed, until cancelled."""
        task_status.started()
        await trio.sleep(FIRST_READ_TIME.total_seconds())
        while True:
            self._look_at_feed()
            self._beat()
            await trio.sleep(BEAT.total_seconds())

    def _is_few(self) -> bool:
        return len(self._registration.others()) + 1 <= FEW_INSTANCES

    def _rank(self, own: bool) -> list[str]:
        """Return the instances of this data centre in the order in which they watch."""
        me = self._registration.own
        names = [
            record.name
            for record in self._registration.others()
            if record.peer_address
            and (record.data_centre == me.data_centre or self._is_few())
        ]
        if own:
            names.append(me.name)
        return sorted(names, key=lambda name: rank_rendezvous(me.data_centre, name))

    def _look_at_feed(self) -> None:
        """Choose a feeder where one is wanted, and note whether it feeds."""
        now = self._clock.monotonic()
        wanted = not self.watches or not self._calls.reachable
        if not wanted:
            self._set_fed(False, "watches itself")
            self._feeder = None
            return
        if now - min(self._heard_at.values()) > SILENCE.total_seconds():
            self._set_fed(False, "silence")
            if self._feeder is not None:
                self._silent[self._feeder] = now
            self._feeder = self._choose_feeder()
        if self._feeder is not None:
            revisions = {
                prefix: follower.revision if follower.known else 0
                for prefix, follower in self._followers.items()
            }
            self._links.send(self._feeder, RelaySubscribe(revisions))

    def _choose_feeder(self) -> str | None:
        """Return the first in order, the ones silent longest ago before others."""
        names = self._rank(own=False)
        if not self._is_few():
            names = names[: WATCHERS + 1]
        if not names:
            return None
        return min(names, key=lambda name: self._silent.get(name, float("-inf")))

    def _set_fed(self, fed: bool, reason: str) -> None:
        if fed == self._fed:
            return
        self._fed = fed
        self._events.emit(Events.FEED, fed=fed, feeder=self._feeder, reason=reason)
        for follower in self._followers.values():
            follower.set_fed(fed)

    def _feeds(self) -> bool:
        """Return whether this instance knows the store's present state."""
        age = self._clock.monotonic() - self._calls.last_success
        served = self._calls.reachable and age <= FRESH.total_seconds()
        return served and self.watches

    def _beat(self) -> None:
        """Send signs of life to the subscribers."""
        limit = self._clock.monotonic() - SUBSCRIPTION.total_seconds()
        for name in [key for key, at in self._subscribers.items() if at < limit]:
            del self._subscribers[name]
        for follower in self._followers.values():
            self._publish(follower)

    def _note_change(self, follower: PrefixFollower) -> None:
        self._changed_at[follower.prefix] = self._clock.monotonic()
        self._publish(follower)

    def _publish(self, follower: PrefixFollower) -> None:
        """Send the subscribers what changed since what they were sent last."""
        if not self._feeds() or not follower.known:
            return
        for name in self._subscribers:
            self._send_changes(name, follower)

    def _send_changes(self, name: str, follower: PrefixFollower) -> None:
        sent = self._sent.get((name, follower.prefix))
        base = sent.revision if sent else 0
        changes = follower.changes_after(base)
        changed_ago = self._clock.monotonic() - self._changed_at[follower.prefix]
        if changes is None:
            message: Message = RelayCopy(
                follower.prefix,
                follower.revision,
                tuple(_encode(item) for item in follower.items()),
                changed_ago,
            )
        else:
            encoded = tuple(_encode(change) for change in changes)
            message = RelayChanges(
                follower.prefix, base, follower.revision, encoded, changed_ago
            )
        if self._links.send(name, message):
            earlier = sent.earlier if sent else 0
            state = _SentState(follower.revision, earlier)
            self._sent[(name, follower.prefix)] = state

    def _on_subscribe(self, sender: str, message: Message) -> None:
        assert isinstance(message, RelaySubscribe)
        first = sender not in self._subscribers
        self._subscribers[sender] = self._clock.monotonic()
        for prefix, revision in message.revisions.items():
            follower = self._followers.get(prefix)
            if follower is None:
                continue
            sent = self._sent.get((sender, prefix))
            if first or sent is None:
                sent = _SentState(revision, revision)
            self._sent[(sender, prefix)] = sent.take_word(revision)
            if first and self._feeds() and follower.known:
                self._send_changes(sender, follower)

    def _on_changes(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, RelayChanges)
        follower = self._take_from(sender, message.prefix)
        if follower is None:
            return
        if follower.known and follower.revision >= message.base:
            changes = [_decode(item) for item in message.changes]
            origin = Origin(sender, message.changed_ago + age)
            follower.apply(changes, message.revision, origin)
            self._note_heard(message.prefix)

    def _on_copy(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, RelayCopy)
        follower = self._take_from(sender, message.prefix)
        if follower is None:
            return
        if not follower.known or message.revision >= follower.revision:
            found = {
                item.key: Item(item.key, item.value, item.revision)
                for item in message.items
            }
            origin = Origin(sender, message.changed_ago + age)
            follower.replace(found, message.revision, origin)
        self._note_heard(message.prefix)

    def _take_from(self, sender: str, prefix: str) -> PrefixFollower | None:
        return self._followers.get(prefix) if sender == self._feeder else None

    def _note_heard(self, prefix: str) -> None:
        self._heard_at[prefix] = self._clock.monotonic()
        if all(follower.known for follower in self._followers.values()):
            self._set_fed(True, "heard")


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
