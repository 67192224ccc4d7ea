"""The pool of links to leaves, for routed requests.

Each instance may open a share of each leaf's connections, which depends on the number
of instances. The pool also keeps the statistics of the leaves (load, slowness, silence,
failures), since every routed attempt passes through it.

See Also:
    `walkcart.leaves.gateway.LeafGateway`, the same for the product's own questions.
"""

from __future__ import annotations

import trio

from walkcart.intent.teams import Grant
from walkcart.kernel.events import Events
from walkcart.leaves.access import LeafAccess
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.link import LeafLink
from walkcart.leaves.observedtimes import ObservedTimes
from walkcart.leaves.poolcapacity import PoolCapacity
from walkcart.leaves.pooltools import Gathering, PoolTools
from walkcart.leaves.protocol import LeafStatus
from walkcart.leaves.scopedpool import ScopedPool
from walkcart.leaves.stalls import is_stalled
from walkcart.routing.distance import Distance, measure_distance
from walkcart.routing.ejection import may_eject
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.routing.placement import LeafCandidate, choose_leaf
from walkcart.routing.requesttimes import RequestTimes
from walkcart.routing.shares import ConnectionShares
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Limit of connections to a leaf whose service the routing document doesn't describe.
DEFAULT_CONNECTIONS = 8
#: Seconds between two rounds that close unneeded links and update the shares.
TIDY_INTERVAL = 1.0
#: Rounds per check of idle connections, which is rarer since it wakes their tasks.
TIDY_ROUNDS_PER_IDLE_CHECK = 4
#: Reasons of failures that say nothing about the leaf.
UNINFORMATIVE_REASONS = frozenset(
    (Reason.CANCELLED, Reason.DEADLINE, Reason.NO_LEAF, Reason.NO_ROOM)
)


class LeafPool:
    """Sends routed attempts to leaves and keeps statistics of the leaves.

    Args:
        tools: dependencies of the pool.
    """

    def __init__(self, tools: PoolTools) -> None:
        self._tools = tools
        self.access = LeafAccess(tools)
        self._gathering: Gathering | None = None
        #: Number of instances that gather, or 0 if this one doesn't; set each round.
        self._gatherers = 0
        self._links: dict[str, LeafLink] = {}
        self._times = ObservedTimes()
        self._nursery: trio.Nursery | None = None
        self.room = PoolCapacity(self._links, self.median_time, tools.link.clock)

    def times_of(self, kind: str, distance: Distance) -> RequestTimes:
        """Return the observed times of a kind of request at leaves at a distance."""
        return self._times.find(kind, distance)

    def distance_to(self, leaf: Leaf) -> Distance:
        """Return the distance class of a leaf from this instance."""
        return measure_distance(leaf.place, self._tools.place)

    def median_time(self, leaf: Leaf, kind: str, now: float) -> float:
        """Return the median seconds of a kind of request at leaves so far away."""
        return self.times_of(kind, self.distance_to(leaf)).median(now)

    def set_gathering(self, gathering: Gathering) -> None:
        """Allow more connections while this instance is one of those that gather."""
        self._gathering = gathering

    def limit_to(self, kind: str, regions: Regions, grant: Grant | None) -> ScopedPool:
        """Return a view of the pool for a question that is limited to some regions.

        Args:
            kind: name of the question's route.
            regions: regions that were allowed when the question was admitted.
            grant: grant that admitted it; None where that isn't checked.
        """
        return ScopedPool(self, kind, regions, grant)

    def leaves_of(
        self, service: str, regions: Regions = ALL_REGIONS
    ) -> tuple[Leaf, ...]:
        """Return the leaves of a service in `regions` that may get new work."""
        return self.access.leaves_of(service, regions)

    def choose(
        self,
        service: str,
        kind: str,
        without: frozenset[str],
        objective: float,
        now: float,
        regions: Regions = ALL_REGIONS,
    ) -> Leaf | None:
        """Return the leaf for the next request, or None if no leaf may get it.

        Args:
            service: service of the leaf.
            kind: kind of the request, which determines its usual time.
            without: ids of leaves to leave out.
            objective: seconds within which the request should be answered.
            now: the present, in seconds.
            regions: regions that may serve the request.
        """
        leaves = [
            leaf
            for leaf in self.access.available_leaves(service, regions)
            if leaf.id not in without
        ]
        if len(leaves) <= 1:
            return leaves[0] if leaves else None
        candidates = [self._describe(leaf, kind, now) for leaf in leaves]
        chosen = choose_leaf(candidates, objective, self._tools.random)
        return next(leaf for leaf in leaves if chosen and leaf.id == chosen.key)

    def submit(self, leaf: Leaf, attempt: Attempt, kind: str, deliver: Deliver) -> None:
        """Send `attempt` to `leaf`; `deliver` is called once with its outcome."""
        now = self._tools.link.clock.monotonic()
        leaf.outstanding += 1
        leaf.in_flight[attempt.id] = now
        leaf.room.record_urgent(attempt.rank, attempt.objective_at - now, now)

        def finish(attempt: Attempt, outcome: Outcome) -> None:
            leaf.outstanding -= 1
            leaf.in_flight.pop(attempt.id, None)
            self._account(leaf, attempt, kind, outcome)
            deliver(attempt, outcome)

        link = self._find_link(leaf)
        if link is None:
            finish(attempt, Failed(NotRun(Reason.STOPPING, "the pool has stopped")))
            return
        link.submit(attempt, finish)

    def has_room(self, leaf: Leaf, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent to a leaf now; else it stays queued."""
        if self._tools.keeper.table.document.teams is None:
            # Without teams, no request is held back in favour of another.
            return True
        return self.room.has_room(leaf, attempt)

    def is_waiting(self, leaf: Leaf, attempt_id: str) -> bool:
        """Return whether an attempt is still queued inside this instance."""
        link = self._links.get(leaf.id)
        return link is not None and link.is_waiting(attempt_id)

    def withdraw(self, leaf: Leaf, attempt_id: str) -> bool:
        """Remove an attempt that is still queued; return whether it was."""
        link = self._links.get(leaf.id)
        return link is not None and link.withdraw(attempt_id)

    def cancel(self, leaf: Leaf, attempt_id: str, kind: str, waited: float) -> None:
        """Cancel an attempt whose result isn't needed, after it `waited` seconds."""
        link = self._links.get(leaf.id)
        if link is None or link.cancel(attempt_id):
            # An attempt that was still queued here would say nothing about the leaf.
            self.record_waiting(leaf, kind, waited)

    def record_waiting(self, leaf: Leaf, kind: str, waited: float) -> None:
        """Record that a request has been at a leaf for `waited` seconds."""
        now = self._tools.link.clock.monotonic()
        slowness = waited / self.median_time(leaf, kind, now)
        leaf.latency.observe_at_least(now, slowness)

    def record_status(self, leaf: Leaf, status: LeafStatus) -> None:
        """Record what a leaf stated about itself."""
        now = self._tools.link.clock.monotonic()
        if status.load is not None:
            leaf.record_load(now, status.load, self.room.count_waiting(leaf))
        if status.cold_time:
            leaf.extend_cold(now, status.cold_time)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run the connections of the pool until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            rounds = 0
            while True:
                await trio.sleep(TIDY_INTERVAL)
                rounds += 1
                self._tidy(with_idle=rounds % TIDY_ROUNDS_PER_IDLE_CHECK == 0)

    def _find_link(self, leaf: Leaf) -> LeafLink | None:
        link = self._links.get(leaf.id)
        if link is not None and link.leaf is not leaf:
            # The leaf was restarted; attempts in progress on the old link still end.
            self._links.pop(leaf.id).close()
            link = None
        if link is None and self._nursery is not None:
            share = self._share_of(leaf)
            tools, nursery = self._tools.link, self._nursery
            link = LeafLink(leaf, share, tools, nursery, self.has_room)
            self._links[leaf.id] = link
        return link

    def _count_gatherers(self) -> int:
        """Return the number of instances that gather, or 0 if this one doesn't."""
        gathering = self._gathering
        return gathering.count() if gathering and gathering.is_own() else 0

    def _share_of(self, leaf: Leaf) -> int:
        """Return the number of connections that this instance may open to a leaf."""
        gatherers = self._gatherers
        spec = self._tools.keeper.table.services.get(leaf.labels["service"])
        cap = spec.most_connections if spec else DEFAULT_CONNECTIONS
        shares = ConnectionShares(cap)
        share = shares.connections_per_holder(self._tools.instances())
        return (
            max(share, shares.connections_per_gatherer(gatherers))
            if gatherers
            else share
        )

    def _tidy(self, with_idle: bool) -> None:
        """Close links to leaves that are gone and update the shares of the others."""
        self._gatherers = self._count_gatherers()
        for id in list(self._links):
            leaf = self._tools.directory.find(id)
            if leaf is None or self._links[id].leaf is not leaf:
                # Attempts in progress there still end.
                self._links.pop(id).close()
            else:
                self._links[id].set_share(self._share_of(leaf))
                if with_idle:
                    self._links[id].close_idle()
        total = sum(link.connections for link in self._links.values())
        self._tools.link.metrics.gauge("leaf.connections", total)

    def _describe(self, leaf: Leaf, kind: str, now: float) -> LeafCandidate:
        usual = self.median_time(leaf, kind, now)
        return LeafCandidate(
            key=leaf.id,
            load=leaf.outstanding + leaf.reported_load(now),
            slots=leaf.slots,
            time=usual * leaf.latency.estimate(now, 1.0),
            distance=self.distance_to(leaf),
            cold=now < leaf.cold_until,
            stalled=is_stalled(leaf, usual, now),
            ejected=leaf.ejection.is_ejected(now),
            success_rate=leaf.replies.estimate(now),
        )

    def _account(
        self, leaf: Leaf, attempt: Attempt, kind: str, outcome: Outcome
    ) -> None:
        now = self._tools.link.clock.monotonic()
        match outcome:
            case Replied(status=status, elapsed=elapsed) if status < 500:
                self._record_reply(leaf, kind, now, elapsed)
            case Refused(reason=Reason.LEAF_REPLACED):
                self._tools.directory.mark_replaced(leaf)
            case Refused():
                leaf.last_reply_at = now
                leaf.replies.record(now, good=False)
            case Failed(NotRun(reason)) if reason in UNINFORMATIVE_REASONS:
                pass
            case Failed(MayHaveRun(Reason.CANCELLED | Reason.OVERLOADED)):
                pass
            case Failed(MayHaveRun(Reason.LEAF_FAILED)):
                self._note_failure(leaf, now, lost=True)
            case _:
                self._note_failure(leaf, now)

    def _record_reply(self, leaf: Leaf, kind: str, now: float, elapsed: float) -> None:
        times = self.times_of(kind, self.distance_to(leaf))
        times.observe(elapsed)
        self._tools.link.metrics.time("leaf.time", elapsed * 1000)
        leaf.latency.observe(now, elapsed / times.median(now))
        leaf.last_reply_at = now
        leaf.replies.record(now, good=True)
        if leaf.ejection.record_success():
            self._tools.link.events.emit(Events.LEAF_RETURNED, leaf=leaf.id)

    def _note_failure(self, leaf: Leaf, now: float, lost: bool = False) -> None:
        self._tools.link.metrics.count("leaf.failed")
        leaf.replies.record(now, good=False, lost=lost)
        leaves = self.leaves_of(leaf.labels["service"])
        ejected = sum(1 for item in leaves if item.ejection.is_ejected(now))
        if leaf.ejection.record_failure(now, may_eject(len(leaves), ejected)):
            self._tools.link.events.emit(Events.LEAF_EJECTED, leaf=leaf.id)
