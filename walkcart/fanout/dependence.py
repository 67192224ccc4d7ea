"""On which services an answer depends, and which second attempts it earns.

Plain functions over how far a question has come, so that they can be tested without a
network. The load they answer: leafs that refuse or fail part of their requests, where
repeats are short (`walkcart.routing.repeats.VITAL_SHARE`), and leafs that pause.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which asks here.
"""

from __future__ import annotations

from collections.abc import Collection

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedverdict import covers_share
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.routing.hedging import may_hedge


def is_vital(
    question: RoutedQuestion,
    tries: Collection[ServiceProgress],
    item: ServiceProgress,
    early: bool,
) -> bool:
    """Return whether too few other services have replied, or will in time.

    Args:
        question: with the least that its answer covers.
        tries: how far it has come at each service.
        item: the service in question.
        early: whether a repeat that is sent later would still come in time; if not,
            what hasn't replied yet isn't counted on any longer.
    """
    others = sum(
        1
        for other in tries
        if other is not item and (other.covered or (early and other.open))
    )
    least = max(question.least_coverage, question.fair_coverage)
    return not covers_share(least, len(question.services), others)


def may_send_second_attempts(tries: Collection[ServiceProgress]) -> bool:
    """Return whether few enough services that were asked from here are late.

    Groups that other instances gather come all at once, mostly later than second
    attempts are due, and say nothing about the leafs that are asked from here.

    Args:
        tries: how far a question has come at each service.
    """
    asked = [item for item in tries if item.tried]
    return may_hedge(len(asked), sum(1 for item in asked if not item.covered))
