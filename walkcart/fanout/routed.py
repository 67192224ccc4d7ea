"""One routed request at one leaf of each service: attempts, repeats and replies.

The caller's own task runs it. Links put outcomes into its inbox, and they are taken
here in turn, so there is no task for each shard.

Rules:

* a request that must not be repeated is sent again only after a word that it surely
  did not run;
* repeats keep to the budget of their service over all instances;
* an answer covers what was accepted, and when its objective nears, one that covers
  enough isn't held back for the rest.

See Also:
    `walkcart.fanout.gathering.Gathering`, the same at one pinned snapshot.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio
from returns.result import Failure, Result

from walkcart.fanout.ids import IdSource
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.fanout.routedverdict import covers, judge, make_failure
from walkcart.fanout.servicetry import Sent, ServiceTry
from walkcart.kernel.clock import Clock
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.pool import LeafPool
from walkcart.routing.hedging import may_hedge
from walkcart.routing.repeats import RepeatBudget
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Seconds before a service whose leafs all refused or can't be reached is tried again.
RETRY_DELAY = 0.03
#: Tries at one service at the most, whatever came of them.
MOST_TRIES = 6
#: From this status on a leaf's answer is a failure of its own.
SERVER_FAILURE = 500
#: Least share of its usual time that must be left for another attempt to be sent.
WORTHWHILE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RoutedTools:
    """What every routed question of an instance uses.

    Args:
        pool: sends attempts.
        budget: of repeats.
        instances: returns the number of instances that divide the budget.
        ids: names attempts.
        clock: source of time.
        metrics: where repeats are counted.
    """

    pool: LeafPool
    budget: RepeatBudget
    instances: Callable[[], int]
    ids: IdSource
    clock: Clock
    metrics: Metrics


class RoutedGathering:
    """One routed question."""

    def __init__(self, tools: RoutedTools, question: RoutedQuestion) -> None:
        self._tools = tools
        self._question = question
        self._tries = {name: ServiceTry(name) for name in question.services}
        self._attempts: dict[str, ServiceTry] = {}
        self._inbox: deque[tuple[Attempt, Outcome]] = deque()
        self._wakeup = trio.Event()
        self._closed = False
        self._sent = 0
        self._repeats = 0
        self._replied = 0
        self._hedge_delay = tools.pool.times_of(question.kind).current(
            tools.clock.monotonic()
        )

    async def run(self) -> Result[RoutedAnswer, RoutedFailure]:
        """Ask the services until the answer is whole, or must do as it is."""
        if not self._can_cover():
            return Failure(make_failure(tuple(self._tries.values()), late=False))
        now = self._tools.clock.monotonic()
        for item in self._tries.values():
            self._tools.budget.note_request(item.service, now)
            self._try_next(item, now)
        try:
            while not self._is_done():
                await self._wait()
                self._take_in()
                self._act()
        finally:
            self._cancel_rest()
            self._take_in()
            self._closed = True
        now = self._tools.clock.monotonic()
        tries = tuple(self._tries.values())
        return judge(self._question, tries, now, self._sent, self._repeats)

    def _can_cover(self) -> bool:
        """Return whether enough services have leafs, before any is asked."""
        served = 0
        for item in self._tries.values():
            if self._tools.pool.leaves_of(item.service):
                served += 1
            else:
                item.reason = Reason.NO_LEAF
        return self._covers(served)

    def _covers(self, count: int) -> bool:
        return covers(self._question, count)

    def _is_done(self) -> bool:
        """Return whether nothing more is worth waiting for."""
        now = self._tools.clock.monotonic()
        if self._replied == len(self._tries) or now >= self._question.deadline:
            return True
        still_open = sum(1 for item in self._tries.values() if item.open)
        if not still_open or not self._covers(self._replied + still_open):
            return True
        return now >= self._question.objective_at and self._covers(self._replied)

    async def _wait(self) -> None:
        """Wait for an outcome or for the next time at which something is due."""
        if self._inbox:
            return
        self._wakeup = trio.Event()
        with trio.move_on_at(self._next_due()):
            await self._wakeup.wait()

    def _next_due(self) -> float:
        due = self._question.deadline
        if self._covers(self._replied):
            due = min(due, self._question.objective_at)
        for item in self._tries.values():
            if item.reply is None:
                due = min(due, item.next_at or due, self._hedge_at(item))
        return due

    def _hedge_at(self, item: ServiceTry) -> float:
        """Return when a second attempt is due beside the one under way."""
        if not self._question.idempotent or len(item.under_way) != 1:
            return float("inf")
        if item.given_up or item.may_run >= self._question.most_attempts:
            return float("inf")
        return next(iter(item.under_way.values())).at + self._hedge_delay

    def _receive(self, attempt: Attempt, outcome: Outcome) -> None:
        """Put an outcome into the inbox; called by the links' tasks."""
        if self._closed:
            self._tools.metrics.count("leaf.late")
            return
        self._inbox.append((attempt, outcome))
        self._wakeup.set()

    def _take_in(self) -> None:
        while self._inbox:
            attempt, outcome = self._inbox.popleft()
            item = self._attempts[attempt.id]
            item.under_way.pop(attempt.id, None)
            self._take_outcome(item, outcome)

    def _take_outcome(self, item: ServiceTry, outcome: Outcome) -> None:
        now = self._tools.clock.monotonic()
        match outcome:
            case Replied(status=status) if (
                status < SERVER_FAILURE or not self._question.idempotent
            ):
                item.ran += 1
                self._accept(item, outcome)
            case Replied():
                item.ran += 1
                item.failure = outcome
                item.reason = Reason.LEAF_FAILED
                self._plan(item, now)
            case Refused(reason, retry_after):
                item.reason = reason
                item.refusal = NotRun(reason, "the leaf refused", retry_after)
                self._plan(item, now)
            case Failed(NotRun() as verdict):
                item.reason = verdict.reason
                item.refusal = verdict
                # It reached no leaf, so it is no repeat when it is sent again.
                item.arrived -= 1
                self._plan(item, now)
            case Failed(MayHaveRun() as verdict):
                item.ran += 1
                item.reason = verdict.reason
                self._plan(item, now)

    def _accept(self, item: ServiceTry, reply: Replied) -> None:
        if item.reply is not None:
            self._tools.metrics.count("leaf.late")
            return
        item.reply = reply
        item.next_at = None
        self._replied += 1
        self._cancel(item)

    def _plan(self, item: ServiceTry, now: float) -> None:
        """Decide whether and when the service is tried again after a failure."""
        if item.reply is not None or item.under_way:
            return
        if (
            (item.ran and not self._question.idempotent)
            or item.may_run >= self._question.most_attempts
            or len(item.tried) >= MOST_TRIES
            or not self._has_time(now)
        ):
            item.given_up = True
        else:
            untried = any(
                leaf.id not in item.tried
                for leaf in self._tools.pool.leaves_of(item.service)
            )
            item.next_at = now if untried else now + RETRY_DELAY

    def _has_time(self, now: float) -> bool:
        usual = self._tools.pool.times_of(self._question.kind).median(now)
        return now + usual * WORTHWHILE_SHARE < self._question.deadline

    def _act(self) -> None:
        """Send what is due."""
        now = self._tools.clock.monotonic()
        for item in self._tries.values():
            if item.reply is None and item.next_at is not None and item.next_at <= now:
                self._try_next(item, now)
        late = [
            item
            for item in self._tries.values()
            if item.reply is None and self._hedge_at(item) <= now
        ]
        waiting = len(self._tries) - self._replied
        if late and may_hedge(len(self._tries), waiting):
            for item in late:
                self._hedge(item, now)
        else:
            for item in late:
                item.given_up = True

    def _try_next(self, item: ServiceTry, now: float) -> None:
        """Send the next attempt, to a leaf that wasn't tried if there is one."""
        item.next_at = None
        leaf = self._choose(item, now)
        if leaf is None:
            item.reason = Reason.NO_LEAF
            if item.tried or not self._question.whole_parts:
                self._plan(item, now)
                item.next_at = None if item.given_up else now + RETRY_DELAY
            return
        if item.arrived and not self._take_repeat(item, now):
            return
        self._send(item, leaf, now)

    def _choose(self, item: ServiceTry, now: float) -> Leaf | None:
        pool = self._tools.pool
        kind = self._question.kind
        leaf = pool.choose(item.service, kind, frozenset(item.tried), now)
        if leaf is None and item.tried:
            leaf = pool.choose(item.service, kind, frozenset(), now)
        return leaf

    def _take_repeat(self, item: ServiceTry, now: float) -> bool:
        if self._tools.budget.take(item.service, now, self._tools.instances()):
            self._repeats += 1
            return True
        self._tools.metrics.count("leaf.repeat_denied")
        item.given_up = True
        return False

    def _hedge(self, item: ServiceTry, now: float) -> None:
        """Send a second attempt beside the one that is late."""
        pool = self._tools.pool
        without = frozenset(item.tried)
        leaf = pool.choose(item.service, self._question.kind, without, now)
        if leaf is None or not self._take_repeat(item, now):
            item.given_up = True
            return
        usual = pool.times_of(self._question.kind).median(now)
        for sent in item.under_way.values():
            sent.leaf.latency.observe_at_least(now, (now - sent.at) / usual)
        self._tools.metrics.count("leaf.hedged")
        self._send(item, leaf, now)

    def _send(self, item: ServiceTry, leaf: Leaf, now: float) -> None:
        question = self._question
        attempt = Attempt(
            id=self._tools.ids.take(),
            shard=0,
            deadline=question.deadline,
            routed=question.request,
            leaf_id=leaf.id,
            idempotent=question.idempotent,
            whole_part=question.whole_parts,
            traceparent=question.traceparent,
        )
        item.under_way[attempt.id] = Sent(leaf, now)
        item.tried.append(leaf.id)
        item.arrived += 1
        self._attempts[attempt.id] = item
        self._sent += 1
        self._tools.pool.submit(leaf, attempt, question.kind, self._receive)

    def _cancel(self, item: ServiceTry) -> None:
        now = self._tools.clock.monotonic()
        for id, sent in list(item.under_way.items()):
            self._tools.pool.cancel(sent.leaf, id, self._question.kind, now - sent.at)

    def _cancel_rest(self) -> None:
        for item in self._tries.values():
            item.given_up = True
            self._cancel(item)
