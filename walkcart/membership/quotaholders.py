"""What this instance knows about the accountants of the shares of teams' rate limits.

See Also:
    `walkcart.membership.quotashares`, for the shares that this instance accounts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from walkcart.kernel.clock import Clock
from walkcart.kernel.decoding import BadData
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.quotakeys import StoredKey, decode_key, parse_share
from walkcart.membership.registration import Registration
from walkcart.routing.accountants import (
    Site,
    find_attempt_delay,
    find_retry_delay,
    rank_candidates,
)
from walkcart.routing.quotas import MAX_SHARES
from walkcart.store.items import Item


@dataclass(frozen=True, slots=True)
class Holder:
    """The accountant of a share.

    Args:
        name: the name of the accountant; empty if none is known.
        revision: the revision of the key that names it.
    """

    name: str = ""
    revision: int = 0


@dataclass(slots=True)
class _ShareState:
    """What is known about one share.

    Args:
        holder: the accountant.
        last: the name of the last known accountant; empty if none was known.
        released: the revision of the key that its accountant announced to be unused.
        offered: the revision of the key that its accountant can't renew.
        wanted: the revision of the key when this instance last asked the accountant
            to release the share to it.
        last_heard_at: when an accountant was last heard of, in seconds; None if none
            ever was.
        attempts: attempts of this instance to take the share since then.
        retry_at: when this instance may try again, in seconds.
    """

    holder: Holder = Holder()
    last: str = ""
    released: int = 0
    offered: int = 0
    wanted: int = 0
    last_heard_at: float | None = None
    attempts: int = 0
    retry_at: float = 0.0


class QuotaHolders:
    """Tracks the accountant of each share and the candidates to take it over.

    Args:
        registration: lists the instances.
        clock: source of time.
        events: log of keys that can't be decoded.
    """

    def __init__(
        self, registration: Registration, clock: Clock, events: EventLog
    ) -> None:
        self._registration = registration
        self._clock = clock
        self._events = events
        self._shares = [_ShareState() for _ in range(MAX_SHARES)]
        self._candidates: dict[int, list[str]] = {}
        self._listener: Callable[[str], None] = lambda name: None
        registration.on_change(self._candidates.clear)

    @property
    def own(self) -> str:
        """The name of this instance."""
        return self._registration.own.name

    def on_new_holder(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the name of each new accountant."""
        self._listener = listener

    def find(self, share: int) -> Holder:
        """Return the known accountant of a share."""
        return self._shares[share].holder

    def record(self, share: int, holder: Holder) -> None:
        """Record the accountant of a share, from any source."""
        known = self._shares[share]
        was_released = not holder.name and holder.revision == known.holder.revision
        if holder.revision > known.holder.revision or was_released:
            is_other = holder.name not in ("", known.last)
            known.last = holder.name or known.last
            known.holder = holder
            known.attempts, known.retry_at = 0, 0.0
            if is_other:
                self._listener(holder.name)

    def record_announcement(self, share: int, holder: Holder) -> bool:
        """Record an accountant's own message; return False if it is outdated."""
        self.record(share, holder)
        known = self._shares[share]
        if holder.revision < known.holder.revision:
            return False
        known.last_heard_at = self._clock.monotonic()
        known.attempts, known.retry_at = 0, 0.0
        return True

    def record_released(self, share: int, revision: int) -> None:
        """Record the accountant's own message that it no longer uses a key."""
        self._shares[share].released = revision

    def is_released(self, share: int, revision: int) -> bool:
        """Return whether the accountant reported that it no longer uses a key."""
        return self._shares[share].released == revision

    def record_offer(self, share: int, revision: int) -> None:
        """Record that the accountant offers a share, since it can't renew the key.

        Args:
            share: the share.
            revision: the revision of its key; 0 withdraws the offer.
        """
        self._shares[share].offered = revision

    def pop_offer(self, share: int) -> int:
        """Return the offered revision and clear the offer; return 0 without one."""
        known = self._shares[share]
        offered, known.offered = known.offered, 0
        return offered

    def record_requested(self, share: int, revision: int) -> None:
        """Record that this instance asked the accountant to release a share to it."""
        self._shares[share].wanted = revision

    def record_lost(self, share: int) -> None:
        """Record that this instance no longer accounts a share."""
        self.record_announcement(share, Holder("", self.find(share).revision))

    def record_item(self, item: Item) -> tuple[int, StoredKey] | None:
        """Record a stored key; return its share and content, or None if invalid."""
        share = parse_share(item.key)
        if share is None or share >= MAX_SHARES:
            return None
        try:
            stored = decode_key(item)
        except BadData as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, key=item.key, detail=str(error)[:200]
            )
            return None
        self.record(share, Holder(stored.key.holder, stored.revision))
        known = self._shares[share]
        if known.last_heard_at is None and stored.key.holder:
            known.last_heard_at = self._clock.monotonic()
        return share, stored

    def find_candidates(self, share: int) -> list[str]:
        """Return the names of the instances that may take a share, by rank."""
        if share not in self._candidates:
            records = [*self._registration.others(), self._registration.own]
            sites = {
                record.name: Site(record.region, record.cores)
                for record in records
                if record.peer_address
            }
            self._candidates[share] = rank_candidates(share, sites)
        return self._candidates[share]

    def should_try(self, share: int, since: float, is_busy: bool) -> bool:
        """Return whether this instance should try to take a share now.

        Args:
            share: the share.
            since: when shares began to be needed, in seconds.
            is_busy: whether this instance accounts another share.
        """
        known = self._shares[share]
        now = self._clock.monotonic()
        if now < known.retry_at:
            return False
        if known.holder.name == self.own:
            # Stored by an earlier process of this instance; no other can take it yet.
            return True
        if known.wanted and known.holder == Holder("", known.wanted):
            # Released for this instance, and not taken by another one yet.
            return True
        if not self._registration.is_settled:
            return False
        candidates = self.find_candidates(share)
        if self.own not in candidates:
            return False
        # The last accountant is the least likely to take the share, so it comes last.
        order = sorted(candidates, key=lambda name: name == known.last)
        was_heard = bool(known.holder.name) and known.last_heard_at is not None
        start = max(since, known.last_heard_at or since)
        wait = find_attempt_delay(order.index(self.own), is_busy, was_heard)
        return now >= start + wait

    def record_attempt(self, share: int) -> None:
        """Record that this instance tries to take a share."""
        known = self._shares[share]
        known.attempts += 1
        known.retry_at = self._clock.monotonic() + find_retry_delay(known.attempts)
