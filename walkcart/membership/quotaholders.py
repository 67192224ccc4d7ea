"""Who accounts the shares of the teams' rate limits, as far as this instance knows.

See Also:
    `walkcart.membership.quotashares`, for the shares that it accounts itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.quotakeys import StoredKey, read_key, read_share
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
    """Who accounts a share.

    Args:
        name: of the accountant; empty when none is known.
        revision: of the key that says so.
    """

    name: str = ""
    revision: int = 0


@dataclass(slots=True)
class _Known:
    """What is known of one share.

    Args:
        holder: who accounts it.
        last: who accounted it last.
        released: revision of the key that its accountant said it uses no longer.
        offered: revision of the key that its accountant can't renew.
        wanted: revision of the key that this instance asked it for.
        heard_at: when it was last heard of, in seconds; None if it never was.
        tries: to take it since then.
        retry_at: when this instance may try again.
    """

    holder: Holder = Holder()
    last: str = ""
    released: int = 0
    offered: int = 0
    wanted: int = 0
    heard_at: float | None = None
    tries: int = 0
    retry_at: float = 0.0


class QuotaHolders:
    """Knows who accounts each share, and who would take it.

    Args:
        registration: knows the instances.
        clock: source of time.
        events: where keys that can't be read are logged.
    """

    def __init__(
        self, registration: Registration, clock: Clock, events: EventLog
    ) -> None:
        self._registration = registration
        self._clock = clock
        self._events = events
        self._known = [_Known() for _ in range(MAX_SHARES)]
        self._candidates: dict[int, list[str]] = {}
        self._on_holder: Callable[[str], None] = lambda name: None
        registration.on_change(self._candidates.clear)

    @property
    def own(self) -> str:
        """Name of this instance."""
        return self._registration.own.name

    def follow(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the name of each new accountant."""
        self._on_holder = listener

    def find(self, share: int) -> Holder:
        """Return who accounts a share."""
        return self._known[share].holder

    def note(self, share: int, holder: Holder) -> None:
        """Note who accounts a share, from whoever says so."""
        known = self._known[share]
        given_up = not holder.name and holder.revision == known.holder.revision
        if holder.revision > known.holder.revision or given_up:
            is_other = holder.name not in ("", known.last)
            known.last = holder.name or known.last
            known.holder = holder
            known.tries, known.retry_at = 0, 0.0
            if is_other:
                self._on_holder(holder.name)

    def note_heard(self, share: int, holder: Holder) -> bool:
        """Note the accountant's own word; return whether it isn't outdated."""
        self.note(share, holder)
        known = self._known[share]
        if holder.revision < known.holder.revision:
            return False
        known.heard_at = self._clock.monotonic()
        known.tries, known.retry_at = 0, 0.0
        return True

    def note_released(self, share: int, revision: int) -> None:
        """Note the accountant's own word that it uses a key no longer."""
        self._known[share].released = revision

    def is_released(self, share: int, revision: int) -> bool:
        """Return whether the accountant said that it uses a key no longer."""
        return self._known[share].released == revision

    def note_offer(self, share: int, revision: int) -> None:
        """Note that the accountant would give a share up; 0 when it wouldn't."""
        self._known[share].offered = revision

    def take_offer(self, share: int) -> int:
        """Return the revision that is offered, once; 0 if none is."""
        known = self._known[share]
        offered, known.offered = known.offered, 0
        return offered

    def note_wanted(self, share: int, revision: int) -> None:
        """Note that this instance asked an accountant for its share."""
        self._known[share].wanted = revision

    def note_lost(self, share: int) -> None:
        """Note that this instance accounts a share no longer."""
        self.note_heard(share, Holder("", self.find(share).revision))

    def read_item(self, item: Item) -> tuple[int, StoredKey] | None:
        """Note a stored key; return its share and what it says."""
        share = read_share(item.key)
        if share is None or share >= MAX_SHARES:
            return None
        try:
            stored = read_key(item)
        except msgspec.MsgspecError as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, key=item.key, detail=str(error)[:200]
            )
            return None
        self.note(share, Holder(stored.key.holder, stored.revision))
        known = self._known[share]
        if known.heard_at is None and stored.key.holder:
            known.heard_at = self._clock.monotonic()
        return share, stored

    def find_candidates(self, share: int) -> list[str]:
        """Return the instances that may take a share, in order."""
        if share not in self._candidates:
            records = [*self._registration.others(), self._registration.own]
            sites = {
                record.name: Site(record.region, record.cores)
                for record in records
                if record.peer_address
            }
            self._candidates[share] = rank_candidates(share, sites)
        return self._candidates[share]

    def may_try(self, share: int, since: float, is_busy: bool) -> bool:
        """Return whether this instance is to look whether it can take a share.

        Args:
            share: which one.
            since: when shares began to be of use, in seconds.
            is_busy: whether this instance accounts another one.
        """
        known = self._known[share]
        now = self._clock.monotonic()
        if now < known.retry_at:
            return False
        if known.holder.name == self.own:
            # The key of a former life, which nobody else can take yet.
            return True
        if known.wanted and known.holder == Holder("", known.wanted):
            # Given up to this instance, and nobody else has it yet.
            return True
        if not self._registration.is_settled:
            return False
        candidates = self.find_candidates(share)
        if self.own not in candidates:
            return False
        # Who accounted it last is the least likely to take it.
        order = sorted(candidates, key=lambda name: name == known.last)
        was_heard = bool(known.holder.name) and known.heard_at is not None
        begun = max(since, known.heard_at or since)
        wait = find_attempt_delay(order.index(self.own), is_busy, was_heard)
        return now >= begun + wait

    def note_try(self, share: int) -> None:
        """Note that this instance tries to take a share."""
        known = self._known[share]
        known.tries += 1
        known.retry_at = self._clock.monotonic() + find_retry_delay(known.tries)
