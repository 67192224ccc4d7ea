"""The shares of the teams' rate limits that this instance accounts.

The accountant of a share sends a heartbeat to its other candidates each second. One
that hears nothing reads the key of the share, and takes the share once it is free.
Nothing is stored, sent or renewed while no team has a limit.

See Also:
    `walkcart.routing.quotas.ShareAccount`, the account of a share.
    `walkcart.membership.quotaserver`, which answers requests for tokens.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.decoding import BadData
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.membership.links import PeerLinks
from walkcart.membership.quotaholders import Holder, QuotaHolders
from walkcart.membership.quotakeys import QuotaKeys, StoredKey, TakenKey
from walkcart.routing.quotas import MAX_SHARES, MAX_STARTS, QuotaBounds, ShareAccount
from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import Item
from walkcart.wire.messagebase import Message
from walkcart.wire.quotas import QuotaHolder, QuotaTakeover

#: Seconds between two renewals, and between two heartbeats to the other candidates.
REFRESH_INTERVAL = 1.0
#: Seconds without a renewal after which an accountant offers its share to an instance
#: that reaches the store: two attempts have failed, and the lease allows a few more.
WEAK_AFTER = 3.0


@dataclass(slots=True)
class _HeldShare:
    """A share that this instance accounts.

    Args:
        taken: the key of the share.
        account: the tokens granted from the share.
        since: when the share was taken, in seconds.
        tried_at: when a renewal of the lease was last attempted, in seconds.
        renewed_at: when a renewal last succeeded, in seconds.
        wanted_by: the instance that reaches the store and asked for the share, if any.
    """

    taken: TakenKey
    account: ShareAccount
    since: float
    tried_at: float
    renewed_at: float
    wanted_by: str = ""


class QuotaShares:
    """Takes, renews and releases shares.

    Args:
        keys: the keys of the shares in the store.
        holders: the accountants of the shares and the candidates to take them.
        links: links to the other instances.
        bounds: how far limits may be exceeded.
        is_needed: returns whether any team has a limit.
        clock: source of time.
        events: log of shares taken and lost.
        metrics: counts the shares of this instance.
    """

    def __init__(
        self,
        keys: QuotaKeys,
        holders: QuotaHolders,
        links: PeerLinks,
        bounds: QuotaBounds,
        is_needed: Callable[[], bool],
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._keys = keys
        self._holders = holders
        self._links = links
        self._bounds = bounds
        self._is_needed = is_needed
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._held: dict[int, _HeldShare] = {}
        self._needed_since: float | None = None
        self._is_stopping = False
        self._wakeup = trio.Event()
        links.on(QuotaHolder, self._on_holder)
        links.on(QuotaTakeover, self._on_takeover)

    def find_account(self, share: int) -> ShareAccount | None:
        """Return the account of a share, or None unless it is certainly held now."""
        held = self._held.get(share)
        if held is None or self._clock.monotonic() >= held.taken.until:
            return None
        return held.account

    def handle_item(self, item: Item) -> None:
        """Process a key of a share that was read together with the instances' keys."""
        found = self._holders.record_item(item)
        if found is None:
            return
        share, stored = found
        if stored.key.holder == self._holders.own:
            self.wake()
        held = self._held.get(share)
        if held is None or stored.revision <= held.taken.stored.revision:
            return
        if not self._keys.is_own(stored):
            self._drop(share, "another process holds the share")

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Hold the shares that this instance should hold, until cancelled."""
        task_status.started()
        while not self._is_stopping:
            self._wakeup = trio.Event()
            await self.refresh()
            with trio.move_on_after(REFRESH_INTERVAL):
                await self._wakeup.wait()

    def wake(self) -> None:
        """Run `refresh` now, as the shares to be held may have changed."""
        self._wakeup.set()

    async def refresh(self) -> None:
        """Renew the shares that are held, and take free ones."""
        if not self._is_needed():
            self._needed_since = None
            await self._release_held("no team has a limit")
            return
        if self._needed_since is None:
            self._needed_since = self._clock.monotonic()
        for share, held in list(self._held.items()):
            due = self._clock.monotonic() >= held.tried_at + REFRESH_INTERVAL / 2
            if due or held.wanted_by:
                await self._renew(share, held)
        for share in range(MAX_SHARES):
            if share in self._held:
                continue
            if offered := self._holders.pop_offer(share):
                await self._request_offered(share, offered)
            if self._should_try(share):
                await self._try_take(share)

    async def release_all(self) -> None:
        """Release all shares for good, because this instance stops."""
        self._is_stopping = True
        await self._release_held("the instance stops")

    async def _release_held(self, reason: str) -> None:
        """Stop accounting all shares, and release them to others."""
        held, self._held = self._held, {}
        for share, held_share in held.items():
            self._report_lost(share, reason)
            await self._release(share, held_share.taken)

    async def _release(self, share: int, taken: TakenKey) -> None:
        revision = await self._keys.release(share, taken)
        if revision is not None:
            self._holders.record(share, Holder("", revision))
            self._send_to_candidates(share, QuotaHolder(share, "", revision))

    async def _renew(self, share: int, held: _HeldShare) -> None:
        """Renew the lease of a share, and reset its starts once held for a window."""
        held.tried_at = self._clock.monotonic()
        self._announce(share, held)
        try:
            taken = await self._keys.renew(held.taken)
            outlasted = self._clock.monotonic() - held.since > self._bounds.window
            if taken is not None and outlasted and taken.stored.key.starts:
                taken = await self._keys.settle(share, taken)
        except StoreUnavailable:
            # `StoreCalls` logs the first failure of a series.
            if held.wanted_by:
                self._drop(share, f"released to {held.wanted_by}: it reaches the store")
            elif self._clock.monotonic() >= held.taken.until:
                self._drop(share, "the store wasn't reached in time")
            return
        if taken is None:
            self._drop(share, "the lease or the key is gone")
        else:
            held.taken, held.renewed_at = taken, held.tried_at
            held.wanted_by = ""

    def _drop(self, share: int, reason: str) -> None:
        held = self._held.pop(share, None)
        if held is not None:
            self._report_lost(share, reason)
            # The key may still exist. Receivers of this needn't wait until it expires.
            self._send_to_candidates(
                share, QuotaHolder(share, "", held.taken.stored.revision)
            )

    def _report_lost(self, share: int, reason: str) -> None:
        self._holders.record_lost(share)
        self._events.emit(Events.QUOTA_SHARE_LOST, share=share, reason=reason)
        self._metrics.gauge("quota.shares", len(self._held))

    def _should_try(self, share: int) -> bool:
        if self._is_stopping or self._needed_since is None:
            return False
        return self._holders.should_try(share, self._needed_since, bool(self._held))

    async def _request_offered(self, share: int, revision: int) -> None:
        """Ask for a share that its accountant can't renew, if the store is reached."""
        try:
            stored = await self._keys.read(share)
        except (StoreUnavailable, BadData):
            # The store isn't reached from here either, or the key is invalid: the
            # accountant keeps the share.
            return
        if stored is not None and stored.revision == revision and not self._is_stopping:
            takeover = QuotaTakeover(share, revision)
            self._holders.record_requested(share, revision)
            self._links.send(stored.key.holder, takeover)

    async def _try_take(self, share: int) -> None:
        """Take a share if it is free."""
        self._holders.record_attempt(share)
        try:
            stored = await self._keys.read(share)
            if stored is not None and not self._is_free(share, stored):
                self._holders.record(share, Holder(stored.key.holder, stored.revision))
                return
            taken = await self._keys.take(share, stored)
        except StoreUnavailable:
            # Logged by `StoreCalls`. A key stored nevertheless is read next time.
            return
        except BadData as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, share=share, detail=str(error)[:200]
            )
            return
        if taken is not None and self._is_stopping:
            await self._release(share, taken)
        elif taken is not None:
            self._start_accounting(share, taken)

    def _is_free(self, share: int, stored: StoredKey) -> bool:
        released = self._holders.is_released(share, stored.revision)
        return released or self._keys.is_free(stored)

    def _start_accounting(self, share: int, taken: TakenKey) -> None:
        """Begin to account a share that was taken."""
        now = self._clock.monotonic()
        starts = taken.stored.key.starts
        account = ShareAccount(share, self._bounds, now, starts <= MAX_STARTS)
        self._held[share] = _HeldShare(taken, account, now, now, now)
        self._holders.record(share, Holder(self._holders.own, taken.stored.revision))
        self._events.emit(Events.QUOTA_SHARE_TAKEN, share=share, starts=starts)
        self._metrics.gauge("quota.shares", len(self._held))
        self._announce(share, self._held[share])

    def _announce(self, share: int, held: _HeldShare) -> None:
        """Send a heartbeat for a share to the other candidates."""
        revision = held.taken.stored.revision
        weak = self._clock.monotonic() >= held.renewed_at + WEAK_AFTER
        self._send_to_candidates(
            share, QuotaHolder(share, self._holders.own, revision, weak)
        )

    def _send_to_candidates(self, share: int, message: QuotaHolder) -> None:
        for name in self._holders.find_candidates(share):
            if name != self._holders.own:
                self._links.send(name, message)

    def _on_holder(self, sender: str, message: Message) -> None:
        assert isinstance(message, QuotaHolder)
        if not 0 <= message.share < MAX_SHARES:
            return
        if not message.holder and sender == self._holders.find(message.share).name:
            self._holders.record_released(message.share, message.revision)
        holder = Holder(message.holder, message.revision)
        if not self._holders.record_announcement(message.share, holder):
            return
        if message.weak:
            self._holders.record_offer(message.share, message.revision)
        if message.weak or not message.holder:
            # Released or offered: a candidate should take it at once.
            self.wake()

    def _on_takeover(self, sender: str, message: Message) -> None:
        """Try once more to renew an offered share, and give it up if that fails."""
        assert isinstance(message, QuotaTakeover)
        held = self._held.get(message.share)
        if held is None or held.taken.stored.revision != message.revision:
            return
        if self._clock.monotonic() >= held.renewed_at + WEAK_AFTER:
            held.wanted_by = sender
            self.wake()
