"""Lends repeats of this instance's budget to an instance that gathers for it.

The allowance of repeats is divided among all instances, but most requests to leaves go
through the few that gather. So the asker reserves repeats of its own share, at most one
for each service, and the other instance may send these beside its own. A loan counts
against the lender's budget until its end is known, and from then on for a window if it
was spent or may have been, so the total over all instances stays the same.

See Also:
    `walkcart.routing.repeats.RepeatBudget`, which accounts for them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from walkcart.fanout.delegatedgroup import DelegatedGroup
from walkcart.fanout.groups import Group
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.kernel.clock import Clock
from walkcart.routing.repeats import RepeatBudget


class RepeatLoan:
    """The repeats that one group of services was lent, on the side that lends.

    Args:
        budget: the budget that accounts for the repeats.
        clock: source of time.
        services: names of the services; one repeat is lent for each.
    """

    def __init__(
        self, budget: RepeatBudget, clock: Clock, services: Collection[str]
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._lent = set(services)

    @property
    def services(self) -> frozenset[str]:
        """The services for which a repeat is still lent."""
        return frozenset(self._lent)

    def return_unspent(self, services: Collection[str]) -> None:
        """Take back repeats that surely weren't sent and never will be."""
        self._close(services, spent=False)

    def end(self) -> None:
        """Count the remaining repeats as spent: no return is expected any longer."""
        self._close(tuple(self._lent), spent=True)

    def _close(self, services: Collection[str], spent: bool) -> None:
        now = self._clock.monotonic()
        for service in self._lent.intersection(services):
            self._lent.remove(service)
            self._budget.settle(service, now, spent)


def submit_with_loan(
    tools: RoutedTools,
    question: RoutedQuestion,
    wanted: Group,
    top: int,
    on_update: Callable[[], None],
    without: frozenset[str] = frozenset(),
) -> DelegatedGroup | None:
    """Have another instance gather some services, and lend it repeats for them.

    See `walkcart.fanout.delegationclient.DelegationClient.submit` for the arguments and
    the result.
    """
    assert tools.delegates is not None
    now, instances = tools.clock.monotonic(), tools.instances()
    lent = [
        service
        for service in wanted.services
        if tools.budget.lend(service, now, instances)
    ]
    loan = RepeatLoan(tools.budget, tools.clock, lent)
    group = tools.delegates.submit(question, wanted, top, on_update, without, loan)
    if group is None:
        loan.return_unspent(lent)
    return group
