"""The requests that one routed question sends to leafs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.leafchoice import LeafChoice
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import Sent, ServiceProgress
from walkcart.leaves.attempts import Attempt, Deliver
from walkcart.leaves.leaf import Leaf
from walkcart.routing.distance import Distance
from walkcart.routing.requesttimes import (
    HEDGE_RESERVE,
    find_hedge_time,
    find_last_hedge_time,
    find_recheck_time,
)
from walkcart.wire.verdicts import Reason

#: Seconds before a service whose leafs all refused or can't be reached is tried again.
RETRY_DELAY = 0.03
#: Tries at one service at the most, whatever came of them.
MOST_TRIES = 6
#: Seconds after which a request that must not repeat, and of which nothing was sent for
#: want of a connection, goes to another leaf: some round trips between regions.
CONNECTION_TIME = 0.12
#: Least share of its usual time that must be left for another attempt to be sent.
WORTHWHILE_SHARE = 0.5


class RoutedSends:
    """Sends the attempts of one question, within its rules and its budget.

    Args:
        tools: what routed questions use.
        question: whose attempts these are.
        deliver: told how each attempt ended.
        is_vital: returns whether there is no answer without a service's part.
        watch: counts the leafs that ended under the question.
    """

    def __init__(
        self,
        tools: RoutedTools,
        question: RoutedQuestion,
        deliver: Deliver,
        is_vital: Callable[[ServiceProgress], bool],
        watch: CrashWatch,
    ) -> None:
        self._tools = tools
        self._question = question
        self._deliver = deliver
        self._is_vital = is_vital
        self._watch = watch
        self._attempts: dict[str, ServiceProgress] = {}
        time = min(question.objective_at, question.deadline) - tools.clock.monotonic()
        self._choice = LeafChoice(tools, question, max(0.0, time))
        #: When second attempts that were put off are considered again, in seconds.
        self._second_look = find_recheck_time(
            tools.clock.monotonic(), question.objective_at, question.deadline
        )
        #: Whether attempts at leafs in other regions are left to be sent together.
        self._leaves_far = question.settle_at < float("inf")
        self._may_repeat = not question.first_only
        self.sent = 0
        self.repeats = 0

    def allow_repeats(self) -> None:
        """Make attempts beside, or after, those that may have run, from now on."""
        self._may_repeat = True

    def find(self, attempt: Attempt) -> ServiceProgress:
        """Return the service that an attempt was sent to."""
        return self._attempts[attempt.id]

    def try_next(self, item: ServiceProgress, now: float) -> None:
        """Send the next attempt, to a leaf that wasn't tried if there is one."""
        item.next_at = None
        leaf = self._choice.choose(item, now)
        if leaf is None:
            item.reason = Reason.NO_LEAF
            if not self._question.success_only:
                self.plan(item, now)
            return
        if item.arrived and not self.take_repeat(item, now):
            return
        if item.arrived and leaf.id not in item.ran_at and self._is_left(leaf):
            item.left = not item.regrouped
            item.given_up = item.regrouped
            return
        self._send(item, leaf, now)

    def send_elsewhere(self, item: ServiceProgress, now: float) -> None:
        """Send an attempt that the budget holds, to a leaf in a place not asked yet."""
        leaf = self._choice.choose_elsewhere(item, now)
        if leaf is None:
            item.reason = Reason.NO_LEAF
            item.given_up = True
            return
        self._send(item, leaf, now)

    def find_last_call(self) -> float:
        """Return when a repeat must be sent to come within the objective."""
        now = self._tools.clock.monotonic()
        times = self._tools.pool.times_of(
            self._question.kind, Distance.SAME_DATA_CENTRE
        )
        return self._question.objective_at - times.high(now) - HEDGE_RESERVE

    def send_left(self, tries: Iterable[ServiceProgress], now: float) -> None:
        """Send each attempt by itself from now on, also those that were left."""
        self._leaves_far = False
        for item in tries:
            if item.left:
                item.left = False
                self.send_elsewhere(item, now)

    def plan(self, item: ServiceProgress, now: float) -> None:
        """Decide whether and when a service is tried again after a failure."""
        if item.covered or item.under_way or item.delegated:
            return
        if not self._may_try(item, now):
            item.given_up = True
            return
        leaves = self._tools.pool.leaves_of(item.service)
        ready = any(leaf.id not in item.tried for leaf in leaves)
        ready = ready or bool(self._choice.find_askable(item))
        item.next_at = now if ready else now + RETRY_DELAY

    def due_at(self, item: ServiceProgress) -> float:
        """Return when the next planned attempt is due; infinite when none may be."""
        if item.next_at is None or (item.ran and not self._may_repeat):
            return float("inf")
        return item.next_at

    def hedge_at(self, item: ServiceProgress) -> float:
        """Return when a second attempt is due beside, or instead of, the first."""
        if len(item.under_way) != 1 or not self._may_repeat:
            return float("inf")
        if item.given_up or item.may_run >= self._question.most_attempts:
            return float("inf")
        return next(iter(item.under_way.values())).hedge_at

    def hedge(self, item: ServiceProgress, now: float) -> None:
        """Send a second attempt beside the one that is late, or instead of it.

        One that still waits for a connection is taken back, which costs nothing, and
        goes elsewhere. Only what may be repeated is sent beside one that was sent.
        """
        pool = self._tools.pool
        kind = self._question.kind
        if self._withdraw(item):
            return
        if not self._question.idempotent:
            item.given_up = True
            return
        leaf = self._choice.choose_untried(item, now)
        if leaf is not None and self._postpone(item, leaf, now):
            return
        if leaf is None or self._is_left(leaf) or not self.take_repeat(item, now):
            item.given_up = True
            return
        for sent in item.under_way.values():
            pool.record_waiting(sent.leaf, kind, now - sent.at)
        self._tools.metrics.count("leaf.hedged")
        self._send(item, leaf, now)

    def is_long_late(self, now: float) -> bool:
        """Return whether a reply that is missing now is likely lost, not just late."""
        return now >= self._second_look

    def put_off(self, item: ServiceProgress, now: float) -> None:
        """Put a second attempt off to the second look: too many are late for it now."""
        if self.is_long_late(now):
            item.given_up = True
            return
        for id, sent in item.under_way.items():
            item.under_way[id] = replace(sent, hedge_at=self._second_look)

    def _withdraw(self, item: ServiceProgress) -> bool:
        """Take back an attempt that waits inside this instance, for another leaf.

        Where all leafs had one it keeps its place in the order.
        """
        pool = self._tools.pool
        leaves = pool.leaves_of(item.service)
        untried = any(leaf.id not in item.tried for leaf in leaves)
        for id, sent in list(item.under_way.items()):
            if not pool.is_waiting(sent.leaf, id):
                continue
            if not untried:
                item.under_way[id] = replace(sent, hedge_at=float("inf"))
                return True
            return pool.withdraw(sent.leaf, id)
        return False

    def _postpone(self, item: ServiceProgress, leaf: Leaf, now: float) -> bool:
        """Put a second attempt off while its leaf is busy; return whether it was."""
        busy = leaf.outstanding + leaf.reported_load(now) >= leaf.slots
        for id, sent in item.under_way.items():
            if busy and now < sent.last_hedge_at:
                item.under_way[id] = replace(sent, hedge_at=sent.last_hedge_at)
                return True
        return False

    def cancel(self, item: ServiceProgress) -> None:
        """Cancel what is under way at a service."""
        now = self._tools.clock.monotonic()
        for id, sent in list(item.under_way.items()):
            self._tools.pool.cancel(sent.leaf, id, self._question.kind, now - sent.at)

    def _may_try(self, item: ServiceProgress, now: float) -> bool:
        if item.ran and not self._question.idempotent:
            return False
        if not (self._choice.may_add(item) or self._choice.find_askable(item)):
            return False
        if not self._tools.pool.may_send:
            return False
        return len(item.tried) < MOST_TRIES and self._has_time(now)

    def _has_time(self, now: float) -> bool:
        times = self._tools.pool.times_of(
            self._question.kind, Distance.SAME_DATA_CENTRE
        )
        usual = times.median(now)
        return now + usual * WORTHWHILE_SHARE < self._question.deadline

    def _is_left(self, leaf: Leaf) -> bool:
        """Return whether attempts at a leaf are left to be sent with others."""
        far = self._tools.pool.distance_to(leaf) is Distance.OTHER_REGION
        return self._leaves_far and far

    def take_repeat(
        self, item: ServiceProgress, now: float, vital: bool | None = None
    ) -> bool:
        """Take a repeat from the budget; return False when none is left.

        One without which there may still be an answer leaves a reserve, and is asked
        for again when the answer comes to depend on it.

        Args:
            item: the service that gets it.
            now: the present, in seconds.
            vital: whether there is no answer without it; found out if None.
        """
        if vital is None:
            vital = self._is_vital(item)
        instances = self._tools.instances()
        if (vital and self._take_lent(item)) or self._tools.budget.try_spend(
            item.service, now, instances, vital
        ):
            self.repeats += 1
            return True
        self._tools.metrics.count("leaf.repeat_denied")
        item.given_up = True
        item.held_back = not vital
        return False

    def _take_lent(self, item: ServiceProgress) -> bool:
        """Take a repeat that who asked lends; only once its word has come."""
        lent = self._question.lent
        if not self._may_repeat or lent is None or not lent.take(item.service):
            return False
        self._tools.metrics.count("leaf.repeat_lent")
        return True

    def _find_hedge_times(self, leaf: Leaf, now: float) -> tuple[float, float]:
        """Return from when and until when a second attempt is due beside one at `leaf`.

        The second of them holds where the leaf for it is busy.
        """
        pool = self._tools.pool
        kind = self._question.kind
        if not self._question.idempotent:
            return now + CONNECTION_TIME, now + CONNECTION_TIME
        service = leaf.labels["service"]
        others = [item for item in pool.leaves_of(service) if item is not leaf]
        nearest = min(
            (pool.distance_to(item) for item in others), default=pool.distance_to(leaf)
        )
        if self._leaves_far and nearest is Distance.OTHER_REGION:
            return float("inf"), float("inf")
        late = pool.times_of(kind, pool.distance_to(leaf)).late(now)
        other = pool.times_of(kind, nearest).high(now)
        objective = self._question.objective_at
        return (
            find_hedge_time(now, objective, late, other),
            find_last_hedge_time(now, objective, late, other),
        )

    def _send(self, item: ServiceProgress, leaf: Leaf, now: float) -> None:
        question = self._question
        attempt = Attempt(
            id=self._tools.ids.next_id(),
            shard=0,
            deadline=question.deadline,
            caller_request=question.request,
            leaf_id=leaf.id,
            idempotent=question.idempotent,
            success_only=question.success_only,
            traceparent=question.traceparent,
            fingerprint=question.fingerprint,
            check_alive=self._watch.is_wary,
            kind=question.kind,
            regions=question.regions,
            grant=question.grant,
            rank=question.rank,
            objective_at=question.objective_at,
        )
        again = leaf.id in item.ran_at
        if again:
            self._tools.metrics.count("leaf.asked_again")
        times = self._find_hedge_times(leaf, now)
        item.under_way[attempt.id] = Sent(leaf, now, *times, again=again)
        item.tried.append(leaf.id)
        item.places.add(leaf.place)
        item.arrived += 1
        self._attempts[attempt.id] = item
        self.sent += 1
        self._tools.pool.submit(leaf, attempt, question.kind, self._deliver)
