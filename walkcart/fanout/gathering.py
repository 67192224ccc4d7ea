"""Asks all shards one question at one snapshot: attempts, retries, hedges and replies.

The caller's own task runs it. The connections' tasks send the attempts and put their
outcomes into the question's inbox, from which they are processed in turn, so no task is
needed for each shard.

Rules that make the answer correct:

* only replies that state the chosen snapshot are accepted, one for each shard;
* coverage is computed from the accepted replies;
* a shard without a reply is listed as missing, with the reason.

See Also:
    `walkcart.leaves.gateway.LeafGateway`, which sends the attempts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import trio

from walkcart.fanout.answers import Answer
from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.ids import IdSource
from walkcart.fanout.progress import (
    Sent,
    ShardProgress,
    find_median_time,
    make_coverage,
)
from walkcart.fanout.quarantines import Quarantines
from walkcart.fanout.questions import Question
from walkcart.fanout.selection import LeafSelector
from walkcart.kernel.clock import Clock
from walkcart.kernel.invariants import Invariants
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import ANY_VERSION, Leaf, Snapshot
from walkcart.leaves.protocol import matches_pin
from walkcart.leaves.table import LeafTable, ResolvedLayout
from walkcart.routing.budgets import ShareBudget
from walkcart.routing.hedging import may_hedge
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Maximum number of attempts at one shard.
MAX_TRIES = 5
#: Maximum number of hedges of one shard. A single one leaves a tail of slow answers
#: where stalls are random: a hedge stalls as often as a first attempt.
MAX_HEDGE_ROUNDS = 3
#: Seconds before the first retry at a leaf that was tried already; doubled each time.
FIRST_RETRY_DELAY = 0.01
#: Seconds reserved before the deadline to assemble the reply.
REPLY_TIME = 0.005


@dataclass(frozen=True, slots=True)
class GatherTools:
    """The components that every gathering of an instance uses.

    Args:
        table: the table of leaves by layout and shard.
        gateway: sends attempts to leaves.
        selector: selects the leaf for an attempt.
        ids: source of ids of attempts.
        clock: source of time.
        invariants: checks that report a violation.
        metrics: counters of attempts.
        quarantines: requests under which leaves crashed.
    """

    table: LeafTable
    gateway: LeafGateway
    selector: LeafSelector
    ids: IdSource
    clock: Clock
    invariants: Invariants
    metrics: Metrics
    quarantines: Quarantines


class Gathering:
    """Runs one question at one snapshot.

    Args:
        tools: shared components.
        question: the question.
        layout: the layout whose shards are asked.
        pin: the snapshot that replies must reflect.
        hedges: the group's budget of hedges.
        retries: the group's budget of retries.
        watch: counts the leaves that crash under the question.
    """

    def __init__(
        self,
        tools: GatherTools,
        question: Question,
        layout: ResolvedLayout,
        pin: Snapshot,
        hedges: ShareBudget,
        retries: ShareBudget,
        watch: CrashWatch,
    ) -> None:
        self._watch = watch
        self._tools = tools
        self._question = question
        self._layout = layout
        self._pin = pin
        self._fingerprint = question.fingerprint
        self._hedges = hedges
        self._retries = retries
        self._inbox: deque[tuple[Attempt, Outcome]] = deque()
        self._wakeup = trio.Event()
        self._progress = [
            ShardProgress(shard, leaves) for shard, leaves in enumerate(layout.shards)
        ]
        self._other_snapshots: dict[Snapshot, dict[int, Replied]] = {}
        self._open_count = len(self._progress)
        self._sent = 0
        self._may_have_run = False
        self._closed = False
        self._deadline = question.deadline - REPLY_TIME
        self._started_at = 0.0
        self._hedge_rounds = 0
        self._hedge_delay = 0.0
        self._hedge_at = float("inf")
        self._partial_at = float("inf")

    @property
    def lacks_version(self) -> bool:
        """Whether all leaves of some shard stated they lack the pinned version."""
        return any(item.lacks_version for item in self._progress)

    def move(self, layout: ResolvedLayout, pin: Snapshot) -> Gathering:
        """Return a gathering of the same question at another snapshot.

        Replies of that snapshot that have already arrived are kept.
        """
        moved = Gathering(
            self._tools,
            self._question,
            layout,
            pin,
            self._hedges,
            self._retries,
            self._watch,
        )
        kept = dict(self._other_snapshots.get(pin, {}))
        if pin.layout == layout.epoch == self._pin.layout:
            for shard, reply in kept.items():
                moved._progress[shard].reply = reply
                moved._open_count -= 1
        return moved

    async def run(self) -> Answer:
        """Ask the shards until the answer is complete or no more replies can come."""
        start = self._started_at = self._tools.clock.monotonic()
        policy = self._question.policy
        open_count = self._open_count
        self._hedges.earn(open_count, policy.hedge_budget)
        self._retries.earn(open_count, policy.retry_budget)
        group = self._question.group
        learned = self._tools.gateway.hedge_delay_of(group)
        self._hedge_delay = learned.current(start)
        if policy.hedge_budget > 0 and not learned.is_group_slow(start):
            self._hedge_at = start + self._hedge_delay
        if policy.partial_after is not None:
            self._partial_at = start + policy.partial_after.total_seconds()
        for item in self._progress:
            if item.reply is not None:
                continue
            if self._watch.is_sequential:
                item.retry_at = start
            else:
                self._send_first(item, start)
        try:
            self._send_due()
            while self._open_count and not self._is_enough():
                await self._wait()
                self._process_inbox()
                self._send_due()
        finally:
            self._closed = True
            self._cancel_rest()
        return self._make_answer()

    def _is_enough(self) -> bool:
        """Return whether to stop waiting for more replies."""
        now = self._tools.clock.monotonic()
        if now >= self._deadline or self._watch.is_stopped:
            return True
        if now < self._partial_at:
            return False
        answered = sum(1 for item in self._progress if item.reply is not None)
        min_share = max(self._question.least_coverage, 1 / len(self._progress))
        return answered / len(self._progress) >= min_share

    async def _wait(self) -> None:
        """Wait for an outcome or until the next action is due."""
        due = min(self._deadline, self._find_next_retry_time())
        if not self._watch.is_sequential:
            due = min(due, self._hedge_at)
        if self._tools.clock.monotonic() < self._partial_at:
            due = min(due, self._partial_at)
        if not self._inbox:
            self._wakeup = trio.Event()
            with trio.move_on_at(due):
                await self._wakeup.wait()

    def _find_next_retry_time(self) -> float:
        """Return when the next retry is due; infinite without one that may be sent."""
        times = [
            item.retry_at
            for item in self._progress
            if item.retry_at is not None and self._watch.may_send(str(item.shard))
        ]
        return min(times, default=float("inf"))

    def _receive(self, attempt: Attempt, outcome: Outcome) -> None:
        """Put an outcome into the inbox; called by the connections' tasks."""
        if self._closed:
            self._tools.metrics.count("leaf.late")
            return
        self._inbox.append((attempt, outcome))
        self._wakeup.set()

    def _process_inbox(self) -> None:
        while self._inbox:
            attempt, outcome = self._inbox.popleft()
            item = self._progress[attempt.shard]
            sent = item.under_way.pop(attempt.id, None)
            if sent is None or item.reply is not None:
                self._tools.metrics.count("leaf.late")
                continue
            self._process_outcome(item, sent, outcome)

    def _process_outcome(
        self, item: ShardProgress, sent: Sent, outcome: Outcome
    ) -> None:
        match outcome:
            case Replied():
                self._may_have_run = True
                self._watch.record_answer()
                self._process_reply(item, outcome)
            case Refused(reason=reason):
                self._watch.record_failed(str(item.shard))
                if reason is Reason.VERSION_NOT_HELD:
                    item.lost_version.add(sent.leaf.address)
                item.reason = reason
                # Neither a leaf without the version nor one that is leaving has done
                # any work, and a leaving leaf refuses only once.
                free = reason is Reason.VERSION_NOT_HELD or not (
                    self._tools.gateway.may_use(sent.leaf)
                )
                self._plan_retry(item, free=free)
            case Failed(verdict=verdict):
                if verdict.reason is Reason.LEAF_ENDED:
                    now = self._tools.clock.monotonic()
                    leaf = sent.leaf.id or sent.leaf.address
                    self._watch.record_ended(
                        str(item.shard), sent_at=sent.at, now=now, leaf=leaf
                    )
                else:
                    self._watch.record_failed(str(item.shard))
                self._may_have_run |= isinstance(verdict, MayHaveRun)
                item.reason = verdict.reason
                self._plan_retry(item, free=isinstance(verdict, NotRun))

    def _process_reply(self, item: ShardProgress, reply: Replied) -> None:
        if self._pin.version == ANY_VERSION and reply.snapshot.layout == (
            self._pin.layout
        ):
            self._adopt_pin(reply.snapshot)
        if not matches_pin(self._pin, reply.snapshot):
            # The leaf can't pin: its reply is only of use at its own snapshot.
            self._other_snapshots.setdefault(reply.snapshot, {})[item.shard] = reply
            item.reason = Reason.OTHER_VERSION
            self._plan_retry(item, free=False)
            return
        item.reply = reply
        item.time = self._tools.clock.monotonic() - self._started_at
        self._open_count -= 1
        self._cancel_attempts(item)

    def _adopt_pin(self, snapshot: Snapshot) -> None:
        """Pin the snapshot of the first reply, when no version was known before."""
        self._pin = snapshot

    def _plan_retry(self, item: ShardProgress, free: bool) -> None:
        """Decide whether and when a shard is retried.

        Args:
            item: the question's state at the shard.
            free: whether the last attempt cost no leaf any work, so that asking another
                leaf is no additional load.
        """
        if item.under_way:
            return
        untried = [
            leaf
            for leaf in self._list_usable_leaves(item)
            if leaf.address not in item.tried and leaf.address not in item.lost_version
        ]
        now = self._tools.clock.monotonic()
        if item.lacks_version or item.tries >= MAX_TRIES:
            self._give_up(item)
        elif untried and (free or self._retries.try_spend()):
            item.retry_at = now
        elif not untried and self._retries.try_spend():
            item.retry_at = now + FIRST_RETRY_DELAY * 2 ** (item.tries - 1)
        else:
            self._give_up(item)

    def _give_up(self, item: ShardProgress) -> None:
        """Record that a shard gets no further attempt and no reply is awaited."""
        item.retry_at = None
        self._open_count -= 1

    def _send_due(self) -> None:
        """Send the retries and hedges that are due."""
        now = self._tools.clock.monotonic()
        for item in self._progress:
            due = item.retry_at is not None and item.retry_at <= now
            if due and self._watch.may_send(str(item.shard)):
                self._send_retry(item, now)
        if now >= self._hedge_at and not self._watch.is_sequential:
            self._hedge_rounds += 1
            more = self._hedge_rounds < MAX_HEDGE_ROUNDS
            self._hedge_at = now + self._hedge_delay if more else float("inf")
            self._hedge_late(now)

    def _hedge_late(self, now: float) -> None:
        """Send hedges for the late shards, if these are few enough."""
        late = [
            item for item in self._progress if item.reply is None and item.under_way
        ]
        if not may_hedge(len(self._progress), len(late)):
            return
        for item in late:
            # A second hedge may go back to the first leaf, which has other slots.
            leaf = self._select(item, now, {item.tried[-1]} | item.lost_version)
            if leaf is None or not _has_free_slot(leaf, item, now):
                continue
            if not self._hedges.try_spend():
                return
            self._tools.metrics.count("leaf.hedged")
            for sent in item.under_way.values():
                sent.leaf.latency.observe_at_least(now, now - sent.at)
            self._cancel_earlier(item, leaf, now)
            self._send(item, leaf, now, hedge=True)

    def _cancel_earlier(self, item: ShardProgress, leaf: Leaf, now: float) -> None:
        """Cancel the shard's earlier attempt at `leaf`: it stalls and holds a slot."""
        for id, sent in item.under_way.items():
            if sent.leaf is leaf:
                self._tools.gateway.cancel(leaf, id, now - sent.at)

    def _send_first(self, item: ShardProgress, now: float) -> None:
        leaf = self._select(item, now, without=set())
        if leaf is None:
            item.reason = Reason.NO_LEAF
            self._open_count -= 1
            return
        self._send(item, leaf, now, hedge=False)

    def _send_retry(self, item: ShardProgress, now: float) -> None:
        item.retry_at = None
        without = set(item.tried) | item.lost_version
        leaf = self._select(item, now, without)
        if leaf is None:
            leaf = self._select(item, now, item.lost_version)
        if leaf is None:
            self._give_up(item)
            return
        self._tools.metrics.count("leaf.retried")
        self._send(item, leaf, now, hedge=False)

    def _list_usable_leaves(self, item: ShardProgress) -> list[Leaf]:
        return [leaf for leaf in item.leaves if self._tools.gateway.may_use(leaf)]

    def _select(
        self, item: ShardProgress, now: float, without: set[str]
    ) -> Leaf | None:
        leaves = [
            leaf
            for leaf in self._list_usable_leaves(item)
            if leaf.address not in without
        ]
        return self._tools.selector.select(self._question, item.shard, leaves, now)

    def _send(self, item: ShardProgress, leaf: Leaf, now: float, hedge: bool) -> None:
        attempt = Attempt(
            id=self._tools.ids.next_id(),
            shard=item.shard,
            pin=self._pin,
            scope=self._question.scope,
            deadline=self._question.deadline,
            body=self._question.body,
            traceparent=self._question.traceparent,
            fingerprint=self._fingerprint,
            check_alive=self._watch.checks_liveness,
        )
        self._watch.record_sent(str(item.shard))
        item.under_way[attempt.id] = Sent(leaf, now, hedge)
        item.tried.append(leaf.address)
        item.tries += 1
        self._sent += 1
        self._tools.gateway.submit(leaf, attempt, self._question.group, self._receive)

    def _cancel_attempts(self, item: ShardProgress) -> None:
        """Cancel the attempts that are still under way at a shard."""
        now = self._tools.clock.monotonic()
        for id, sent in item.under_way.items():
            self._tools.gateway.cancel(sent.leaf, id, now - sent.at)

    def _cancel_rest(self) -> None:
        for item in self._progress:
            if item.reply is None:
                self._cancel_attempts(item)

    def _make_answer(self) -> Answer:
        """Assemble the answer from the replies of one snapshot.

        This is the pinned snapshot, or another one that more replies reflect.
        """
        replies = {
            item.shard: item.reply for item in self._progress if item.reply is not None
        }
        snapshot = self._pin
        for other, found in sorted(self._other_snapshots.items()):
            if len(found) > len(replies):
                snapshot, replies = other, found
        self._tools.invariants.check(
            all(reply.snapshot == snapshot for reply in replies.values()),
            "one snapshot for each answer",
            str(snapshot),
        )
        return Answer(
            snapshot,
            make_coverage(self._progress, replies),
            tuple((shard, replies[shard].body) for shard in sorted(replies)),
            self._sent,
            find_median_time(self._progress),
            self._may_have_run or any(item.under_way for item in self._progress),
        )


def _has_free_slot(leaf: Leaf, item: ShardProgress, now: float) -> bool:
    """Return whether a hedge would likely run at `leaf` without queueing.

    A hedge that queues is no faster than the attempt that it hedges, and under load it
    lengthens the queue. The shard's own attempts at the leaf don't count: they are
    cancelled for the hedge.
    """
    own = sum(1 for sent in item.under_way.values() if sent.leaf is leaf)
    return leaf.outstanding - own + leaf.reported_load(now) < leaf.slots
