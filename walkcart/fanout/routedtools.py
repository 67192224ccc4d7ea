"""Shared components of an instance's routed questions."""

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
from walkcart.routing.shutdown import ShutdownDeadline


@dataclass(frozen=True, slots=True)
class RoutedTools:
    """The components that every routed question of an instance uses.

    Args:
        pool: sends attempts to leaves; a `ScopedPool` is limited to the leaves that one
            question may use.
        budget: the budget of repeats.
        instances: returns the number of instances that share the budget.
        ids: source of ids of attempts.
        clock: source of time.
        metrics: counters of repeats.
        events: log of decisions on questions.
        place: place of this instance.
        random: chooses among equally good alternatives.
        quarantines: requests under which leaves crashed.
        delegates: delegates to other instances; None where there are none.
        send_time: processor time that sending a question's requests takes. Reading the
            question and writing its answer take about as long.
        shutdown: until when this instance can answer.
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
    shutdown: ShutdownDeadline = field(default_factory=ShutdownDeadline)
