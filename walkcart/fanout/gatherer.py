"""Answers questions: chooses the snapshot, gathers the replies and checks the coverage.

See Also:
    `walkcart.fanout.gathering.Gathering`, which asks the shards at one snapshot.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from returns.result import Failure, Result, Success

from walkcart.fanout.answers import Answer
from walkcart.fanout.crashwatch import CrashWatch
from walkcart.fanout.gathering import Gathering, GatherTools
from walkcart.fanout.pinning import SnapshotPins
from walkcart.fanout.questions import Question
from walkcart.leaves.leaf import Snapshot
from walkcart.leaves.table import ResolvedLayout
from walkcart.routing.budgets import ShareBudget
from walkcart.routing.quarantine import QuarantineLevel
from walkcart.wire.verdicts import MayHaveRun, NotRun, Reason

#: Retry time after every leaf that was asked refused.
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class Gatherer:
    """Answers questions at a consistent snapshot of all shards.

    Args:
        tools: shared components of the instance's gatherings.
    """

    def __init__(self, tools: GatherTools) -> None:
        self._tools = tools
        self._pins = SnapshotPins(tools.table, tools.gateway)
        self._hedges: dict[str, ShareBudget] = {}
        self._retries: dict[str, ShareBudget] = {}

    async def ask(self, question: Question) -> Result[Answer, NotRun | MayHaveRun]:
        """Ask all shards.

        Returns:
            The answer, or the verdict when there is none. An answer may be partial, but
            never below the question's least coverage.
        """
        admitted = await self._tools.quarantines.admit(question.fingerprint)
        if isinstance(admitted, NotRun):
            return Failure(admitted)
        careful = admitted is QuarantineLevel.CAREFUL
        _, layout = self.choose(question)
        known = self._tools.quarantines.find_strikes(question.fingerprint)
        watch = CrashWatch(len(layout.shards), careful, known)
        try:
            return await self._gather(question, watch)
        finally:
            self._tools.quarantines.record(question.fingerprint, watch, careful)

    async def _gather(
        self, question: Question, watch: CrashWatch
    ) -> Result[Answer, NotRun | MayHaveRun]:
        pin, layout = self.choose(question)
        hedges = self._hedges.setdefault(question.group, ShareBudget())
        retries = self._retries.setdefault(question.group, ShareBudget())
        gathering = Gathering(
            self._tools, question, layout, pin, hedges, retries, watch
        )
        answer = await gathering.run()
        if gathering.lacks_version and self._may_move(question):
            newer, layout = self.choose(question)
            if newer != pin:
                moved = gathering.move(layout, newer)
                answer = _choose_better(answer, await moved.run())
        self._check_invariants(answer)
        return _make_result(question, answer)

    def choose(self, question: Question) -> tuple[Snapshot, ResolvedLayout]:
        """Return the snapshot and layout that a question uses if it is asked now."""
        resolved = self._tools.table.find_group(question.document, question.group)
        layout, pin = self._pins.choose(resolved)
        return pin, layout

    def _may_move(self, question: Question) -> bool:
        """Return whether there is time to ask all shards again at another snapshot."""
        now = self._tools.clock.monotonic()
        usual = self._tools.gateway.hedge_delay_of(question.group).median(now)
        return question.deadline - now > usual

    def _check_invariants(self, answer: Answer) -> None:
        """Check the invariants that hold for every answer."""
        check = self._tools.invariants.check
        shards = [shard for shard, _ in answer.replies]
        coverage = answer.coverage
        claimed = set(coverage.answered) | set(coverage.partial)
        total = len(claimed) + len(coverage.missing)
        check(len(set(shards)) == len(shards), "one reply for each shard", str(shards))
        check(claimed == set(shards), "coverage states what the answer holds")
        check(total == coverage.asked, "every shard is answered or missing")


def _choose_better(first: Answer, second: Answer) -> Answer:
    """Return the answer that covers more; among equals the second."""
    chosen = second if second.coverage.share >= first.coverage.share else first
    ran = first.may_have_run or second.may_have_run
    return replace(chosen, sent=first.sent + second.sent, may_have_run=ran)


def _make_result(
    question: Question, answer: Answer
) -> Result[Answer, NotRun | MayHaveRun]:
    """Return the answer if it covers enough, else the verdict."""
    coverage = answer.coverage
    if coverage.answered and coverage.share >= question.least_coverage - 1e-9:
        return Success(answer)
    reasons = sorted({item.reason.value for item in coverage.missing})
    detail = (
        f"{len(coverage.answered)} of {coverage.asked} shards answered; "
        f"missing: {', '.join(reasons)}"
    )
    # Retrying does no harm in either case, but "not run" would be untrue if a leaf ran
    # the question.
    if answer.may_have_run:
        return Failure(MayHaveRun(Reason.COVERAGE, detail))
    return Failure(NotRun(Reason.COVERAGE, detail, DEFAULT_RETRY_AFTER))
