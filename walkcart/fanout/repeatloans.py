"""Repeats that an instance which asks lends to the one that gathers for it.

The allowance of repeats is divided among all instances, and most requests to leafs go
through the few that gather. So the asker sets repeats of its own part aside, at most
one for each service, and the other instance may send these beside its own. A loan
counts here from when it is made until it is known how it ended, and from then on for a
window if it was spent or may have been, so the sum over all instances stays as it was.

See Also:
    `walkcart.routing.repeats.RepeatBudget`, which holds them.
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
    """What one group of services was lent, on the side that lends.

    Args:
        budget: that holds the repeats.
        clock: source of time.
        services: one repeat is lent for each of these.
    """

    def __init__(
        self, budget: RepeatBudget, clock: Clock, services: Collection[str]
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._left = set(services)

    @property
    def services(self) -> frozenset[str]:
        """The services for which a repeat is lent still."""
        return frozenset(self._left)

    def return_unspent(self, services: Collection[str]) -> None:
        """Take back what surely wasn't spent and never will be."""
        self._settle(services, spent=False)

    def end(self) -> None:
        """Count what is left as spent: nothing more will be heard of it."""
        self._settle(tuple(self._left), spent=True)

    def _settle(self, services: Collection[str], spent: bool) -> None:
        now = self._clock.monotonic()
        for service in self._left.intersection(services):
            self._left.remove(service)
            self._budget.settle(service, now, spent)


def submit_with_loan(
    tools: RoutedTools,
    question: RoutedQuestion,
    wanted: Group,
    top: int,
    on_end: Callable[[], None],
    without: frozenset[str] = frozenset(),
) -> DelegatedGroup | None:
    """Have another instance gather some services, and lend it repeats for them.

    See `walkcart.fanout.delegationclient.DelegationClient.submit` for the arguments.
    """
    assert tools.delegates is not None
    now, instances = tools.clock.monotonic(), tools.instances()
    lent = [
        service
        for service in wanted.services
        if tools.budget.lend(service, now, instances)
    ]
    loan = RepeatLoan(tools.budget, tools.clock, lent)
    group = tools.delegates.submit(question, wanted, top, on_end, without, loan)
    if group is None:
        loan.return_unspent(lent)
    return group
