"""Sends the requests of one routed question to leaves."""

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

#: Seconds before a service is retried after all its leaves refused or were unreachable.
RETRY_DELAY = 0.03
#: Maximum number of attempts at one service, whatever their outcomes.
MAX_TRIES = 6
#: Seconds for which a request that must not repeat waits for a connection, with nothing
#: sent, before it goes to another leaf: several round trips between regions.
CONNECTION_TIMEOUT = 0.12
#: Share of the median time of a request that must be left before the deadline for
#: another attempt to be worth sending.
MIN_TIME_SHARE = 0.5


class RoutedSends:
    """Sends the attempts of one question, within its limits and its repeat budget.

    Args:
        tools: shared components of routed questions.
        question: the question.
        deliver: called with the outcome of each attempt.
        is_vital: returns whether no answer is possible without a service's part.
        watch: counts the leaves that crash under the question.
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
        #: Time at which postponed hedges are considered again, in seconds.
        self._reconsider_at = find_recheck_time(
            tools.clock.monotonic(), question.objective_at, question.deadline
        )
        #: Whether repeats at leaves in other regions are deferred, to be sent together.
        self._defers_far = question.settle_at < float("inf")
        #: Whether an attempt may be sent beside or after one that may have run.
        self._may_repeat = not question.await_confirmation
        self.sent = 0
        self.repeats = 0

    def allow_repeats(self) -> None:
        """Allow, from now on, attempts beside or after ones that may have run."""
        self._may_repeat = True

    def find_progress(self, attempt: Attempt) -> ServiceProgress:
        """Return the state of the service that an attempt was sent to."""
        return self._attempts[attempt.id]

    def try_next(self, item: ServiceProgress, now: float) -> None:
        """Send the next attempt, preferably to a leaf that wasn't tried yet."""
        item.next_at = None
        leaf = self._choice.choose(item, now)
        if leaf is None:
            item.reason = Reason.NO_LEAF
            if not self._question.success_only:
                self.plan_retry(item, now)
            return
        if item.arrived and not self.try_spend_repeat(item, now):
            return
        if (
            item.arrived
            and leaf.id not in item.ran_leaf_ids
            and self._is_deferred(leaf)
        ):
            item.deferred = not item.regrouped
            item.given_up = item.regrouped
            return
        self._send(item, leaf, now)

    def send_elsewhere(self, item: ServiceProgress, now: float) -> None:
        """Send an attempt to a leaf in a place that wasn't asked yet.

        The repeat budget already accounts for the attempt.
        """
        leaf = self._choice.choose_elsewhere(item, now)
        if leaf is None:
            item.reason = Reason.NO_LEAF
            item.given_up = True
            return
        self._send(item, leaf, now)

    def find_last_repeat_time(self) -> float:
        """Return the latest time to send a repeat that meets the objective."""
        now = self._tools.clock.monotonic()
        times = self._tools.pool.times_of(
            self._question.kind, Distance.SAME_DATA_CENTRE
        )
        return self._question.objective_at - times.high(now) - HEDGE_RESERVE

    def send_deferred(self, progress: Iterable[ServiceProgress], now: float) -> None:
        """Send deferred attempts now, and each later one by itself."""
        self._defers_far = False
        for item in progress:
            if item.deferred:
                item.deferred = False
                self.send_elsewhere(item, now)

    def plan_retry(self, item: ServiceProgress, now: float) -> None:
        """Decide whether and when a service is retried after a failure."""
        if item.covered or item.under_way or item.delegated:
            return
        if not self._may_retry(item, now):
            item.given_up = True
            return
        leaves = self._tools.pool.leaves_of(item.service)
        ready = any(leaf.id not in item.known_sends for leaf in leaves)
        ready = ready or bool(self._choice.find_repeatable(item))
        item.next_at = now if ready else now + RETRY_DELAY

    def due_at(self, item: ServiceProgress) -> float:
        """Return when the next planned attempt may be sent; infinite if none may."""
        if item.next_at is None or (item.ran and not self._may_repeat):
            return float("inf")
        return item.next_at

    def hedge_at(self, item: ServiceProgress) -> float:
        """Return when a hedge of the only attempt under way is due; else infinity."""
        if len(item.under_way) != 1 or not self._may_repeat:
            return float("inf")
        if item.given_up or item.may_run >= self._question.most_attempts:
            return float("inf")
        return next(iter(item.under_way.values())).hedge_at

    def hedge(self, item: ServiceProgress, now: float) -> None:
        """Send a hedge beside the attempt that is late, or move that attempt.

        An attempt that still waits for a connection is withdrawn, which costs nothing,
        and goes to another leaf. Once it was sent, only an idempotent request gets a
        second attempt beside it.
        """
        pool = self._tools.pool
        kind = self._question.kind
        if self._withdraw(item):
            return
        if not self._question.idempotent:
            item.given_up = True
            return
        leaf = self._choice.choose_untried(item, now)
        if leaf is not None and self._postpone_while_busy(item, leaf, now):
            return
        if (
            leaf is None
            or self._is_deferred(leaf)
            or not self.try_spend_repeat(item, now)
        ):
            item.given_up = True
            return
        for sent in item.under_way.values():
            pool.record_waiting(sent.leaf, kind, now - sent.at)
        self._tools.metrics.count("leaf.hedged")
        self._send(item, leaf, now)

    def is_likely_lost(self, now: float) -> bool:
        """Return whether a reply that hasn't come by `now` is likely lost."""
        return now >= self._reconsider_at

    def postpone_hedge(self, item: ServiceProgress, now: float) -> None:
        """Postpone a hedge while too many services are late; later, give it up."""
        if self.is_likely_lost(now):
            item.given_up = True
            return
        for id, sent in item.under_way.items():
            item.under_way[id] = replace(sent, hedge_at=self._reconsider_at)

    def _withdraw(self, item: ServiceProgress) -> bool:
        """Withdraw an attempt that waits inside this instance; it goes to another leaf.

        Where all leaves have been tried, it keeps its place in the queue instead.
        Return whether one of the two was done.
        """
        pool = self._tools.pool
        leaves = pool.leaves_of(item.service)
        untried = any(leaf.id not in item.known_sends for leaf in leaves)
        for id, sent in list(item.under_way.items()):
            if not pool.is_waiting(sent.leaf, id):
                continue
            if not untried:
                item.under_way[id] = replace(sent, hedge_at=float("inf"))
                return True
            return pool.withdraw(sent.leaf, id)
        return False

    def _postpone_while_busy(
        self, item: ServiceProgress, leaf: Leaf, now: float
    ) -> bool:
        """Postpone a hedge while its leaf is busy; return whether it was postponed."""
        busy = leaf.outstanding + leaf.reported_load(now) >= leaf.slots
        for id, sent in item.under_way.items():
            if busy and now < sent.last_hedge_at:
                item.under_way[id] = replace(sent, hedge_at=sent.last_hedge_at)
                return True
        return False

    def cancel(self, item: ServiceProgress) -> None:
        """Cancel the attempts under way at a service."""
        now = self._tools.clock.monotonic()
        for id, sent in list(item.under_way.items()):
            self._tools.pool.cancel(sent.leaf, id, self._question.kind, now - sent.at)

    def _may_retry(self, item: ServiceProgress, now: float) -> bool:
        """Return whether a service may get another attempt after a failure."""
        if item.ran and not self._question.idempotent:
            return False
        if not (
            self._choice.may_use_new_leaf(item) or self._choice.find_repeatable(item)
        ):
            return False
        if not self._tools.pool.may_send:
            return False
        return len(item.known_sends) < MAX_TRIES and self._has_time(now)

    def _has_time(self, now: float) -> bool:
        """Return whether another attempt may still be answered by the deadline."""
        times = self._tools.pool.times_of(
            self._question.kind, Distance.SAME_DATA_CENTRE
        )
        usual = times.median(now)
        deadline = self._tools.shutdown.limit(self._question.deadline)
        return now + usual * MIN_TIME_SHARE < deadline

    def _is_deferred(self, leaf: Leaf) -> bool:
        """Return whether repeats at a leaf are deferred, to be sent with others."""
        far = self._tools.pool.distance_to(leaf) is Distance.OTHER_REGION
        return self._defers_far and far

    def try_spend_repeat(
        self, item: ServiceProgress, now: float, vital: bool | None = None
    ) -> bool:
        """Spend a repeat from the budget; return False when none is left.

        A repeat that the answer doesn't depend on can't spend the budget's reserve. If
        it is denied, it is tried again when the answer comes to depend on it.

        Args:
            item: the service that gets the repeat.
            now: the current time, in seconds.
            vital: whether no answer is possible without it; computed if None.
        """
        if vital is None:
            vital = self._is_vital(item)
        instances = self._tools.instances()
        if (vital and self._try_spend_lent(item)) or self._tools.budget.try_spend(
            item.service, now, instances, vital
        ):
            self.repeats += 1
            return True
        self._tools.metrics.count("leaf.repeat_denied")
        item.given_up = True
        item.held_back = not vital
        return False

    def _try_spend_lent(self, item: ServiceProgress) -> bool:
        """Spend a repeat that the asking instance lent, if that has confirmed."""
        lent = self._question.lent
        if not self._may_repeat or lent is None or not lent.try_use(item.service):
            return False
        self._tools.metrics.count("leaf.repeat_lent")
        return True

    def _find_hedge_times(self, leaf: Leaf, now: float) -> tuple[float, float]:
        """Return when a hedge of an attempt at `leaf` is due, and its latest time.

        The latest time applies where the leaf for the hedge is busy.
        """
        pool = self._tools.pool
        kind = self._question.kind
        if not self._question.idempotent:
            return now + CONNECTION_TIMEOUT, now + CONNECTION_TIMEOUT
        service = leaf.labels["service"]
        others = [item for item in pool.leaves_of(service) if item is not leaf]
        nearest = min(
            (pool.distance_to(item) for item in others), default=pool.distance_to(leaf)
        )
        if self._defers_far and nearest is Distance.OTHER_REGION:
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
            deadline=self._tools.shutdown.limit(question.deadline),
            caller_request=question.request,
            leaf_id=leaf.id,
            idempotent=question.idempotent,
            success_only=question.success_only,
            traceparent=question.traceparent,
            fingerprint=question.fingerprint,
            check_alive=self._watch.checks_liveness,
            kind=question.kind,
            regions=question.regions,
            grant=question.grant,
            rank=question.rank,
            objective_at=question.objective_at,
            is_wanted=question.is_wanted,
        )
        again = leaf.id in item.ran_leaf_ids
        if again:
            self._tools.metrics.count("leaf.asked_again")
        times = self._find_hedge_times(leaf, now)
        item.under_way[attempt.id] = Sent(leaf, now, *times, to_same_leaf=again)
        item.tried.append(leaf.id)
        item.places.add(leaf.place)
        item.arrived += 1
        self._attempts[attempt.id] = item
        self.sent += 1
        self._tools.pool.submit(leaf, attempt, question.kind, self._deliver)
