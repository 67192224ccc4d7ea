"""The choice of a shard's leaf for a question, from the leaves' accounts."""

from __future__ import annotations

from walkcart.fanout.questions import Question
from walkcart.intent.policy import Policy
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import Leaf
from walkcart.routing.replicas import Candidate, ReplicaChooser


class LeafSelector:
    """Selects leaves.

    Args:
        gateway: holds the groups' usual latencies.
        chooser: the policies.
    """

    def __init__(self, gateway: LeafGateway, chooser: ReplicaChooser) -> None:
        self._gateway = gateway
        self._chooser = chooser

    def select(
        self, question: Question, shard: int, leaves: list[Leaf], now: float
    ) -> Leaf | None:
        """Return the leaf for the next attempt, or None when none may get it."""
        policy = question.policy
        if policy.exclude:
            leaves = [leaf for leaf in leaves if not policy.excludes(leaf.labels)]
        if len(leaves) <= 1:
            return leaves[0] if leaves else None
        usual = self._gateway.hedge_delay_of(question.group).median(now)
        candidates = [make_candidate(leaf, policy, usual, now) for leaf in leaves]
        key = (question.group, shard)
        chosen = self._chooser.choose(policy.replica_policy, key, candidates)
        if chosen is None:
            return None
        return next(leaf for leaf in leaves if leaf.address == chosen.key)


def make_candidate(
    leaf: Leaf, policy: Policy, median_latency: float, now: float
) -> Candidate:
    """Return a leaf as its choice sees it."""
    return Candidate(
        key=leaf.address,
        outstanding=leaf.outstanding,
        reported_load=leaf.reported_load(now),
        latency=leaf.latency.estimate(now, median_latency),
        preferred=policy.prefers(leaf.labels),
        ejected=leaf.ejection.is_ejected(now),
        age=leaf.age(now),
    )
