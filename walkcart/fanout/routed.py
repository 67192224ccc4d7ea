"""Sends one routed request to a leaf of each service and gathers the replies.

The caller's own task runs it. Links put the outcomes of attempts into its inbox, from
which they are processed in turn, so no task is needed for each shard.

Rules:

* a request that must not be repeated is sent again only after a verdict that it surely
  did not run;
* repeats stay within the budget of their service over all instances;
* shards whose leaves are in other places are gathered there, by another instance;
* an answer covers what was accepted; once its objective has passed, an answer that
  covers enough doesn't wait for the rest.

See Also:
    `walkcart.fanout.gathering.Gathering`, which does the same at a pinned snapshot.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

import trio
from returns.result import Failure, Result

from walkcart.fanout.callerpresence import CallerPresence
from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.dependence import is_vital, may_send_second_attempts
from walkcart.fanout.duetimes import DueTimes
from walkcart.fanout.lateparts import plan_late_request
from walkcart.fanout.lateturns import check_queue_delay
from walkcart.fanout.merginghandover import MergingHandover
from walkcart.fanout.remoteparts import RemoteParts
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.fanout.routedsends import RoutedSends
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.routedverdict import covers, make_answer, make_failure, make_result
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.fanout.weakcallbacks import bind_weakly
from walkcart.leaves.attempts import Attempt, Deliver, Failed, Outcome, Refused, Replied
from walkcart.routing.hedging import may_hedge
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Lowest status with which a leaf reports a failure of its own.
MIN_FAILURE_STATUS = 500
#: Statuses that show that a leaf ran a request to its end.
SUCCESS_STATUSES = range(200, 300)


class RoutedGathering:
    """Runs one routed question.

    Args:
        tools: shared components of routed questions.
        question: the question.
        top: maximum number of records of a merged answer; 0 where nothing is merged,
            and then nothing is delegated.
        handover: hands the parts that have arrived over to the asking instance, before
            the late ones; None where a caller asks.
        watch: counts the leaves that crash under the question; None for a private one.
    """

    def __init__(
        self,
        tools: RoutedTools,
        question: RoutedQuestion,
        top: int = 0,
        handover: MergingHandover | None = None,
        watch: CrashWatch | None = None,
    ) -> None:
        pool = tools.pool.limit_to(question.kind, question.regions, question.grant)
        tools = replace(tools, pool=pool)
        question = plan_late_request(tools, question, top)
        self._presence = CallerPresence(tools.clock)
        if question.is_wanted is None:
            question = replace(question, is_wanted=self._presence.is_wanted)
        self._tools = tools
        self._question = question
        self._top = top
        self._progress = {name: ServiceProgress(name) for name in question.services}
        self._watch = watch or CrashWatch(len(question.services), question.careful)
        # What calls back refers to the question weakly: a cycle would keep the replies,
        # and their part of the memory budget, until the garbage collector runs.
        self._sends = RoutedSends(
            tools,
            question,
            bind_weakly(self._receive, self._count_late(tools)),
            bind_weakly(self._is_vital, lambda item: False),
            self._watch,
        )
        self._due = DueTimes(question, self._sends, self._watch, tools.clock)
        self._remote = RemoteParts(
            tools,
            question,
            top,
            self._sends,
            self._progress,
            self._watch,
            wake=bind_weakly(self._wake, lambda: None),
        )
        self._handover = handover
        self._handed_over = False
        self._inbox: deque[tuple[Attempt, Outcome]] = deque()
        self._wakeup = trio.Event()
        self._closed = False
        self._covered_count = 0
        self._last_repeat_at = self._sends.find_last_repeat_time()
        if handover is not None:
            allow = bind_weakly(self._allow_repeats, lambda: None)
            handover.handover.on_confirmed(allow)

    async def run(self) -> Result[RoutedAnswer, RoutedFailure]:
        """Ask the services until no more parts are needed or can be expected."""
        if not self._can_cover():
            return Failure(make_failure(tuple(self._progress.values()), late=False))
        with self._tools.shutdown.notify(self._shorten):
            return await self._run_to_end()

    async def _run_to_end(self) -> Result[RoutedAnswer, RoutedFailure]:
        self._start(self._tools.clock.monotonic())
        try:
            while True:
                self._process_inbox()
                self._retry_held_back()
                if self._is_done():
                    break
                if self._should_hand_over():
                    self._hand_over()
                self._send_due()
                await self._wait()
        finally:
            self._presence.end()
            self._cancel_rest()
            self._process_inbox()
            self._closed = True
        return make_result(
            self._question,
            tuple(self._progress.values()),
            self._remote.merged(),
            self._tools.clock.monotonic(),
            self._sends.sent,
            self._sends.repeats,
            self._watch.is_stopped,
            partial=self._handover is not None,
        )

    def _shorten(self) -> None:
        """Take over the deadline of this instance, which stops."""
        deadline = self._tools.shutdown.limit(self._question.deadline)
        self._question = replace(self._question, deadline=deadline)
        self._wakeup.set()

    def _can_cover(self) -> bool:
        """Return whether enough services have leaves that can reply in time.

        Called before anything is sent.
        """
        served = 0
        waits = self._tools.pool.has_waiting
        for item in self._progress.values():
            if waits and (late := check_queue_delay(self._tools, self._question, item)):
                item.reason = late.reason
                item.refusal = late
            elif self._may_be_served(item):
                served += 1
            else:
                item.reason = Reason.NO_LEAF
                wait = self._tools.pool.find_retry_after(item.service)
                item.refusal = NotRun(Reason.NO_LEAF, "no leaf has room", wait)
        return covers(self._question, served)

    def _may_be_served(self, item: ServiceProgress) -> bool:
        """Return whether a service has leaves that may get the question now.

        Cold leaves without room here may have some at the instances that gather.
        """
        if self._top:
            return bool(self._tools.pool.leaves_of(item.service))
        return bool(self._tools.pool.available_leaves(item.service))

    def _start(self, now: float) -> None:
        """Send the first attempts, and delegate services in other places."""
        if self._watch.is_sequential:
            self._start_with_one(now)
            return
        delegated = self._remote.start()
        for item in self._progress.values():
            if item.service not in delegated:
                if not self._question.granted:
                    self._tools.budget.record_request(item.service, now)
                self._sends.try_next(item, now)
        if self._top:
            spent = self._tools.clock.monotonic() - now
            self._tools.send_time.observe(spent)

    def _start_with_one(self, now: float) -> None:
        """Plan all attempts, but send one at a time until a leaf has answered.

        Nothing is delegated: such questions are few.
        """
        for item in self._progress.values():
            self._tools.budget.record_request(item.service, now)
            item.next_at = now

    def _is_done(self) -> bool:
        """Return whether nothing is left that is worth waiting for."""
        now = self._tools.clock.monotonic()
        if self._covered_count == len(self._progress) or now >= self._question.deadline:
            return True
        if self._watch.is_stopped:
            return True
        still_open = sum(1 for item in self._progress.values() if item.open)
        if not still_open:
            return True
        if self._handed_over:
            return False
        if not covers(self._question, self._covered_count + still_open):
            return not self._can_hand_over
        objective = self._question.objective_at
        return now >= objective and covers(self._question, self._covered_count)

    def _is_vital(self, item: ServiceProgress) -> bool:
        """Return whether no answer is possible in time without a service's part."""
        early = self._tools.clock.monotonic() < self._last_repeat_at
        return is_vital(self._question, self._progress.values(), item, early)

    def _retry_held_back(self) -> None:
        """Retry services that were held back, once the answer depends on them."""
        now = self._tools.clock.monotonic()
        for item in self._progress.values():
            if not item.held_back or item.covered or item.open:
                continue
            if self._handed_over or not self._is_vital(item):
                return
            item.held_back = item.given_up = False
            self._sends.plan_retry(item, now)

    @property
    def _can_hand_over(self) -> bool:
        """Whether parts may be handed over to the asking instance before the end."""
        if self._handover is None or self._watch.is_sequential:
            return False
        return self._question.settle_at < float("inf")

    def _should_hand_over(self) -> bool:
        """Return whether to leave the missing parts to the asking instance."""
        question = self._question
        if self._handed_over or not self._can_hand_over:
            return False
        waiting = [item for item in self._progress.values() if not item.covered]
        if not any(item.open and not item.deferred for item in waiting):
            return True
        still_open = sum(1 for item in waiting if item.open)
        if not covers(question, self._covered_count + still_open):
            return True
        if self._tools.clock.monotonic() < question.settle_at:
            return False
        late = sum(1 for item in waiting if not item.deferred)
        return may_hedge(len(self._progress), late)

    def _hand_over(self) -> None:
        """Hand over the parts that have arrived.

        Attempts under way continue, and no further ones are made.
        """
        assert self._handover is not None
        self._handed_over = True
        now = self._tools.clock.monotonic()
        progress = tuple(self._progress.values())
        for item in progress:
            if item.covered:
                continue
            if item.may_run < self._question.most_attempts:
                # The budget already accounts for a deferred part, and a request that
                # reached no leaf is no repeat.
                held = item.deferred or not item.arrived
                # Only the asking instance may request the part from now on.
                vital = is_vital(self._question, progress, item, early=False)
                item.may_repeat = held or self._sends.try_spend_repeat(item, now, vital)
            item.deferred, item.next_at, item.given_up = False, None, True
            item.closed = True
        waiting = [item.service for item in progress if not item.covered]
        lent = self._question.lent
        unspent = lent.release(without=waiting) if lent else ()
        answer = make_answer(progress, (), self._sends.sent, self._sends.repeats)
        self._handover.settle(answer, unspent)

    async def _wait(self) -> None:
        """Wait for an outcome or until the next action is due."""
        if self._inbox or self._remote.has_updates:
            return
        if not any(item.open for item in self._progress.values()):
            # The last actions left nothing to wait for.
            return
        self._wakeup = trio.Event()
        with trio.move_on_at(self._find_next_due()):
            await self._wakeup.wait()

    def _find_next_due(self) -> float:
        """Return when the next action is due if no outcome arrives before."""
        answerable = not self._handed_over and covers(
            self._question, self._covered_count
        )
        due = self._due.find_next(
            self._progress.values(),
            answerable,
            self._last_repeat_at,
            self._find_late_parts_time(),
        )
        return min(due, self._question.deadline)

    def _find_late_parts_time(self) -> float:
        """Return when late parts are requested together; infinite when they aren't."""
        if self._watch.is_sequential:
            return float("inf")
        busy = any(item.under_way or item.next_at for item in self._progress.values())
        return self._remote.late_parts_at(busy)

    def _allow_repeats(self) -> None:
        """Allow all attempts: the asking instance leaves them to this one."""
        self._sends.allow_repeats()
        self._wakeup.set()

    def _wake(self) -> None:
        self._wakeup.set()

    @staticmethod
    def _count_late(tools: RoutedTools) -> Deliver:
        """Return what receives outcomes after the end of the question."""
        metrics = tools.metrics
        return lambda attempt, outcome: metrics.count("leaf.late")

    def _receive(self, attempt: Attempt, outcome: Outcome) -> None:
        """Put an outcome into the inbox; called by the links' tasks."""
        if self._closed:
            self._tools.metrics.count("leaf.late")
            return
        self._inbox.append((attempt, outcome))
        self._wakeup.set()

    def _process_inbox(self) -> None:
        while self._inbox:
            attempt, outcome = self._inbox.popleft()
            item = self._sends.find_progress(attempt)
            sent = item.under_way.pop(attempt.id, None)
            sent_at = sent.at if sent else float("-inf")
            self._process_outcome(item, attempt.leaf_id, sent_at, outcome)
        self._covered_count += self._remote.process_updates()

    def _process_outcome(
        self, item: ServiceProgress, leaf_id: str, sent_at: float, outcome: Outcome
    ) -> None:
        now = self._tools.clock.monotonic()
        match outcome:
            case Replied(status=status) if (
                status < MIN_FAILURE_STATUS or not self._question.idempotent
            ):
                item.record_run(leaf_id)
                self._record_reply(item, status)
                self._accept(item, outcome)
                return
            case Replied(status=status):
                item.record_run(leaf_id)
                self._record_reply(item, status)
                item.failure = outcome
                item.reason = Reason.LEAF_FAILED
            case Refused(reason, retry_after):
                self._watch.record_failed(item.service)
                item.reason = reason
                item.refusal = NotRun(reason, "the leaf refused", retry_after)
            case Failed(NotRun() as verdict):
                self._watch.record_failed(item.service)
                item.reason = verdict.reason
                item.refusal = verdict
                # The request reached no leaf, so sending it again is no repeat.
                item.arrived -= 1
            case Failed(MayHaveRun(reason=Reason.LEAF_ENDED)):
                item.record_run(leaf_id)
                item.ended += 1
                self._watch.record_ended(
                    item.service, sent_at=sent_at, now=now, leaf=leaf_id
                )
            case Failed(MayHaveRun() as verdict):
                self._watch.record_failed(item.service)
                item.record_run(leaf_id)
                item.lost_leaf_ids.add(leaf_id)
                item.reason = verdict.reason
        self._sends.plan_retry(item, now)

    def _record_reply(self, item: ServiceProgress, status: int) -> None:
        """Record that a leaf replied; only a success shows that it ran the question.

        A leaf that fails part of its requests may do so before it begins to run them.
        """
        if status in SUCCESS_STATUSES:
            self._watch.record_answer()
        else:
            self._watch.record_failed(item.service)

    def _accept(self, item: ServiceProgress, reply: Replied) -> None:
        """Accept the first reply of a service, and drop later ones."""
        if item.covered:
            self._tools.metrics.count("leaf.late")
            return
        item.reply = reply
        item.next_at = None
        self._covered_count += 1
        self._sends.cancel(item)
        if self._handed_over and self._handover is not None:
            self._handover.add(item.service, reply)

    def _send_due(self) -> None:
        """Send the attempts and hedges that are due."""
        now = self._tools.clock.monotonic()
        for item in self._progress.values():
            if not item.covered and self._due.attempt_at(item) <= now:
                self._try_next(item, now)
        if now >= self._find_late_parts_time():
            self._remote.request_late_parts(now)
        elif self._must_send_deferred(now):
            # Too many parts are late for a request of them all together.
            self._sends.send_deferred(self._progress.values(), now)
        # Only now, as the request for late parts may have used up their attempts.
        late = [
            item
            for item in self._progress.values()
            if not item.covered and self._due.hedge_at(item) <= now
        ]
        few_late = may_send_second_attempts(self._progress.values())
        for item in late:
            if few_late or (self._sends.is_likely_lost(now) and self._is_vital(item)):
                self._sends.hedge(item, now)
            else:
                self._sends.postpone_hedge(item, now)

    def _must_send_deferred(self, now: float) -> bool:
        """Return whether this instance must request the deferred parts itself."""
        if self._handover is None or self._handed_over or self._watch.is_sequential:
            return False
        return now >= self._question.settle_at

    def _try_next(self, item: ServiceProgress, now: float) -> None:
        before = self._sends.sent
        self._sends.try_next(item, now)
        if self._sends.sent > before:
            self._watch.record_sent(item.service)

    def _cancel_rest(self) -> None:
        """Cancel the attempts and delegated groups that are still under way."""
        for item in self._progress.values():
            item.given_up = True
            self._sends.cancel(item)
        self._remote.cancel()
