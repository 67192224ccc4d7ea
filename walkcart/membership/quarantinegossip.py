"""Exchange of quarantine entries, for requests that crashed leaves, among instances.

An instance that records a strike against a request tells all instances that it has
links to at once. In a large fleet these are the instances that gather answers, which
send nearly all requests to leaves; they relay the entry within their data centre. While
there are entries, each instance also sends its own to one other instance at a time, so
that instances that were cut off or have just started get them too. Nothing is sent
while there are no entries.

See Also:
    `walkcart.routing.quarantine.Quarantine`, which holds the entries.
    `walkcart.membership.quarantinekeys`, for entries that outlast all instances.
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

#: Time between two messages with the known entries, each to one other instance. In a
#: fleet of seven, an instance that was cut off hears from the six others within 3 s;
#: operators allow four.
GOSSIP_INTERVAL = timedelta(seconds=0.5)
#: Entries in one message. Each takes 70 bytes, so a message has at most 2.3 KB.
MAX_ENTRIES = 32


class QuarantineGossip:
    """Sends quarantine entries to other instances and merges theirs.

    Args:
        quarantine: the entries of this instance.
        links: links to the other instances.
        clock: source of time.
        find_peers: returns the names of the instances to send entries to.
        may_relay: returns whether this instance relays entries that it receives.
        on_news: called with the fingerprint of each request whose entry changed.
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
        self._round = 0
        links.on_with_age(QuarantineNews, self._on_message)

    def broadcast(self, fingerprint: bytes, exclude: str = "") -> None:
        """Send the entry of a request to all peers except `exclude`."""
        held = self._quarantine.find(fingerprint)
        if held is None:
            return
        news = QuarantineNews((self._encode(fingerprint, held),))
        for name in self._find_peers():
            if name != exclude:
                self._links.send(name, news)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Send the entries to one peer after the other, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(GOSSIP_INTERVAL.total_seconds())
            if len(self._quarantine):
                self._send_to_next_peer()

    def _send_to_next_peer(self) -> None:
        """Send the entries with the greatest weight to the next peer."""
        peers = self._find_peers()
        entries = self._quarantine.entries(self._clock.monotonic())
        if not peers or not entries:
            return
        self._round += 1
        chosen = sorted(entries, key=lambda item: item[1].weight)[-MAX_ENTRIES:]
        told = tuple(self._encode(*item) for item in chosen)
        self._links.send(peers[self._round % len(peers)], QuarantineNews(told))

    def _encode(self, fingerprint: bytes, held: StrikeRecord) -> QuarantineEntry:
        now = self._clock.monotonic()
        answered = now - held.answered_at
        return QuarantineEntry(
            fingerprint,
            tuple(sorted(held.strikes)),
            now - held.struck_at,
            min(NEVER, answered),
            min(NEVER, now - held.began_at),
        )

    def _on_message(self, sender: str, message: Message, age: float) -> None:
        assert isinstance(message, QuarantineNews)
        # The delay is unknown until the sender has received an envelope from here.
        delay = age if isfinite(age) else 0.0
        now = self._clock.monotonic()
        for fingerprint, told in _decode_valid(message.entries, now - delay):
            if not self._quarantine.merge(fingerprint, told, now):
                continue
            self._on_news(fingerprint)
            if self._may_relay():
                self.broadcast(fingerprint, exclude=sender)


def _decode_valid(
    entries: Sequence[QuarantineEntry], sent_at: float
) -> Iterable[tuple[bytes, StrikeRecord]]:
    """Yield the entries of a message, without invalid ones."""
    for entry in entries[:MAX_ENTRIES]:
        # Strikes that older instances tell may all be of one crash.
        began_age = entry.struck_age if entry.began_age is None else entry.began_age
        ages = (entry.struck_age, entry.answered_age, began_age)
        if (
            len(entry.fingerprint) != FINGERPRINT_BYTES
            or len(entry.strikes) > REFUSED_STRIKES
        ):
            continue
        if not all(isfinite(age) and age >= 0.0 for age in ages):
            continue
        struck_at, answered_at, began_at = (
            sent_at - age if age < NEVER else float("-inf") for age in ages
        )
        strikes = frozenset(entry.strikes)
        yield (
            entry.fingerprint,
            StrikeRecord(strikes, struck_at, answered_at, began_at),
        )
