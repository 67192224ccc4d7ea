"""Keeps the configuration in force at an instance up to date.

A few instances of each data centre watch the store and announce a new revision to
their peers at once. Heartbeats carry the revision too, so an instance that missed the
announcement pulls the configuration. Only a revision above the present one is applied,
whatever its source, so a stale read or an outdated peer can't revert a change.

See Also:
    ``docs/design/propagation.md``.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import trio

from walkcart.intent.applying import read_stored
from walkcart.intent.document import (
    CONFIGURATION_KEY,
    EMPTY_DOCUMENT,
    Document,
    DocumentError,
    read_document,
)
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.invariants import Invariants
from walkcart.kernel.metrics import Metrics
from walkcart.membership.links import PeerLinks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.routing.shares import rank_rendezvous
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreUnavailable
from walkcart.store.client import StoreClient
from walkcart.wire.messages import (
    ConfigurationPull,
    ConfigurationPush,
    MemberRecord,
    Message,
)

#: Number of instances of a data centre that watch the store.
WATCHERS_PER_DATA_CENTRE = 2
#: Time after which a watch ends without a change. It is below `ISOLATION_TIMEOUT`, as
#: the reply at its end shows that the store is reachable.
WATCH_TIMEOUT = timedelta(seconds=3)
#: Seconds after which a watch that brings nothing has waited for a change.
MIN_WATCH_TIME = 1.0
#: Interval at which an instance that doesn't watch checks whether it should.
RECHECK_INTERVAL = timedelta(seconds=1)
#: Seconds after which an unanswered pull is repeated, possibly at another peer.
PULL_TIMEOUT = 0.4
#: Seconds without a message from store or peers after which the instance reports that
#: it is isolated.
ISOLATION_TIMEOUT = 5.0
#: Attempts to read the store before the instance starts without it.
MAX_INITIAL_READS = 3


class ConfigurationKeeper:
    """Holds the configuration in force.

    Args:
        store: client of the key-value service.
        view: the peers and their revisions.
        links: links to the peers.
        clock: source of time.
        backoff: waits between attempts during an outage.
        events: log of the revisions.
        metrics: receives the revision in force.
        invariants: checks that the revision never goes down.
    """

    def __init__(
        self,
        store: StoreClient,
        view: MembershipView,
        links: PeerLinks,
        clock: Clock,
        backoff: Backoff,
        events: EventLog,
        metrics: Metrics,
        invariants: Invariants,
    ) -> None:
        self._store = store
        self._view = view
        self._links = links
        self._clock = clock
        self._backoff = backoff
        self._events = events
        self._metrics = metrics
        self._invariants = invariants
        self._document = EMPTY_DOCUMENT
        self._entry_revision = 0
        self._pulled_at = float("-inf")
        #: The last document sent to each peer; it may still be queued.
        self._pushes: dict[str, ConfigurationPush] = {}
        self._listeners: list[Callable[[Document], None]] = []
        self._was_isolated = False
        #: A version of the view, and whether it selects this instance as a watcher;
        #: recomputed only when the version changes.
        self._watcher_selection = (-1, False)
        #: The version of the view in which no peer had a newer revision; the peers are
        #: compared again only when the version changes.
        self._checked_version = -1
        links.on(ConfigurationPull, self._on_pull)
        links.on(ConfigurationPush, self._on_push)
        view.on_change(self._on_member_change)

    @property
    def document(self) -> Document:
        """The configuration in force."""
        return self._document

    def on_change(self, listener: Callable[[Document], None]) -> None:
        """Call `listener` whenever a new configuration is in force."""
        self._listeners.append(listener)

    def is_isolated(self) -> bool:
        """Return whether neither store nor peers were heard for `ISOLATION_TIMEOUT`."""
        last = max(self._store.last_success, self._links.last_received)
        return self._clock.monotonic() - last > ISOLATION_TIMEOUT

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow the configuration until cancelled.

        The service counts as started after the first successful read, or after
        `MAX_INITIAL_READS` failed ones; then it relies on its peers.
        """
        for _ in range(MAX_INITIAL_READS):
            if await self._read_once():
                break
            await self._clock.sleep(self._backoff.next_delay())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_health)
            task_status.started()
            while True:
                if self._should_watch():
                    await self._watch_once()
                else:
                    await self._clock.sleep(RECHECK_INTERVAL)

    async def _read_once(self) -> bool:
        try:
            document, revision = await read_stored(self._store)
        except StoreUnavailable:
            return False
        except DocumentError as error:
            self._events.emit(Events.REVISION_BAD, detail=str(error)[:200])
            return False
        self._backoff.reset()
        self._entry_revision = revision
        self.apply_if_newer(document, "store")
        return True

    async def _watch_once(self) -> None:
        """Watch the store until it reports a change or the watch ends."""
        started_at = self._clock.monotonic()
        try:
            entry = await self._store.watch(
                CONFIGURATION_KEY, self._entry_revision, WATCH_TIMEOUT
            )
        except StoreUnavailable:
            await self._clock.sleep(self._backoff.next_delay())
            return
        if entry is None and self._clock.monotonic() - started_at < MIN_WATCH_TIME:
            # A store that answers at once would be called all the time.
            await self._clock.sleep(self._backoff.next_delay())
            return
        self._backoff.reset()
        if entry is None:
            return
        self._entry_revision = entry.revision
        try:
            self.apply_if_newer(read_document(entry.value), "store")
        except DocumentError as error:
            self._events.emit(Events.REVISION_BAD, detail=str(error)[:200])
            await self._clock.sleep(self._backoff.next_delay())

    def _should_watch(self) -> bool:
        """Return whether this instance is to watch the store.

        An instance that receives nothing from peers watches even if it isn't selected,
        since no peer would send it a change.
        """
        if not self._receives_from_peers():
            return True
        if self._watcher_selection[0] != self._view.version:
            self._watcher_selection = (self._view.version, self._is_selected_watcher())
        return self._watcher_selection[1]

    def _is_selected_watcher(self) -> bool:
        """Return whether rendezvous hashing selects this instance as a watcher."""
        own = self._view.own
        names = [
            item.name
            for item in self._view.live()
            if item.data_centre == own.data_centre
        ]
        names.sort(key=lambda name: rank_rendezvous("watcher", name))
        return own.name in names[:WATCHERS_PER_DATA_CENTRE] or own.name not in names

    def _receives_from_peers(self) -> bool:
        silence = self._clock.monotonic() - self._links.last_received
        return silence <= ISOLATION_TIMEOUT / 2

    def apply_if_newer(self, document: Document, source: str) -> bool:
        """Apply `document` if its revision is higher; return whether it was applied."""
        held = self._document
        if document.revision <= held.revision:
            same = document.revision == held.revision and document.data == held.data
            if not same and document.revision:
                self._events.emit(
                    Events.REVISION_IGNORED,
                    revision=document.revision,
                    held=held.revision,
                    source=source,
                )
            return False
        self._invariants.check(
            document.revision > held.revision, "a revision never goes down"
        )
        self._document = document
        self._events.emit(
            Events.REVISION_IN_FORCE, revision=document.revision, source=source
        )
        self._metrics.gauge("intent.revision", document.revision)
        self._view.update_own(revision=document.revision)
        for listener in self._listeners:
            listener(document)
        return True

    def _on_member_change(self, old: MemberRecord | None, new: MemberRecord) -> None:
        if new.name == self._view.own.name:
            return
        if new.revision > self._document.revision and new.state < MemberState.SUSPECT:
            self._pull(new.name)

    def _pull(self, name: str) -> None:
        """Ask a peer for its configuration unless an earlier pull is still pending."""
        now = self._clock.monotonic()
        if now - self._pulled_at < PULL_TIMEOUT:
            return
        self._pulled_at = now
        self._links.send(name, ConfigurationPull(self._document.revision))

    def _on_pull(self, sender: str, message: Message) -> None:
        assert isinstance(message, ConfigurationPull)
        if self._document.revision <= message.revision:
            return
        # A peer repeats its pull when the answer is late. On a congested link, the new
        # document would queue behind older ones that it replaces.
        waiting = self._pushes.pop(sender, None)
        if waiting is not None:
            self._links.withdraw(sender, waiting)
        push = ConfigurationPush(self._document.revision, self._document.data)
        if self._links.send(sender, push):
            self._pushes[sender] = push

    def _on_push(self, sender: str, message: Message) -> None:
        assert isinstance(message, ConfigurationPush)
        if message.revision <= self._document.revision:
            return
        try:
            document = read_document(message.document)
        except DocumentError as error:
            self._events.emit(Events.REVISION_BAD, detail=str(error)[:200])
            return
        self._pulled_at = float("-inf")
        self.apply_if_newer(document, sender)

    async def _watch_health(self) -> None:
        """Report isolation from store and peers, and pull a missed revision."""
        while True:
            await trio.sleep(PULL_TIMEOUT)
            isolated = self.is_isolated()
            if isolated and not self._was_isolated:
                self._events.emit(Events.CONTROL_CUT)
            self._was_isolated = isolated
            self._metrics.gauge("intent.stale", int(isolated))
            if self._view.version != self._checked_version:
                self._pull_newest()

    def _pull_newest(self) -> None:
        """Pull from the peer with the newest revision, until none has a newer one."""
        newest = max(
            self._view.usable_peers(), key=lambda item: item.revision, default=None
        )
        if newest is not None and newest.revision > self._document.revision:
            self._pull(newest.name)
        else:
            self._checked_version = self._view.version
