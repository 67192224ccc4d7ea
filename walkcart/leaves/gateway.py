"""Sending of attempts to leaves, over this instance's connections or a holder's.

The gateway also keeps the statistics of each leaf (outstanding requests, latency,
ejection, limit), since every attempt passes through it.
"""

from __future__ import annotations

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.spans import Tracer
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused, Replied
from walkcart.leaves.exchange import LinkTools
from walkcart.leaves.forwarding import Forwarder
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.link import LeafLink
from walkcart.leaves.protocol import LeafStatus
from walkcart.leaves.table import LeafTable, ResolvedGroup
from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView
from walkcart.routing.ejection import may_eject
from walkcart.routing.hedging import HedgeDelay
from walkcart.routing.holders import HolderTable, SharedLeaf
from walkcart.routing.shares import ConnectionShares
from walkcart.wire.network import Network
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds between two updates of the shares of connections.
SHARE_INTERVAL = 0.5
#: Seconds between two status requests to a leaving leaf, and two idle checks.
CHECK_INTERVAL = 2.0
#: Seconds for which a larger share must stay the same before an instance uses it: by
#: then the others have seen the same change and closed the connections they gave up.
SETTLE_TIME = 2.0


class LeafGateway:
    """Sends attempts to leaves.

    Args:
        table: the leaves.
        marks: marks of the leaves that are leaving.
        view: the instances that share the leaves' connections.
        forwarder: reaches leaves through holders.
        network: opens connections.
        clock: source of time.
        events: log of leaf events.
        metrics: counters of leaf requests.
        tracer: makes a span for each attempt.
    """

    def __init__(
        self,
        table: LeafTable,
        marks: LeafMarks,
        view: MembershipView,
        forwarder: Forwarder,
        network: Network,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self._table = table
        self._marks = marks
        self._view = view
        self._forwarder = forwarder
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._tools = LinkTools(
            network, clock, events, metrics, tracer, self.record_status
        )
        self._links: dict[str, LeafLink] = {}
        self._max_connections: dict[str, int] = {}
        self._groups: dict[str, ResolvedGroup] = {}
        self._previous_groups: tuple[ResolvedGroup, ...] = ()
        self._hedge_delays: dict[str, HedgeDelay] = {}
        self._holders = HolderTable()
        self._view_version = -1
        self._checked_at = clock.monotonic()
        #: Number of connections that this instance may open, by the leaf's address.
        self._shares: dict[str, int] = {}
        #: Larger shares that aren't in use yet, each with the time since which it is
        #: wanted, in seconds; by the leaf's address.
        self._wanted_since: dict[str, tuple[int, float]] = {}
        self._nursery: trio.Nursery | None = None
        forwarder.set_local_access(self._submit_here, self._cancel_here, table.find)

    def hedge_delay_of(self, group: str) -> HedgeDelay:
        """Return the hedge delay of a shard group, from its observed latencies."""
        return self._hedge_delays.setdefault(group, HedgeDelay())

    def set_groups(self, groups: list[ResolvedGroup]) -> None:
        """Set the shard groups whose leaves' connections are shared from now on.

        The leaves of the previous groups stay connected until the next change, for
        questions that were admitted under the previous configuration.
        """
        self._previous_groups = tuple(self._groups.values())
        self._groups = {resolved.group.name: resolved for resolved in groups}
        for resolved in (*self._previous_groups, *groups):
            for leaf in resolved.leaves:
                self._max_connections[leaf.address] = resolved.group.connections
        self._apply_groups()

    def submit(
        self, leaf: Leaf, attempt: Attempt, group: str, deliver: Deliver
    ) -> None:
        """Send `attempt` to `leaf`; `deliver` is called once with its outcome."""
        leaf.outstanding += 1

        def finish(attempt: Attempt, outcome: Outcome) -> None:
            leaf.outstanding -= 1
            self._record_outcome(leaf, attempt, group, outcome)
            deliver(attempt, outcome)

        if self._submit_here(leaf.address, attempt, finish):
            return
        holder = self._choose_holder(leaf)
        if holder is None:
            detail = f"no instance that holds {leaf.address} is reached"
            finish(attempt, Failed(NotRun(Reason.UNREACHABLE, detail)))
            return
        self._forwarder.submit(holder, leaf, attempt, finish)

    def cancel(self, leaf: Leaf, attempt_id: str, waited: float) -> None:
        """Cancel an attempt whose result isn't needed, after it `waited` seconds."""
        leaf.latency.observe_at_least(self._clock.monotonic(), waited)
        if not self._forwarder.cancel(attempt_id):
            self._cancel_here(leaf.address, attempt_id)

    def may_use(self, leaf: Leaf) -> bool:
        """Return whether `leaf` may get new work."""
        return not self._marks.is_leaving(leaf.address)

    def record_status(self, leaf: Leaf, status: LeafStatus) -> None:
        """Record what a leaf stated about itself."""
        if status.incarnation:
            leaf.update_incarnation(status.incarnation)
        if status.leaving:
            self._marks.record_leaving(leaf.address, status.incarnation)
        elif status.incarnation:
            self._marks.record_live(leaf.address, status.incarnation)
        if status.load is not None:
            leaf.record_load(self._clock.monotonic(), status.load)
        if status.held is not None and status.held != leaf.held:
            leaf.held = status.held
            self._table.version += 1

    def holders_of(self, leaf: Leaf) -> tuple[str, ...]:
        """Return the instances that hold connections to `leaf`."""
        return self._holders.holders(leaf.address)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Keep the shares of connections up to date until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            self._apply_groups()
            while True:
                self._update_instances()
                self._check_leaving()
                total = sum(link.connections for link in self._links.values())
                self._metrics.gauge("leaf.connections", total)
                await trio.sleep(SHARE_INTERVAL)

    def _apply_groups(self) -> None:
        """Set the leaves of all groups; close the links to leaves that are gone."""
        held = {
            leaf.address: SharedLeaf(
                leaf.address,
                leaf.region,
                ConnectionShares(resolved.group.connections),
            )
            for resolved in (*self._previous_groups, *self._groups.values())
            for leaf in resolved.leaves
        }
        self._holders.set_leaves(list(held.values()))
        for address in [item for item in self._links if item not in held]:
            # Attempts in progress there still end.
            self._links.pop(address).close()
            self._shares.pop(address, None)
        self._update_shares()

    def _update_instances(self) -> None:
        """Update the shares after a change of the instances; let due ones grow."""
        for address in list(self._wanted_since):
            self._update_share(address)
        if self._view.version == self._view_version:
            return
        self._view_version = self._view.version
        own = self._view.own
        instances = {item.name: item.region for item in self._view.sharing()}
        instances.setdefault(own.name, own.region)
        if self._holders.set_instances(instances):
            self._update_shares()

    def _check_leaving(self) -> None:
        """Ask leaving leaves periodically whether they were restarted.

        They get no work, so no reply would show it; only the instance list could. The
        other leaves' idle connections are checked at the same interval.
        """
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        for address, link in self._links.items():
            if self._marks.is_leaving(address):
                link.check()
            else:
                link.close_idle()

    def _update_shares(self) -> None:
        """Recompute this instance's share of each leaf's connections."""
        if self._nursery is not None:
            for leaf in self._holders.leaves():
                self._update_share(leaf.address)

    def _update_share(self, address: str) -> None:
        leaf = self._table.find(address)
        if leaf is None or address not in self._max_connections:
            self._wanted_since.pop(address, None)
            return
        holders = self._holders.holders(address)
        shares = ConnectionShares(self._max_connections[address])
        holds = self._view.own.name in holders
        self._apply_share(
            leaf, shares.connections_per_holder(len(holders)) if holds else 0
        )

    def _apply_share(self, leaf: Leaf, wanted: int) -> None:
        """Shrink a share at once, but let it grow only after `SETTLE_TIME`."""
        address = leaf.address
        now = self._clock.monotonic()
        present = self._shares.get(address, 0)
        if not present:
            # Others forward to a new holder at once; the part of the cap that isn't
            # assigned to anyone allows for this first connection.
            present = min(wanted, 1)
            self._set_share(leaf, present)
        if wanted <= present:
            self._wanted_since.pop(address, None)
            self._set_share(leaf, wanted)
            return
        since = self._wanted_since.get(address)
        if since is None or since[0] != wanted:
            self._wanted_since[address] = (wanted, now)
        elif now - since[1] >= SETTLE_TIME:
            del self._wanted_since[address]
            self._set_share(leaf, wanted)

    def _set_share(self, leaf: Leaf, share: int) -> None:
        self._shares[leaf.address] = share
        link = self._links.get(leaf.address)
        if link is not None:
            link.set_share(share)
        elif share and self._nursery is not None:
            link = LeafLink(leaf, share, self._tools, self._nursery)
            self._links[leaf.address] = link
            if not self._marks.is_leaving(leaf.address):
                link.warm_up()

    def _submit_here(self, address: str, attempt: Attempt, deliver: Deliver) -> bool:
        if not self._shares.get(address):
            return False
        link = self._links.get(address)
        if link is None:
            return False
        link.submit(attempt, deliver)
        return True

    def _cancel_here(self, address: str, attempt_id: str) -> None:
        link = self._links.get(address)
        if link is not None:
            link.cancel(attempt_id)

    def _choose_holder(self, leaf: Leaf) -> str | None:
        usable = {item.name: item for item in self._view.usable_peers()}
        names = [name for name in self.holders_of(leaf) if name in usable]
        region = self._view.own.region
        return min(
            names,
            key=lambda name: (
                usable[name].region != region,
                self._forwarder.in_progress_at(name),
                name,
            ),
            default=None,
        )

    def _record_outcome(
        self, leaf: Leaf, attempt: Attempt, group: str, outcome: Outcome
    ) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Replied(elapsed=elapsed):
                self._record_reply(leaf, group, now, elapsed)
            case Refused():
                pass
            case Failed(NotRun(Reason.CANCELLED | Reason.DEADLINE)):
                pass
            case Failed(MayHaveRun(Reason.CANCELLED)):
                pass
            case Failed():
                self._record_failure(leaf, group, now)

    def _record_reply(self, leaf: Leaf, group: str, now: float, elapsed: float) -> None:
        delay = self.hedge_delay_of(group)
        leaf.latency.observe(now, elapsed)
        delay.observe(now, elapsed)
        if leaf.ejection.record_success():
            self._events.emit(Events.LEAF_RETURNED, leaf=leaf.address)

    def _record_failure(self, leaf: Leaf, group: str, now: float) -> None:
        self._metrics.count("leaf.failed")
        resolved = self._groups.get(group)
        leaves = resolved.leaves if resolved else ()
        ejected = sum(1 for item in leaves if item.ejection.is_ejected(now))
        if leaf.ejection.record_failure(now, may_eject(len(leaves), ejected)):
            self._events.emit(Events.LEAF_EJECTED, leaf=leaf.address)
