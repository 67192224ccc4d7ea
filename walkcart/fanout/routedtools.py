"""What every routed question of an instance uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from walkcart.fanout.delegationclient import DelegationClient
from walkcart.fanout.ids import IdSource
from walkcart.fanout.quarantines import Quarantines
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.pool import LeafPool
from walkcart.leaves.scopedpool import ScopedPool
from walkcart.routing.distance import Location
from walkcart.routing.instancedelay import InstanceDelay
from walkcart.routing.repeats import RepeatBudget


@dataclass(frozen=True, slots=True)
class RoutedTools:
    """What every routed question of an instance uses.

    Args:
        pool: sends attempts; a question's own sees only where that one may go.
        budget: of repeats.
        instances: returns the number of instances that divide the budget.
        ids: names attempts.
        clock: source of time.
        metrics: where repeats are counted.
        events: where decisions on a question are logged.
        place: of this instance.
        random: chooses among what is equally good.
        delegates: other instances that gather; None where there are none.
        quarantines: requests under which leafs ended.
        send_time: how long sending a question's requests keeps the processor: what
            reading it and writing its answer take is about the same.
    """

    pool: LeafPool | ScopedPool
    budget: RepeatBudget
    instances: Callable[[], int]
    ids: IdSource
    clock: Clock
    metrics: Metrics
    events: EventLog
    place: Location
    random: Random
    quarantines: Quarantines
    delegates: DelegationClient | None = None
    send_time: InstanceDelay = field(default_factory=InstanceDelay)
