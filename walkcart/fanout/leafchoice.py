"""Which leaf may get the next attempt of a routed question at one service.

A route bounds the number of leafs that may run a request. A leaf whose answer was lost
has likely run it, so asking that leaf once more, on another connection, adds none to
the number. The load it answers: many leafs that run requests and lose part of their
answers by a reset.

See Also:
    `walkcart.routing.placement`, which chooses among those that may.
"""

from __future__ import annotations

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.leaves.leaf import Leaf

#: Times that one leaf gets a question whose answers it loses: with three, a leaf that
#: loses two of five answers brings nine parts of ten.
MAX_SENDS_PER_LEAF = 3


class LeafChoice:
    """Chooses leafs for the attempts of one question.

    Args:
        tools: what routed questions use.
        question: whose attempts these are.
        objective: seconds within which it is to be answered.
    """

    def __init__(
        self, tools: RoutedTools, question: RoutedQuestion, objective: float
    ) -> None:
        self._tools = tools
        self._question = question
        self._objective = objective

    def may_add(self, item: ServiceProgress) -> bool:
        """Return whether a further leaf may get the question."""
        return not item.closed and item.may_run < self._question.most_attempts

    def find_askable(self, item: ServiceProgress) -> set[str]:
        """Return the ids of leafs that may be asked once more for a lost answer.

        None are while another instance sees to the part.
        """
        if item.may_repeat or item.delegated or not self._question.idempotent:
            return set()
        return {id for id in item.lost_at if item.tried.count(id) < MAX_SENDS_PER_LEAF}

    def choose(self, item: ServiceProgress, now: float) -> Leaf | None:
        """Return the leaf for the next attempt, or None when none may get it.

        Args:
            item: how far the question has come at the service.
            now: the present, in seconds.
        """
        if not self.may_add(item):
            leaves = {leaf.id for leaf in self._tools.pool.leaves_of(item.service)}
            return self._choose(item, leaves - self.find_askable(item), now)
        leaf = self._choose(item, set(item.tried), now)
        if leaf is None and item.tried:
            leaf = self._choose(item, set(), now)
        return leaf

    def choose_untried(self, item: ServiceProgress, now: float) -> Leaf | None:
        """Return the leaf for a second attempt beside the first."""
        return self._choose(item, set(item.tried), now)

    def choose_elsewhere(self, item: ServiceProgress, now: float) -> Leaf | None:
        """Return a leaf in a place that wasn't asked yet."""
        leaves = self._tools.pool.leaves_of(item.service)
        asked = {leaf.id for leaf in leaves if leaf.place in item.places}
        return self._choose(item, asked.union(item.tried), now)

    def _choose(
        self, item: ServiceProgress, without: set[str], now: float
    ) -> Leaf | None:
        return self._tools.pool.choose(
            item.service, self._question.kind, frozenset(without), self._objective, now
        )
