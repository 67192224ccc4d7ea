"""News of requests under which leafs ended, among the instances.

Whoever notes a strike tells all others that it has links to, at once. In a large fleet
those are the instances that gather, by which nearly all requests to leafs go; they pass
it on in their data centre. While anything is remembered each instance also tells one
other at a time what it knows, so that one which was cut off, or has just started,
learns it too. Nothing is sent while nothing is remembered.

See Also:
    `walkcart.routing.quarantine.Quarantine`, what they know.
    `walkcart.membership.quarantinekeys`, for what must outlast all instances.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from math import isfinite

import trio

from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.routing.quarantine import REFUSED_STRIKES, Quarantine, StrikeRecord
from walkcart.wire.fingerprint import FINGERPRINT_BYTES
from walkcart.wire.messagebase import Message
from walkcart.wire.quarantines import NEVER, QuarantineEntry, QuarantineNews

#: Between two tellings of what is known, each to one other instance. Of seven instances
#: one that was cut off hears from six others within 3 s, and operators allow four.
TELL_INTERVAL = timedelta(seconds=0.5)
#: Entries of one message: 40 bytes each, so at most 1.3 KB.
MOST_TOLD = 32


class QuarantineGossip:
    """Tells other instances, and takes what they tell.

    Args:
        quarantine: what is known here.
        links: to the other instances.
        clock: source of time.
        find_peers: returns the names of those that are told.
        may_relay: returns whether this instance passes on what it is told.
        on_news: told the fingerprint of each request of which news came.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        links: PeerLinks,
        clock: Clock,
        find_peers: Callable[[], Sequence[str]],
        may_relay: Callable[[], bool],
        on_news: Callable[[bytes], None],
    ) -> None:
        self._quarantine = quarantine
        self._links = links
        self._clock = clock
        self._find_peers = find_peers
        self._may_relay = may_relay
        self._on_news = on_news
        self._turn = 0
        links.on_with_age(QuarantineNews, self._on_told)

    def broadcast(self, fingerprint: bytes, without: str = "") -> None:
        """Tell all that are told what is known of a request."""
        held = self._quarantine.find(fingerprint)
        if held is None:
            return
        news = QuarantineNews((self._encode(fingerprint, held),))
        for name in self._find_peers():
            if name != without:
                self._links.send(name, news)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Tell one instance after the other, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(TELL_INTERVAL.total_seconds())
            if len(self._quarantine):
                self._tell_next()

    def _tell_next(self) -> None:
        """Tell one other instance the most that fits of what weighs most."""
        peers = self._find_peers()
        entries = self._quarantine.entries(self._clock.monotonic())
        if not peers or not entries:
            return
        self._turn += 1
        chosen = sorted(entries, key=lambda item: item[1].weight)[-MOST_TOLD:]
        told = tuple(self._encode(*item) for item in chosen)
        self._links.send(peers[self._turn % len(peers)], QuarantineNews(told))

    def _encode(self, fingerprint: bytes, held: StrikeRecord) -> QuarantineEntry:
        now = self._clock.monotonic()
        answered = now - held.answered_at
        return QuarantineEntry(
            fingerprint,
            tuple(sorted(held.strikes)),
            now - held.struck_at,
            min(NEVER, answered),
        )

    def _on_told(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, QuarantineNews)
        # Of a sender that this instance hasn't heard of the way's time isn't known.
        way = age if isfinite(age) else 0.0
        now = self._clock.monotonic()
        for fingerprint, told in _read(message.entries, now - way):
            if not self._quarantine.merge(fingerprint, told, now):
                continue
            self._on_news(fingerprint)
            if self._may_relay():
                self.broadcast(fingerprint, without=sender)


def _read(
    entries: Sequence[QuarantineEntry], sent_at: float
) -> Iterable[tuple[bytes, StrikeRecord]]:
    """Return what a message tells, without what can't be."""
    for entry in entries[:MOST_TOLD]:
        ages = (entry.struck_age, entry.answered_age)
        if (
            len(entry.fingerprint) != FINGERPRINT_BYTES
            or len(entry.strikes) > REFUSED_STRIKES
        ):
            continue
        if not all(isfinite(age) and age >= 0.0 for age in ages):
            continue
        answered = float("-inf")
        if entry.answered_age < NEVER:
            answered = sent_at - entry.answered_age
        struck = sent_at - entry.struck_age
        yield (
            entry.fingerprint,
            StrikeRecord(frozenset(entry.strikes), struck, answered),
        )
