"""The shares of the teams' rate limits that this instance accounts.

The accountant of a share tells the share's other candidates each second that it lives.
One that hears nothing reads the key, and takes it once it is free.

Nothing is stored, sent or renewed while no team has a limit.

See Also:
    `walkcart.routing.quotas.ShareAccount`, what an accountant keeps.
    `walkcart.membership.quotaserver`, by which it is asked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from walkcart.kernel.clock import Clock
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

#: Seconds between two renewals, and between two words to the other candidates.
LOOK = 1.0
#: Seconds without a renewal after which an accountant gives its share up to somebody
#: who can reach the store: two tries have failed, and there is time for a few more.
WEAK_TIME = 3.0


@dataclass(slots=True)
class _Held:
    """A share that this instance accounts.

    Args:
        taken: its key.
        account: what was granted of it.
        since: when it was taken, in seconds.
        kept_at: when a renewal of its lease was tried last.
        renewed_at: when one last succeeded.
        wanted_by: who has reached the store since then and would take the share.
    """

    taken: TakenKey
    account: ShareAccount
    since: float
    kept_at: float
    renewed_at: float
    wanted_by: str = ""


class QuotaShares:
    """Takes, renews and gives up shares.

    Args:
        keys: of the shares in the store.
        holders: who accounts the shares, and who would take them.
        links: to the other instances.
        bounds: by how much limits may be passed.
        is_wanted: returns whether any team has a limit.
        clock: source of time.
        events: where shares that come and go are logged.
        metrics: where the shares of this instance are counted.
    """

    def __init__(
        self,
        keys: QuotaKeys,
        holders: QuotaHolders,
        links: PeerLinks,
        bounds: QuotaBounds,
        is_wanted: Callable[[], bool],
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._keys = keys
        self._holders = holders
        self._links = links
        self._bounds = bounds
        self._is_wanted = is_wanted
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._held: dict[int, _Held] = {}
        self._wanted_since: float | None = None
        self._left = False
        self._wakeup = trio.Event()
        links.on(QuotaHolder, self._on_holder)
        links.on(QuotaTakeover, self._on_takeover)

    def find_account(self, share: int) -> ShareAccount | None:
        """Return the account of a share, if this instance surely holds it now."""
        held = self._held.get(share)
        if held is None or self._clock.monotonic() >= held.taken.until:
            return None
        return held.account

    def handle_item(self, item: Item) -> None:
        """Take a key that was read along with those of the instances."""
        found = self._holders.read_item(item)
        if found is None:
            return
        share, stored = found
        if stored.key.holder == self._holders.own:
            self.wake()
        held = self._held.get(share)
        if held is None or stored.revision <= held.taken.stored.revision:
            return
        if not self._keys.is_own(stored):
            self._lose(share, "another process has it")

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Hold what is to be held, until cancelled."""
        task_status.started()
        while not self._left:
            self._wakeup = trio.Event()
            await self.refresh()
            with trio.move_on_after(LOOK):
                await self._wakeup.wait()

    def wake(self) -> None:
        """Look at once: what is to be held may have changed."""
        self._wakeup.set()

    async def refresh(self) -> None:
        """Renew what is held, and take what is free."""
        if not self._is_wanted():
            self._wanted_since = None
            await self._give_up_all("no team has a limit")
            return
        if self._wanted_since is None:
            self._wanted_since = self._clock.monotonic()
        for share, held in list(self._held.items()):
            due = self._clock.monotonic() >= held.kept_at + LOOK / 2
            if due or held.wanted_by:
                await self._keep(share, held)
        for share in range(MAX_SHARES):
            if share in self._held:
                continue
            if offered := self._holders.take_offer(share):
                await self._answer_offer(share, offered)
            if self._may_try(share):
                await self._try(share)

    async def release_all(self) -> None:
        """Account nothing any more: this instance stops."""
        self._left = True
        await self._give_up_all("the instance stops")

    async def _give_up_all(self, reason: str) -> None:
        """Grant nothing from now on, and let others take the shares."""
        held, self._held = self._held, {}
        for share, one in held.items():
            self._note_lost(share, reason)
            await self._give_up(share, one.taken)

    async def _give_up(self, share: int, taken: TakenKey) -> None:
        revision = await self._keys.give_up(share, taken)
        if revision is not None:
            self._holders.note(share, Holder("", revision))
            self._tell(share, QuotaHolder(share, "", revision))

    async def _keep(self, share: int, held: _Held) -> None:
        """Renew a share's lease, and note in the store that it is held for long."""
        held.kept_at = self._clock.monotonic()
        self._tell_held(share, held)
        try:
            taken = await self._keys.renew(held.taken)
            settled = self._clock.monotonic() - held.since > self._bounds.window
            if taken is not None and settled and taken.stored.key.starts:
                taken = await self._keys.settle(share, taken)
        except StoreUnavailable:
            # Logged by the calls, which know whether it is the first failure.
            if held.wanted_by:
                self._lose(share, f"{held.wanted_by} reaches the store")
            elif self._clock.monotonic() >= held.taken.until:
                self._lose(share, "the store wasn't reached in time")
            return
        if taken is None:
            self._lose(share, "the lease or the key is gone")
        else:
            held.taken, held.renewed_at = taken, held.kept_at
            held.wanted_by = ""

    def _lose(self, share: int, reason: str) -> None:
        held = self._held.pop(share, None)
        if held is not None:
            self._note_lost(share, reason)
            # Its key may be stored still: it is free once it has run out.
            self._tell(share, QuotaHolder(share, "", held.taken.stored.revision))

    def _note_lost(self, share: int, reason: str) -> None:
        self._holders.note_lost(share)
        self._events.emit(Events.QUOTA_SHARE_LOST, share=share, reason=reason)
        self._metrics.gauge("quota.shares", len(self._held))

    def _may_try(self, share: int) -> bool:
        if self._left or self._wanted_since is None:
            return False
        return self._holders.may_try(share, self._wanted_since, bool(self._held))

    async def _answer_offer(self, share: int, revision: int) -> None:
        """Ask for a share that its accountant can't renew, if the store is reached."""
        try:
            stored = await self._keys.read(share)
        except (StoreUnavailable, msgspec.MsgspecError):
            # The store isn't reached from here either, or the key can't be read: the
            # accountant keeps it.
            return
        if stored is not None and stored.revision == revision and not self._left:
            takeover = QuotaTakeover(share, revision)
            self._holders.note_wanted(share, revision)
            self._links.send(stored.key.holder, takeover)

    async def _try(self, share: int) -> None:
        """Take a share if it is free."""
        self._holders.note_try(share)
        try:
            stored = await self._keys.read(share)
            if stored is not None and not self._is_free(share, stored):
                self._holders.note(share, Holder(stored.key.holder, stored.revision))
                return
            taken = await self._keys.take(share, stored)
        except StoreUnavailable:
            # Logged by the calls. What was stored all the same is read next time.
            return
        except msgspec.MsgspecError as error:
            self._events.emit(
                Events.PEER_BAD_MESSAGE, share=share, detail=str(error)[:200]
            )
            return
        if taken is not None and self._left:
            await self._give_up(share, taken)
        elif taken is not None:
            self._begin(share, taken)

    def _is_free(self, share: int, stored: StoredKey) -> bool:
        released = self._holders.is_released(share, stored.revision)
        return released or self._keys.is_free(stored)

    def _begin(self, share: int, taken: TakenKey) -> None:
        """Account a share from now on."""
        now = self._clock.monotonic()
        starts = taken.stored.key.starts
        account = ShareAccount(share, self._bounds, now, starts <= MAX_STARTS)
        self._held[share] = _Held(taken, account, now, now, now)
        self._holders.note(share, Holder(self._holders.own, taken.stored.revision))
        self._events.emit(Events.QUOTA_SHARE_TAKEN, share=share, starts=starts)
        self._metrics.gauge("quota.shares", len(self._held))
        self._tell_held(share, self._held[share])

    def _tell_held(self, share: int, held: _Held) -> None:
        """Tell the others that would take a share that this instance accounts it."""
        revision = held.taken.stored.revision
        weak = self._clock.monotonic() >= held.renewed_at + WEAK_TIME
        self._tell(share, QuotaHolder(share, self._holders.own, revision, weak))

    def _tell(self, share: int, message: QuotaHolder) -> None:
        for name in self._holders.find_candidates(share):
            if name != self._holders.own:
                self._links.send(name, message)

    def _on_holder(self, sender: str, message: Message) -> None:
        assert isinstance(message, QuotaHolder)
        if not 0 <= message.share < MAX_SHARES:
            return
        if not message.holder and sender == self._holders.find(message.share).name:
            self._holders.note_released(message.share, message.revision)
        holder = Holder(message.holder, message.revision)
        if not self._holders.note_heard(message.share, holder):
            return
        if message.weak:
            self._holders.note_offer(message.share, message.revision)
        if message.weak or not message.holder:
            # Given up, or to be: somebody is to take it at once.
            self.wake()

    def _on_takeover(self, sender: str, message: Message) -> None:
        """Try to renew a share once more, or give it up to who reaches the store."""
        assert isinstance(message, QuotaTakeover)
        held = self._held.get(message.share)
        if held is None or held.taken.stored.revision != message.revision:
            return
        if self._clock.monotonic() >= held.renewed_at + WEAK_TIME:
            held.wanted_by = sender
            self.wake()
