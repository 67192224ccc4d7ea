"""Parts of a question whose turn at their leafs surely comes too late.

The load it answers: more requests than the leafs of a shard can run for longer than
callers wait. Without an answer in sight nothing is sent and nothing waits in vain.
"""

from __future__ import annotations

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.routing.leaflimiter import is_too_late
from walkcart.routing.retryafter import draw_retry_after
from walkcart.wire.verdicts import NotRun, Reason


def find_late_turn(
    tools: RoutedTools, question: RoutedQuestion, item: ServiceProgress
) -> NotRun | None:
    """Return why a service's part can't come before the caller leaves; None if it can.

    Args:
        tools: what routed questions use.
        question: of which nothing was sent yet.
        item: the service.
    """
    delay = tools.pool.estimate_wait(item.service, question.rank)
    if not is_too_late(delay, question.deadline - tools.clock.monotonic()):
        return None
    retry = draw_retry_after(delay, tools.random)
    return NotRun(Reason.NO_ROOM, "its turn at the leafs would come too late", retry)
