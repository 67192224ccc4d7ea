"""Merges and hands over parts gathered for another instance, before the late ones.

See Also:
    `walkcart.fanout.handover.Handover`, which sends them.
    `walkcart.fanout.lateparts.LateParts`, for the side of the asking instance.
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
        handover: sends merged answers to the asking instance.
        merge: merges the replies of an answer.
    """

    handover: Handover
    merge: Callable[[RoutedAnswer], MergedAnswer]

    def settle(self, answer: RoutedAnswer, unspent: Collection[str] = ()) -> None:
        """Hand over the parts that have arrived, and return lent repeats.

        Args:
            answer: the parts, and the services that are left to the asking instance.
            unspent: services whose lent repeats are returned.
        """
        self.handover.settle(self.merge(answer), unspent)

    def add(self, service: str, reply: Replied) -> None:
        """Hand over a late part."""
        answer = RoutedAnswer(((service, reply),), (), 1, (), 0, 0)
        self.handover.add(service, self.merge(answer))
