"""What instances read from the shared store, passed on to each other.

Two uses. In a large fleet a few instances of each data centre watch the store and feed
the others, so that the store's calls don't grow with the fleet. In any fleet an
instance that the store turns away while it serves others is fed by one of those.

A feed is a subscription that the receiver renews. The feeder sends what changed, and
signs of life while the store serves it. Each message says how old its sender's
knowledge is; with the time that the message was on its way that gives the receiver the
time at which its copy was surely complete. When that is too long ago, for whatever
reason, the receiver reads the store itself: a feeder that is late is no better than a
silent one.

See Also:
    `walkcart.store.follower.PrefixFollower`, whose copies are fed.
    `walkcart.membership.feeding.Feeder`, which sends.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from math import isfinite

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.membership.feeding import Feeder, unpack_changes
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import Registration
from walkcart.membership.watchers import SUSPECT, FeederChoice, Watchers
from walkcart.store.calls import StoreCalls
from walkcart.store.follower import PrefixFollower
from walkcart.store.packing import BadValue
from walkcart.store.updates import Origin
from walkcart.wire.messagebase import Message
from walkcart.wire.relays import (
    RelayChanges,
    RelayCopy,
    RelayCurrent,
    RelaySubscribe,
    RelayUnserved,
)

#: Between two looks at how old the copies are.
LOOK = timedelta(seconds=0.35)
#: Looks between two renewals of the subscription.
RENEW_LOOKS = 2
#: A receiver whose copy was surely complete longer ago reads the store itself. Signs of
#: life come each second; with the time between two looks and a reading of some 0.3 s on
#: a busy machine that stays within the three seconds that operators allow for a change.
LATE = timedelta(seconds=1.8)
#: A feeder is taken for good again when the copy is this new, so that one that is just
#: about late doesn't cost a reading of the store each second.
GOOD = timedelta(seconds=0.9)
#: An instance that has just started reads the store itself; only after this is it fed
#: all of the copies. A reading takes some 50 ms.
FIRST_READ_TIME = timedelta(seconds=0.3)
#: An instance that the store didn't serve for this long sends its subscribers away: a
#: single failed call isn't enough.
UNSERVED = timedelta(seconds=0.3)
#: An instance that need not watch any more, since others joined, feeds on for this long
#: while it is asked: its subscribers read more seldom which instances there are.
HANDOVER = timedelta(seconds=20)


class Relay:
    """Feeds the copies of other instances, and has this one's fed.

    Args:
        followers: the copies.
        calls: tells whether the store serves this instance.
        links: to the other instances.
        registration: knows them.
        clock: source of time.
        events: where feeds that begin and end are logged.
        metrics: where the age of the copies is shown.
    """

    def __init__(
        self,
        followers: Iterable[PrefixFollower],
        calls: StoreCalls,
        links: PeerLinks,
        registration: Registration,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._followers = {follower.prefix: follower for follower in followers}
        self._calls = calls
        self._links = links
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._registration = registration
        self._watchers = Watchers(registration)
        self._choice = FeederChoice(self._watchers, clock, lambda: calls.reachable)
        self._heard_at = float("-inf")
        #: When each prefix was surely complete by the feeder's word: one may be up to
        #: date, another not.
        self._complete_at = dict.fromkeys(self._followers, float("-inf"))
        self._fed = False
        self._ranked_at = float("-inf")
        feeds = Feeder(self._followers, links, clock, self._may_feed, self._on_asked)
        self._feeds = feeds
        calls.on_success(feeds.note_served)
        for follower in self._followers.values():
            follower.on_watch_resumed = self._check_soon
        links.on(RelayUnserved, self._on_unserved)
        links.on_with_age(RelayChanges, self._on_changes)
        links.on_with_age(RelayCopy, self._on_copy)
        links.on_with_age(RelayCurrent, self._on_current)

    @property
    def is_watching(self) -> bool:
        """Whether this instance is one of those that watch the store for others."""
        return self._watchers.is_own() or self._hands_over() or self._stands_in()

    def _hands_over(self) -> bool:
        """Return whether it was one until lately and is still asked."""
        age = self._clock.monotonic() - self._ranked_at
        return age < HANDOVER.total_seconds() and self._feeds.has_subscribers()

    def _stands_in(self) -> bool:
        """Return whether it feeds others because nobody feeds it."""
        return not self._fed and self._feeds.has_subscribers()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Subscribe and look at the feed, until cancelled."""
        task_status.started()
        await trio.sleep(FIRST_READ_TIME.total_seconds())
        looks = 0
        while True:
            self._look_at_feed()
            if looks % RENEW_LOOKS == 0:
                self._tell()
            looks += 1
            await trio.sleep(LOOK.total_seconds())

    def _may_feed(self) -> bool:
        return self._calls.reachable and self.is_watching

    def _look_at_feed(self) -> None:
        """Choose a feeder where one is wanted, and leave one that is late.

        Another one is tried first; when that doesn't help in time the store is read.
        """
        now = self._clock.monotonic()
        self._show_age(now)
        if self._calls.find_outage_time() > UNSERVED.total_seconds():
            self._feeds.turn_away()
        if self._registration.is_settled and self._watchers.is_own():
            self._ranked_at = now
            for follower in self._followers.values():
                follower.begin_watching()
        ranked = self._watchers.is_own() or self._hands_over()
        if ranked and self._calls.reachable:
            self._choice.leave()
            self._set_fed(False, "watches itself")
            return
        age = now - min(self._complete_at.values())
        is_late = age > SUSPECT.total_seconds() and self._choice.is_due()
        if is_late or self._choice.is_far_for_long():
            self._choose_feeder()
        if age > LATE.total_seconds():
            heard = now - self._heard_at <= LATE.total_seconds()
            self._set_fed(False, "late" if heard else "silence", age)

    def _choose_feeder(self) -> None:
        if self._choice.feeder is not None:
            # Should nobody feed this instance it must know whether reading is of use.
            self._registration.renew_soon()
        self._choice.turn_to_next()
        self._tell()

    def _on_unserved(self, sender: str, message: Message) -> None:
        """Ask somebody else at once, who hasn't been found silent just now."""
        if sender != self._choice.feeder:
            return
        if self._choice.turn_to_other():
            self._tell()
        else:
            self._stand_in()

    def _check_soon(self) -> None:
        """Have a call served now: the copies of those whom this one feeds have aged."""
        if self._feeds.has_subscribers():
            self._registration.renew_soon()

    def _on_asked(self, sender: str) -> None:
        """Send away who can't be fed here, or begin to watch for it."""
        if self._calls.find_outage_time() > UNSERVED.total_seconds():
            self._links.send(sender, RelayUnserved())
        elif self._choice.find_other() is None:
            self._stand_in()

    def _stand_in(self) -> None:
        """Read the store at once if others ask and nobody is left to feed this one."""
        if self._calls.reachable and self._feeds.has_subscribers():
            self._set_fed(False, "stands in")

    def _tell(self) -> None:
        """Renew the subscription; that also acknowledges what came."""
        feeder = self._choice.feeder
        if feeder is None:
            return
        revisions = {
            prefix: follower.revision if follower.known else 0
            for prefix, follower in self._followers.items()
        }
        self._links.send(feeder, RelaySubscribe(revisions))

    def _show_age(self, now: float) -> None:
        """Show how long ago the older of the copies was surely complete."""
        ages = [now - follower.current_at for follower in self._followers.values()]
        if isfinite(max(ages)):
            self._metrics.gauge("intent.age", max(ages))

    def _set_fed(self, fed: bool, reason: str, age: float = 0.0) -> None:
        if fed == self._fed:
            return
        self._fed = fed
        if fed:
            # Those whom this instance has fed meanwhile.
            self._feeds.turn_away()
        self._events.emit(
            Events.FEED,
            fed=fed,
            feeder=self._choice.feeder,
            reason=reason,
            age_ms=round(age * 1000) if isfinite(age) else None,
        )
        for follower in self._followers.values():
            follower.set_fed(fed)

    def _on_changes(self, sender: str, message: Message, way: float) -> None:
        assert isinstance(message, RelayChanges)
        follower = self._take_from(sender, message.prefix)
        if follower is None:
            return
        if follower.known and follower.revision >= message.base:
            try:
                changes = unpack_changes(message.packed)
            except BadValue as error:
                self._note_bad(sender, error)
                return
            origin = Origin(sender, message.age.changed + way)
            follower.apply(changes, message.revision, origin)
            self._note_complete(follower, message.revision, message.age.current + way)
        self._tell()

    def _on_copy(self, sender: str, message: Message, way: float) -> None:
        assert isinstance(message, RelayCopy)
        follower = self._take_from(sender, message.prefix)
        if follower is None:
            return
        if not follower.known or message.revision >= follower.revision:
            try:
                items = unpack_changes(message.packed)
            except BadValue as error:
                self._note_bad(sender, error)
                return
            found = {item.key: item for item in items}
            origin = Origin(sender, message.age.changed + way)
            follower.replace(found, message.revision, origin)
            self._note_complete(follower, message.revision, message.age.current + way)
        self._tell()

    def _on_current(self, sender: str, message: Message, way: float) -> None:
        assert isinstance(message, RelayCurrent)
        for prefix, state in message.states.items():
            follower = self._take_from(sender, prefix)
            if follower is None or not follower.known:
                continue
            if follower.revision >= state.latest_change:
                self._note_complete(follower, state.revision, state.current_age + way)

    def _take_from(self, sender: str, prefix: str) -> PrefixFollower | None:
        if sender != self._choice.feeder:
            return None
        self._heard_at = self._clock.monotonic()
        return self._followers.get(prefix)

    def _note_bad(self, sender: str, error: BadValue) -> None:
        detail = str(error)[:200]
        self._events.emit(Events.PEER_BAD_MESSAGE, peer=sender, detail=detail)

    def _note_complete(
        self, follower: PrefixFollower, revision: int, age: float
    ) -> None:
        """Note that a copy was complete up to a revision not longer ago than `age`."""
        now = self._clock.monotonic()
        follower.record_current(revision, now - age)
        held = self._complete_at[follower.prefix]
        self._complete_at[follower.prefix] = max(held, now - age)
        age = now - min(self._complete_at.values())
        if age <= GOOD.total_seconds():
            self._set_fed(True, "heard", age)
