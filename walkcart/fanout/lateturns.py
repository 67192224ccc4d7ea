"""Refuses parts of a question whose queue at their leaves is longer than the deadline.

This happens when the leaves of a shard get more requests than they can run, for longer
than callers wait. A request that can't be answered is then neither sent nor queued.
"""

from __future__ import annotations

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.routing.leaflimiter import is_too_late
from walkcart.routing.retryafter import draw_retry_after
from walkcart.wire.verdicts import NotRun, Reason


def check_queue_delay(
    tools: RoutedTools, question: RoutedQuestion, item: ServiceProgress
) -> NotRun | None:
    """Return the refusal of a part that can't come by the deadline; None if it can.

    Args:
        tools: shared components of routed questions.
        question: the question, of which nothing was sent yet.
        item: its state at the service.
    """
    delay = tools.pool.estimate_wait(item.service, question.rank)
    if not is_too_late(delay, question.deadline - tools.clock.monotonic()):
        return None
    retry = draw_retry_after(delay, tools.random)
    return NotRun(Reason.NO_ROOM, "its turn at the leafs would come too late", retry)
