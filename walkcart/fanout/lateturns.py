"""Parts of a question whose turn at their leafs surely comes too late.

The load it answers: more requests than the leafs of a shard can run for longer than
callers wait. Without an answer in sight nothing is sent and nothing waits in vain.
"""

from __future__ import annotations

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.servicetry import ServiceTry
from walkcart.routing.comeback import find_return
from walkcart.routing.leafroom import comes_too_late
from walkcart.wire.verdicts import NotRun, Reason


def check_queue_delay(
    tools: RoutedTools, question: RoutedQuestion, item: ServiceTry
) -> NotRun | None:
    """Return why a service's part can't come before the caller leaves; None if it can.

    Args:
        tools: what routed questions use.
        question: of which nothing was sent yet.
        item: the service.
    """
    delay = tools.pool.find_delay(item.service, question.rank)
    if not comes_too_late(delay, question.deadline - tools.clock.monotonic()):
        return None
    retry = find_return(delay, tools.random)
    return NotRun(Reason.NO_ROOM, "its turn at the leafs would come too late", retry)
