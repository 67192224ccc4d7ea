"""Handing over what was gathered for another instance, before the late parts are in.

See Also:
    `walkcart.fanout.delegationserver.Handover`, which sends it.
    `walkcart.fanout.lateparts.LateParts`, the other side.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from walkcart.fanout.handover import Handover
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.routedquestion import RoutedAnswer
from walkcart.leaves.attempts import Replied


@dataclass(frozen=True, slots=True)
class MergingHandover:
    """Merges answers and hands them over.

    Args:
        handover: to the instance that asked.
        merge: merges the replies of an answer.
    """

    handover: Handover
    merge: Callable[[RoutedAnswer], MergedAnswer]

    def settle(self, answer: RoutedAnswer, unspent: Collection[str] = ()) -> None:
        """Hand over what is in, and the lent repeats of some services."""
        self.handover.settle(self.merge(answer), unspent)

    def add(self, service: str, reply: Replied) -> None:
        """Hand over a late part."""
        answer = RoutedAnswer(((service, reply),), (), 1, (), 0, 0)
        self.handover.add(service, self.merge(answer))
