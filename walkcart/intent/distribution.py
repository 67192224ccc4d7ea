"""The configuration in force at one instance, and how a newer one reaches it.

A few instances of each data centre watch the store; the others hear of a new
revision from peers at once, and heartbeats carry the revision, so one that
missed the news pulls it. Whoever tells, only a higher revision than the one held
is applied, so a stale read or an old peer can't revert anything.

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

#: Instances of a data centre that watch the store.
WATCHERS = 2
#: Under the time after which silence counts as a cut: the end of a watch is the
#: sign that the store lives.
WATCH_TIME = timedelta(seconds=3)
#: An instance that doesn't watch looks this often whether it should.
RECHECK_TIME = timedelta(seconds=1)
#: A pull without an answer after this is tried at another peer, in seconds.
PULL_TIME = 0.4
#: Without a word from store or peers for this long, an instance says so.
CUT_TIME = 5.0
FIRST_TRIES = 3


class ConfigurationKeeper:
    """Holds the configuration in force.

    Args:
        store: the key-value service.
        view: the peers and their revisions.
        links: to them.
        clock: source of time.
        backoff: waits between tries during an outage.
        events: where revisions are logged.
        metrics: where the revision is shown.
        invariants: checks that revisions never go down.
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
        #: The document that each peer was sent last, which may wait yet.
        self._pushes: dict[str, ConfigurationPush] = {}
        self._listeners: list[Callable[[Document], None]] = []
        self._was_cut = False
        # Both are worked out anew only after the view has changed.
        self._watch_choice = (-1, False)
        self._seen_version = -1
        links.on(ConfigurationPull, self._on_pull)
        links.on(ConfigurationPush, self._on_push)
        view.on_change(self._on_member_change)

    @property
    def document(self) -> Document:
        """The configuration in force."""
        return self._document

    def on_change(self, listener: Callable[[Document], None]) -> None:
        """Call `listener` after a new configuration came into force."""
        self._listeners.append(listener)

    def is_isolated(self) -> bool:
        """Return whether neither store nor peers were heard for a while."""
        last = max(self._store.last_success, self._links.last_received)
        return self._clock.monotonic() - last > CUT_TIME

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Follow the configuration until cancelled.

        The start is told after the first read, or a few tries during an outage;
        then the peers' word has to do.
        """
        for _ in range(FIRST_TRIES):
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
                    await self._clock.sleep(RECHECK_TIME)

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
        self.offer(document, "store")
        return True

    async def _watch_once(self) -> None:
        """Wait for one change at the store."""
        try:
            entry = await self._store.watch(
                CONFIGURATION_KEY, self._entry_revision, WATCH_TIME
            )
        except StoreUnavailable:
            await self._clock.sleep(self._backoff.next_delay())
            return
        self._backoff.reset()
        if entry is None:
            return
        self._entry_revision = entry.revision
        try:
            self.offer(read_document(entry.value), "store")
        except DocumentError as error:
            self._events.emit(Events.REVISION_BAD, detail=str(error)[:200])
            await self._clock.sleep(self._backoff.next_delay())

    def _should_watch(self) -> bool:
        """Return whether this instance is one of its data centre's watchers.

        One that hears no peers watches too: then nobody else tells it.
        """
        if not self._hears_peers():
            return True
        if self._watch_choice[0] != self._view.version:
            self._watch_choice = (self._view.version, self._is_chosen())
        return self._watch_choice[1]

    def _is_chosen(self) -> bool:
        """Return whether the hash makes this instance one of the watchers."""
        own = self._view.own
        near = [
            item.name
            for item in self._view.live()
            if item.data_centre == own.data_centre
        ]
        near.sort(key=lambda name: rank_rendezvous("watcher", name))
        return own.name in near[:WATCHERS] or own.name not in near

    def _hears_peers(self) -> bool:
        silence = self._clock.monotonic() - self._links.last_received
        return silence <= CUT_TIME / 2

    def offer(self, document: Document, source: str) -> bool:
        """Apply `document` if it is newer; return whether it was."""
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
        """Ask a peer for its configuration, unless one was asked just now."""
        now = self._clock.monotonic()
        if now - self._pulled_at < PULL_TIME:
            return
        self._pulled_at = now
        self._links.send(name, ConfigurationPull(self._document.revision))

    def _on_pull(self, sender: str, message: Message) -> None:
        assert isinstance(message, ConfigurationPull)
        if self._document.revision <= message.revision:
            return
        # A peer asks again when the answer is late. On a full link whole documents
        # would wait behind ones that they replace.
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
        self.offer(document, sender)

    async def _watch_health(self) -> None:
        """Say when neither store nor peers are reached; pull what was missed."""
        while True:
            await trio.sleep(PULL_TIME)
            cut = self.is_isolated()
            if cut and not self._was_cut:
                self._events.emit(Events.CONTROL_CUT)
            self._was_cut = cut
            self._metrics.gauge("intent.stale", int(cut))
            if self._view.version != self._seen_version:
                self._pull_missed()

    def _pull_missed(self) -> None:
        """Pull from whoever has a newer revision, until nobody has."""
        newest = max(
            self._view.usable_peers(), key=lambda item: item.revision, default=None
        )
        if newest is not None and newest.revision > self._document.revision:
            self._pull(newest.name)
        else:
            self._seen_version = self._view.version
