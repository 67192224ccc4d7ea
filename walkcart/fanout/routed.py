"""One routed request at one leaf of each service: attempts, repeats and replies.

The caller's own task runs it. Links put outcomes into its inbox, and they are taken
here in turn, so there is no task for each shard.

Rules:

* a request that must not be repeated is sent again only after a word that it surely
  did not run;
* repeats keep to the budget of their service over all instances;
* shards whose leafs are elsewhere are gathered there, by another instance;
* an answer covers what was accepted, and when its objective nears, one that covers
  enough isn't held back for the rest.

See Also:
    `walkcart.fanout.gathering.Gathering`, the same at one pinned snapshot.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

import trio
from returns.result import Failure, Result

from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.dependence import is_vital, may_send_second_attempts
from walkcart.fanout.duetimes import DueTimes
from walkcart.fanout.lateparts import plan_settling
from walkcart.fanout.lateturns import find_late_turn
from walkcart.fanout.merginghandover import MergingHandover
from walkcart.fanout.remoteparts import RemoteParts
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure, RoutedQuestion
from walkcart.fanout.routedsends import RoutedSends
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.routedverdict import covers, judge, make_answer, make_failure
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.leaves.attempts import Attempt, Failed, Outcome, Refused, Replied
from walkcart.routing.hedging import may_hedge
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: From this status on a leaf's answer is a failure of its own.
SERVER_FAILURE = 500
#: Statuses of a leaf that ran a request to its end.
SUCCESSES = range(200, 300)


class RoutedGathering:
    """One routed question.

    Args:
        tools: what routed questions use.
        question: what to ask.
        top: records of a merged answer at the most; 0 where nothing is merged, and
            then nothing is delegated.
        handover: hands over to another instance what is in before the late parts.
        watch: counts the leafs that end under it; None for one that nobody reads.
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
        question = plan_settling(tools, question, top)
        self._tools = tools
        self._question = question
        self._top = top
        self._tries = {name: ServiceProgress(name) for name in question.services}
        self._watch = watch or CrashWatch(len(question.services), question.careful)
        self._sends = RoutedSends(
            tools, question, self._receive, self._is_vital, self._watch
        )
        self._due = DueTimes(question, self._sends, self._watch, tools.clock)
        self._elsewhere = RemoteParts(
            tools,
            question,
            top,
            self._sends,
            self._tries,
            self._watch,
            wake=lambda: self._wakeup.set(),
        )
        self._handing = handover
        self._handed = False
        self._inbox: deque[tuple[Attempt, Outcome]] = deque()
        self._wakeup = trio.Event()
        self._closed = False
        self._covered = 0
        self._last_call = self._sends.find_last_call()
        if handover is not None:
            handover.handover.on_confirmed(self._allow_repeats)

    async def run(self) -> Result[RoutedAnswer, RoutedFailure]:
        """Ask the services until the answer is whole, or must do as it is."""
        if not self._can_cover():
            return Failure(make_failure(tuple(self._tries.values()), late=False))
        self._start(self._tools.clock.monotonic())
        try:
            while True:
                self._take_in()
                self._release_held_back()
                if self._is_done():
                    break
                if self._hands_over():
                    self._hand_over()
                self._act()
                await self._wait()
        finally:
            self._cancel_rest()
            self._take_in()
            self._closed = True
        return judge(
            self._question,
            tuple(self._tries.values()),
            self._elsewhere.merged(),
            self._tools.clock.monotonic(),
            self._sends.sent,
            self._sends.repeats,
            self._watch.is_over,
        )

    def _can_cover(self) -> bool:
        """Return whether enough services have leafs in time, before any is asked."""
        served = 0
        waits = self._tools.pool.has_waiting
        for item in self._tries.values():
            if waits and (late := find_late_turn(self._tools, self._question, item)):
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
        """Return whether a service has leafs that may get the question now.

        Cold ones without room here may have some at the instances that gather.
        """
        if self._top:
            return bool(self._tools.pool.leaves_of(item.service))
        return bool(self._tools.pool.available_leaves(item.service))

    def _start(self, now: float) -> None:
        """Send the first attempts, and delegate what is far."""
        if self._watch.holds:
            self._start_with_one(now)
            return
        far = self._elsewhere.start()
        for item in self._tries.values():
            if item.service not in far:
                if not self._question.granted:
                    self._tools.budget.record_request(item.service, now)
                self._sends.try_next(item, now)
        if self._top:
            spent = self._tools.clock.monotonic() - now
            self._tools.send_time.observe(spent)

    def _start_with_one(self, now: float) -> None:
        """Plan all attempts, of which one is sent until a leaf has answered.

        They are sent from here then: such questions are few.
        """
        for item in self._tries.values():
            self._tools.budget.record_request(item.service, now)
            item.next_at = now

    def _is_done(self) -> bool:
        """Return whether nothing more is worth waiting for."""
        now = self._tools.clock.monotonic()
        if self._covered == len(self._tries) or now >= self._question.deadline:
            return True
        if self._watch.is_over:
            return True
        still_open = sum(1 for item in self._tries.values() if item.open)
        if not still_open:
            return True
        if self._handed:
            return False
        if not covers(self._question, self._covered + still_open):
            return True
        objective = self._question.objective_at
        return now >= objective and covers(self._question, self._covered)

    def _is_vital(self, item: ServiceProgress) -> bool:
        """Return whether there is no answer in time without a service's part."""
        early = self._tools.clock.monotonic() < self._last_call
        return is_vital(self._question, self._tries.values(), item, early)

    def _release_held_back(self) -> None:
        """Try services again that were held back, once the answer depends on them."""
        now = self._tools.clock.monotonic()
        for item in self._tries.values():
            if not item.held_back or item.covered or item.open:
                continue
            if self._handed or not self._is_vital(item):
                return
            item.held_back = item.given_up = False
            self._sends.plan(item, now)

    def _hands_over(self) -> bool:
        """Return whether to leave what is missing to who asked."""
        question = self._question
        if self._handing is None or self._handed or question.settle_at == float("inf"):
            return False
        if self._watch.holds:
            return False
        waiting = [item for item in self._tries.values() if not item.covered]
        if not any(item.open and not item.left for item in waiting):
            return True
        if self._tools.clock.monotonic() < question.settle_at:
            return False
        late = sum(1 for item in waiting if not item.left)
        return may_hedge(len(self._tries), late)

    def _hand_over(self) -> None:
        """Hand over what is in; attempts under way go on, no other is made."""
        assert self._handing is not None
        self._handed = True
        now = self._tools.clock.monotonic()
        tries = tuple(self._tries.values())
        for item in tries:
            if item.covered:
                continue
            if item.may_run < self._question.most_attempts:
                held = item.left or not item.arrived
                # It is asked for elsewhere now or not at all.
                vital = is_vital(self._question, tries, item, early=False)
                item.may_repeat = held or self._sends.take_repeat(item, now, vital)
            item.left, item.next_at, item.given_up = False, None, True
            item.closed = True
        waiting = [item.service for item in tries if not item.covered]
        lent = self._question.lent
        unspent = lent.release(without=waiting) if lent else ()
        answer = make_answer(tries, (), self._sends.sent, self._sends.repeats)
        self._handing.settle(answer, unspent)

    async def _wait(self) -> None:
        """Wait for an outcome or for the next time at which something is due."""
        if self._inbox or self._elsewhere.has_news:
            return
        if not any(item.open for item in self._tries.values()):
            # What was just done left nothing to wait for.
            return
        self._wakeup = trio.Event()
        with trio.move_on_at(self._find_next_due()):
            await self._wakeup.wait()

    def _find_next_due(self) -> float:
        """Return when something is due, if no outcome comes before."""
        answerable = not self._handed and covers(self._question, self._covered)
        return self._due.find_next(
            self._tries.values(), answerable, self._last_call, self._find_late_due()
        )

    def _find_late_due(self) -> float:
        """Return when late parts are asked for together."""
        if self._watch.holds:
            return float("inf")
        busy = any(item.under_way or item.next_at for item in self._tries.values())
        return self._elsewhere.late_due_at(busy)

    def _allow_repeats(self) -> None:
        """Use all attempts: who asked takes the question back no more."""
        self._sends.allow_repeats()
        self._wakeup.set()

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
            item = self._sends.find(attempt)
            item.under_way.pop(attempt.id, None)
            self._take_outcome(item, attempt.leaf_id, outcome)
        self._covered += self._elsewhere.take_in()

    def _take_outcome(
        self, item: ServiceProgress, leaf_id: str, outcome: Outcome
    ) -> None:
        now = self._tools.clock.monotonic()
        match outcome:
            case Replied(status=status) if (
                status < SERVER_FAILURE or not self._question.idempotent
            ):
                item.note_ran(leaf_id)
                self._watch_reply(item, status)
                self._accept(item, outcome)
                return
            case Replied(status=status):
                item.note_ran(leaf_id)
                self._watch_reply(item, status)
                item.failure = outcome
                item.reason = Reason.LEAF_FAILED
            case Refused(reason, retry_after):
                self._watch.note_failed(item.service)
                item.reason = reason
                item.refusal = NotRun(reason, "the leaf refused", retry_after)
            case Failed(NotRun() as verdict):
                self._watch.note_failed(item.service)
                item.reason = verdict.reason
                item.refusal = verdict
                # It reached no leaf, so it is no repeat when it is sent again.
                item.arrived -= 1
            case Failed(MayHaveRun(reason=Reason.LEAF_ENDED)):
                item.note_ran(leaf_id)
                item.ended += 1
                self._watch.note_ended(item.service)
            case Failed(MayHaveRun() as verdict):
                self._watch.note_failed(item.service)
                item.note_ran(leaf_id)
                item.lost_at.add(leaf_id)
                item.reason = verdict.reason
        self._sends.plan(item, now)

    def _watch_reply(self, item: ServiceProgress, status: int) -> None:
        """Note that a leaf replied; only a success shows that it ran the question.

        One that fails part of what it gets may do so before it begins.
        """
        if status in SUCCESSES:
            self._watch.note_answer()
        else:
            self._watch.note_failed(item.service)

    def _accept(self, item: ServiceProgress, reply: Replied) -> None:
        if item.covered:
            self._tools.metrics.count("leaf.late")
            return
        item.reply = reply
        item.next_at = None
        self._covered += 1
        self._sends.cancel(item)
        if self._handed and self._handing is not None:
            self._handing.add(item.service, reply)

    def _act(self) -> None:
        """Send what is due."""
        now = self._tools.clock.monotonic()
        for item in self._tries.values():
            if not item.covered and self._due.attempt_at(item) <= now:
                self._try_next(item, now)
        late = [
            item
            for item in self._tries.values()
            if not item.covered and self._due.hedge_at(item) <= now
        ]
        if now >= self._find_late_due():
            self._elsewhere.ask_late(now)
        elif self._is_left_too_much(now):
            # Too much is late for asking together.
            self._sends.send_left(self._tries.values(), now)
        may = may_send_second_attempts(self._tries.values())
        for item in late:
            if may or (self._sends.is_long_late(now) and self._is_vital(item)):
                self._sends.hedge(item, now)
            else:
                self._sends.put_off(item, now)

    def _is_left_too_much(self, now: float) -> bool:
        """Return whether what was left to be handed over is asked for from here."""
        if self._handing is None or self._handed or self._watch.holds:
            return False
        return now >= self._question.settle_at

    def _try_next(self, item: ServiceProgress, now: float) -> None:
        before = self._sends.sent
        self._sends.try_next(item, now)
        if self._sends.sent > before:
            self._watch.note_sent(item.service)

    def _cancel_rest(self) -> None:
        for item in self._tries.values():
            item.given_up = True
            self._sends.cancel(item)
        self._elsewhere.cancel()
