"""Decides which services an answer depends on, and whether hedges may be sent.

Plain functions over the progress of a question, so that they can be tested without a
network. They matter where leaves refuse or fail part of their requests and repeats are
short (`walkcart.routing.repeats.VITAL_SHARE`), and where leaves pause.

See Also:
    `walkcart.fanout.routed.RoutedGathering`, which calls them.
"""

from __future__ import annotations

from collections.abc import Collection

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedverdict import covers_share
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.routing.hedging import may_hedge


def is_vital(
    question: RoutedQuestion,
    progress: Collection[ServiceProgress],
    item: ServiceProgress,
    early: bool,
) -> bool:
    """Return whether the answer can't cover enough without the part of a service.

    Args:
        question: the question, with the coverage that its answer needs.
        progress: its state at each service.
        item: the service whose part is considered.
        early: whether a repeat that is sent later would still come in time; if not,
            only the services that have replied are counted on.
    """
    others = sum(
        1
        for other in progress
        if other is not item and (other.covered or (early and other.open))
    )
    min_share = max(question.least_coverage, question.fair_coverage)
    return not covers_share(min_share, len(question.services), others)


def may_send_second_attempts(progress: Collection[ServiceProgress]) -> bool:
    """Return whether few enough services are late for hedges to be worth sending.

    Only services that this instance asks itself count. Groups that other instances
    gather arrive all at once, mostly after hedges are due, and say nothing about the
    leaves that this instance asks.

    Args:
        progress: the question's state at each service.
    """
    asked = [item for item in progress if item.tried]
    return may_hedge(len(asked), sum(1 for item in asked if not item.covered))
