"""Chooses the leaf for the next attempt of a routed question at one service.

A route bounds the number of leaves that may run a request. A leaf whose answer was lost
has likely run it, so asking that leaf again, on another connection, doesn't add to the
number. This serves fleets in which many leaves run requests and lose part of their
answers to connection resets.

See Also:
    `walkcart.routing.placement`, which chooses among the permitted leaves.
"""

from __future__ import annotations

from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.fanout.serviceprogress import ServiceProgress
from walkcart.leaves.leaf import Leaf

#: Maximum number of times that one leaf gets a question whose answers it loses. With
#: three, a leaf that loses two of five answers delivers nine parts of ten.
MAX_SENDS_PER_LEAF = 3


class LeafChoice:
    """Chooses leaves for the attempts of one question.

    Args:
        tools: shared components of routed questions.
        question: the question.
        objective: seconds within which it should be answered.
    """

    def __init__(
        self, tools: RoutedTools, question: RoutedQuestion, objective: float
    ) -> None:
        self._tools = tools
        self._question = question
        self._objective = objective

    def may_use_new_leaf(self, item: ServiceProgress) -> bool:
        """Return whether a leaf that hasn't had the question may get it."""
        return not item.closed and item.may_run < self._question.most_attempts

    def find_repeatable(self, item: ServiceProgress) -> set[str]:
        """Return the ids of leaves that may be asked again for a lost answer.

        There are none while another instance gathers the part.
        """
        if item.may_repeat or item.delegated or not self._question.idempotent:
            return set()
        sends = item.known_sends
        return {id for id in item.lost_leaf_ids if sends.count(id) < MAX_SENDS_PER_LEAF}

    def choose(self, item: ServiceProgress, now: float) -> Leaf | None:
        """Return the leaf for the next attempt, or None when none may get it.

        Args:
            item: the question's state at the service.
            now: the current time, in seconds.
        """
        if not self.may_use_new_leaf(item):
            leaves = {leaf.id for leaf in self._tools.pool.leaves_of(item.service)}
            return self._choose(item, leaves - self.find_repeatable(item), now)
        leaf = self._choose(item, set(item.known_sends), now)
        if leaf is None and item.known_sends:
            leaf = self._choose(item, set(), now)
        return leaf

    def choose_untried(self, item: ServiceProgress, now: float) -> Leaf | None:
        """Return the leaf for a hedge: one that wasn't tried; None without any."""
        if not self.may_use_new_leaf(item):
            return None
        return self._choose(item, set(item.known_sends), now)

    def choose_elsewhere(self, item: ServiceProgress, now: float) -> Leaf | None:
        """Return a leaf in a place that wasn't asked yet; None without any."""
        if not self.may_use_new_leaf(item):
            return None
        leaves = self._tools.pool.leaves_of(item.service)
        asked = {leaf.id for leaf in leaves if leaf.place in item.places}
        return self._choose(item, asked.union(item.known_sends), now)

    def _choose(
        self, item: ServiceProgress, without: set[str], now: float
    ) -> Leaf | None:
        return self._tools.pool.choose(
            item.service, self._question.kind, frozenset(without), self._objective, now
        )
