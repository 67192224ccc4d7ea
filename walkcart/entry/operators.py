"""What operators ask an instance: its state, and why a service is served so."""

from __future__ import annotations

from typing import Any

from walkcart.entry.admissions import Admissions
from walkcart.entry.requests import BadRequest
from walkcart.fanout.gatherer import Gatherer
from walkcart.fanout.questions import Question
from walkcart.fanout.selection import make_candidate
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.intent.policy import MERGED_FIELDS, Policy, find_intents
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.table import LeafTable
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.verdicts import NotRun, Reason


class OperatorInterface:
    """Answers operators.

    Args:
        keeper: the configuration in force.
        view: the instances.
        table: the leaves.
        gateway: the leaves' accounts.
        gatherer: the snapshot in use.
        admissions: the services' limits.
        clock: source of time.
        events: counts by event.
        metrics: their values.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        view: MembershipView,
        table: LeafTable,
        gateway: LeafGateway,
        gatherer: Gatherer,
        admissions: Admissions,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._keeper = keeper
        self._view = view
        self._table = table
        self._gateway = gateway
        self._gatherer = gatherer
        self._admissions = admissions
        self._clock = clock
        self._events = events
        self._metrics = metrics

    def describe_status(self) -> dict[str, Any]:
        """Return the instance's state and its view of the others."""
        return {
            "instance": self._view.own.name,
            "revision": self._keeper.document.revision,
            "stale": self._keeper.is_isolated(),
            "members": [
                {
                    "name": item.name,
                    "state": MemberState(item.state).name.lower(),
                    "revision": item.revision,
                    "region": item.region,
                    "data_centre": item.data_centre,
                    "address": item.address,
                }
                for item in self._view.records()
            ],
            "services": self._admissions.describe(),
            "metrics": self._metrics.all(),
            "events": dict(sorted(self._events.counts.items())),
        }

    def explain_service(self, name: str) -> dict[str, Any]:
        """Return which intents apply to a service and which leaves it would use.

        Raises:
            BadRequest: there is no such service.
        """
        document = self._keeper.document
        service = document.configuration.find_service(name)
        if service is None:
            detail = f"no service is named {name[:80]!r}"
            raise BadRequest(NotRun(Reason.UNKNOWN_SERVICE, detail))
        policy = self._table.find_policy(document, name)
        question = Question(
            name, service.shard_group, document, policy, "", b"", 0.0, 0.0
        )
        pin, layout = self._gatherer.choose(question)
        now = self._clock.monotonic()
        usual = self._gateway.hedge_delay_of(service.shard_group).median(now)
        return {
            "service": name,
            "revision": document.revision,
            "intents": [
                {"name": item.name, "priority": item.priority}
                for item in find_intents(document.configuration, service)
            ],
            "policy": _describe_policy(policy),
            "snapshot": str(pin),
            "hedge_delay_ms": round(
                1000 * self._gateway.hedge_delay_of(service.shard_group).current(now), 3
            ),
            "shards": [
                {
                    "shard": shard,
                    "leaves": [
                        self._describe_leaf(leaf, policy, usual, now) for leaf in leaves
                    ],
                }
                for shard, leaves in enumerate(layout.shards)
            ],
        }

    def _describe_leaf(
        self, leaf: Leaf, policy: Policy, usual: float, now: float
    ) -> dict[str, Any]:
        candidate = make_candidate(leaf, policy, usual, now)
        reason = "used"
        if not self._gateway.may_use(leaf):
            reason = "leaving"
        elif policy.excludes(leaf.labels):
            reason = "excluded by an intent"
        elif candidate.ejected:
            reason = "ejected after failures"
        elif not candidate.preferred:
            reason = "used when the preferred are slower"
        return {
            "address": leaf.address,
            "use": reason,
            "labels": leaf.labels,
            "outstanding": leaf.outstanding,
            "latency_ms": round(candidate.latency * 1000, 3),
            "holders": self._gateway.holders_of(leaf),
        }


def _describe_policy(policy: Policy) -> dict[str, dict[str, Any]]:
    sources = dict(policy.sources)
    described = {
        name: {
            "value": str(getattr(policy, name)),
            "from": sources.get(name, "default"),
        }
        for name in MERGED_FIELDS
    }
    described["exclude"] = {"value": ", ".join(policy.exclude), "from": "all intents"}
    return described
