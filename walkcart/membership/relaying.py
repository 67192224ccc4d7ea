"""Relaying of stored data between instances, so that few of them read the store.

This serves two purposes. In a large fleet a few instances of each data centre watch the
store and feed the others, so that the number of store calls doesn't grow with the
fleet. In any fleet, an instance that the store rejects is fed by one that it serves.

A feed is a subscription that the receiver renews. The feeder sends changes, and
heartbeats while the store serves it. Each message states the age of the feeder's copy.
Adding the time that the message was on its way, the receiver knows when its own copy
was last confirmed complete. If that is too long ago, for whatever reason, the receiver
reads the store itself: a late feeder is no better than a silent one.

See Also:
    `walkcart.store.follower.PrefixFollower`, which holds a copy.
    `walkcart.membership.feeding.Feeder`, the sender.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from math import isfinite
from random import Random

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.membership.feeding import MAX_UNPACKED_BYTES, Feeder, unpack_changes
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import Registration
from walkcart.membership.watchchecks import WatchChecks
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

#: Time between two checks of the copies' age.
CHECK_INTERVAL = timedelta(seconds=0.35)
#: Checks between two renewals of the subscription.
CHECKS_PER_RENEWAL = 2
#: A receiver whose copy was last confirmed complete longer ago reads the store itself.
#: Heartbeats come each second. Together with the time between two checks and a read of
#: about 0.3 s on a busy machine, this stays within the three seconds that operators
#: allow for a change to take effect.
LATE = timedelta(seconds=1.8)
#: A feeder is accepted again once the copy is this new. The gap to `LATE` prevents a
#: feeder that is barely late from causing a read of the store each second.
GOOD = timedelta(seconds=0.9)
#: Time after the start until an instance subscribes. Before that it reads the store
#: itself, which takes about 50 ms; a feeder would have to send all of the copies.
FIRST_READ_DELAY = timedelta(seconds=0.3)
#: An instance that the store hasn't served for this long rejects its subscribers. A
#: single failed call isn't enough.
MAX_UNSERVED_TIME = timedelta(seconds=0.3)
#: An instance that is no longer a watcher, because others joined, goes on feeding for
#: this long while it has subscribers: they read the list of instances less often.
HANDOVER_TIME = timedelta(seconds=20)


class Relay:
    """Feeds other instances, and subscribes this one to a feeder.

    Args:
        followers: the local copies.
        calls: the store's calls, which tell whether the store serves this instance.
        links: links to the other instances.
        registration: lists the other instances.
        clock: source of time.
        events: log of feeds that begin and end.
        metrics: reports the age of the copies.
        random: source of delays.
        max_unpacked: largest number of bytes that one message is unpacked to.
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
        random: Random,
        max_unpacked: int = MAX_UNPACKED_BYTES,
    ) -> None:
        self._max_unpacked = max_unpacked
        self._followers = {follower.prefix: follower for follower in followers}
        self._calls = calls
        self._links = links
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._registration = registration
        self._watchers = Watchers(registration)
        self._feeder_choice = FeederChoice(
            self._watchers, clock, lambda: calls.reachable
        )
        self._last_heard_at = float("-inf")
        #: When the feeder last confirmed each prefix as complete; one may be up to date
        #: while another isn't.
        self._complete_at = dict.fromkeys(self._followers, float("-inf"))
        self._is_fed = False
        self._last_watcher_at = float("-inf")
        own_feeder = Feeder(
            self._followers, links, clock, self._may_feed, self._on_refused
        )
        self._feeder = own_feeder
        self._checks = WatchChecks(
            self._followers.values(),
            calls,
            links,
            self._watchers,
            lambda: self.is_watching,
            clock,
            random,
        )
        registration.on_renewed(own_feeder.send_heartbeats_if_due)
        for follower in self._followers.values():
            follower.on_watch_resumed = self._refresh_soon
        links.on(RelayUnserved, self._on_unserved)
        links.on_with_age(RelayChanges, self._on_changes)
        links.on_with_age(RelayCopy, self._on_copy)
        links.on_with_age(RelayCurrent, self._on_current)

    @property
    def is_watching(self) -> bool:
        """Whether this instance watches the store for others."""
        return (
            self._watchers.is_watcher()
            or self._is_handing_over()
            or self._is_substitute()
        )

    def _is_handing_over(self) -> bool:
        """Return whether this instance was a watcher recently and has subscribers."""
        age = self._clock.monotonic() - self._last_watcher_at
        return age < HANDOVER_TIME.total_seconds() and self._feeder.has_subscribers()

    def _is_substitute(self) -> bool:
        """Return whether this instance has subscribers but no feeder of its own."""
        return not self._is_fed and self._feeder.has_subscribers()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Keep the subscription, and check the feed and watches, until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._checks.run)
            task_status.started()
            await self._keep_subscription()

    async def _keep_subscription(self) -> None:
        await trio.sleep(FIRST_READ_DELAY.total_seconds())
        checks = 0
        while True:
            self._check_feed()
            if checks % CHECKS_PER_RENEWAL == 0:
                self._renew_subscription()
            checks += 1
            await trio.sleep(CHECK_INTERVAL.total_seconds())

    def _may_feed(self) -> bool:
        return self._calls.reachable and self.is_watching

    def _check_feed(self) -> None:
        """Choose a feeder if one is needed, and replace one that is late.

        Another feeder is tried first. If it doesn't help in time, the store is read.
        """
        now = self._clock.monotonic()
        self._report_age(now)
        if self._calls.find_outage_time() > MAX_UNSERVED_TIME.total_seconds():
            self._feeder.reject_subscribers()
        if self._registration.is_settled and self._watchers.is_watcher():
            self._last_watcher_at = now
            for follower in self._followers.values():
                follower.begin_watching()
        should_watch = self._watchers.is_watcher() or self._is_handing_over()
        if should_watch and self._calls.reachable:
            self._feeder_choice.clear()
            self._set_fed(False, "watches itself")
            return
        age = now - min(self._complete_at.values())
        is_late = age > SUSPECT.total_seconds() and self._feeder_choice.is_grace_over()
        if is_late or self._feeder_choice.is_far_too_long():
            self._choose_feeder()
        if age > LATE.total_seconds():
            heard = now - self._last_heard_at <= LATE.total_seconds()
            self._set_fed(False, "late" if heard else "silence", age)

    def _choose_feeder(self) -> None:
        if self._feeder_choice.feeder is not None:
            # Without a feeder this instance must know whether it can read the store.
            self._registration.renew_soon()
        self._feeder_choice.switch_to_next()
        self._renew_subscription()

    def _on_unserved(self, sender: str, message: Message) -> None:
        """Switch at once to another feeder that hasn't just failed."""
        if sender != self._feeder_choice.feeder:
            return
        if self._feeder_choice.switch_to_other():
            self._renew_subscription()
        else:
            self._become_substitute()

    def _refresh_soon(self) -> None:
        """Call the store now, since the subscribers' copies aged during a pause."""
        if self._feeder.has_subscribers():
            self._registration.renew_soon()

    def _on_refused(self, sender: str) -> None:
        """Reject a subscriber that can't be fed, or begin to read the store for it."""
        if self._calls.find_outage_time() > MAX_UNSERVED_TIME.total_seconds():
            self._links.send(sender, RelayUnserved())
        elif self._feeder_choice.find_responsive() is None:
            self._become_substitute()

    def _become_substitute(self) -> None:
        """Read the store for the subscribers, as this instance has no feeder left."""
        if self._calls.reachable and self._feeder.has_subscribers():
            self._set_fed(False, "stands in")

    def _renew_subscription(self) -> None:
        """Renew the subscription, which also acknowledges received messages."""
        feeder = self._feeder_choice.feeder
        if feeder is None:
            return
        revisions = {
            prefix: follower.revision if follower.known else 0
            for prefix, follower in self._followers.items()
        }
        self._links.send(feeder, RelaySubscribe(revisions))

    def _report_age(self, now: float) -> None:
        """Report how long ago the oldest copy was confirmed complete."""
        ages = [now - follower.current_at for follower in self._followers.values()]
        if isfinite(max(ages)):
            self._metrics.gauge("intent.age", max(ages))

    def _set_fed(self, fed: bool, reason: str, age: float = 0.0) -> None:
        if fed == self._is_fed:
            return
        self._is_fed = fed
        if fed:
            # These subscribed while this instance had no feeder.
            self._feeder.reject_subscribers()
        self._events.emit(
            Events.FEED,
            fed=fed,
            feeder=self._feeder_choice.feeder,
            reason=reason,
            age_ms=round(age * 1000) if isfinite(age) else None,
        )
        for follower in self._followers.values():
            follower.set_fed(fed)

    def _on_changes(self, sender: str, message: Message, delay: float) -> None:
        assert isinstance(message, RelayChanges)
        follower = self._find_fed_copy(sender, message.prefix)
        if follower is None:
            return
        if follower.known and follower.revision >= message.base:
            try:
                changes = unpack_changes(message.packed, self._max_unpacked)
            except BadValue as error:
                self._report_bad_message(sender, error)
                return
            origin = Origin(sender, message.age.changed + delay)
            follower.apply(changes, message.revision, origin)
            self._record_complete(
                follower, message.revision, message.age.current + delay
            )
        self._renew_subscription()

    def _on_copy(self, sender: str, message: Message, delay: float) -> None:
        assert isinstance(message, RelayCopy)
        follower = self._find_fed_copy(sender, message.prefix)
        if follower is None:
            return
        if not follower.known or message.revision >= follower.revision:
            try:
                items = unpack_changes(message.packed, self._max_unpacked)
            except BadValue as error:
                self._report_bad_message(sender, error)
                return
            found = {item.key: item for item in items}
            origin = Origin(sender, message.age.changed + delay)
            follower.replace(found, message.revision, origin)
            self._record_complete(
                follower, message.revision, message.age.current + delay
            )
        self._renew_subscription()

    def _on_current(self, sender: str, message: Message, delay: float) -> None:
        assert isinstance(message, RelayCurrent)
        if message.confirmed or sender != self._feeder_choice.feeder:
            self._checks.record_states(message, delay)
        if sender != self._feeder_choice.feeder:
            return
        for prefix, state in message.states.items():
            follower = self._find_fed_copy(sender, prefix)
            if follower is None or not follower.known:
                continue
            if follower.revision >= state.latest_change:
                self._record_complete(
                    follower, state.revision, state.current_age + delay
                )

    def _find_fed_copy(self, sender: str, prefix: str) -> PrefixFollower | None:
        """Return the copy that the sender feeds; None if it isn't the feeder."""
        if sender != self._feeder_choice.feeder:
            return None
        self._last_heard_at = self._clock.monotonic()
        return self._followers.get(prefix)

    def _report_bad_message(self, sender: str, error: BadValue) -> None:
        detail = str(error)[:200]
        self._events.emit(Events.PEER_BAD_MESSAGE, peer=sender, detail=detail)

    def _record_complete(
        self, follower: PrefixFollower, revision: int, age: float
    ) -> None:
        """Record that a copy was complete to `revision` at most `age` seconds ago."""
        now = self._clock.monotonic()
        follower.record_current(revision, now - age)
        held = self._complete_at[follower.prefix]
        self._complete_at[follower.prefix] = max(held, now - age)
        age = now - min(self._complete_at.values())
        if age <= GOOD.total_seconds():
            self._set_fed(True, "heard", age)
