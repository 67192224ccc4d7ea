"""Choices of a leaf, a peer or a place are alike in whatever order the candidates come.

Entries of leaves came in the order of a set of keys, so another process with the same
seed chose other leaves, and a test of lost answers passed or failed by that.
"""

from io import StringIO
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.fanout.groups import divide_services
from walkcart.intent.policy import REPLICA_POLICIES
from walkcart.kernel.eventlog import EventLog
from walkcart.leaves.directory import LeafDirectory, LeafEntry
from walkcart.routing.accountants import Site, rank_candidates
from walkcart.routing.distance import Distance, Location
from walkcart.routing.gatherers import choose_gatherers, rank_by_capacity
from walkcart.routing.placement import LeafCandidate, choose_leaf
from walkcart.routing.replicas import Candidate, ReplicaChooser
from walkcart.routing.shares import ConnectionShares

NAMES = tuple(f"name-{number}" for number in range(8))
HERE = Location("north", "north-a")
PLACES = (
    HERE,
    Location("north", "north-b"),
    Location("south", "south-a"),
    Location("east", "east-a"),
)
ORDERS = st.permutations(NAMES)
SEEDS = st.integers(0, 1000)
#: Few different values, so that candidates are often equally good.
TIMES = st.lists(st.sampled_from((0.02, 0.021, 0.08)), min_size=8, max_size=8)


@given(ORDERS, TIMES, SEEDS)
def test_leaf_of_a_routed_request_is_the_same_in_any_order(order, times, seed):
    leaves = [
        LeafCandidate(name, 0.0, 2, time, Distance.SAME_REGION, ejected=time > 0.05)
        for name, time in zip(NAMES, times, strict=True)
    ]
    shuffled = sorted(leaves, key=lambda leaf: order.index(leaf.key))
    assert choose_leaf(leaves, 0.3, Random(seed)) == choose_leaf(
        shuffled, 0.3, Random(seed)
    )


@pytest.mark.parametrize("policy", REPLICA_POLICIES)
@given(order=ORDERS, times=TIMES, seed=SEEDS)
def test_leaf_of_a_shard_is_the_same_in_any_order(policy, order, times, seed):
    leaves = [
        Candidate(name, 0, 0.0, time, ejected=time > 0.05)
        for name, time in zip(NAMES, times, strict=True)
    ]
    shuffled = sorted(leaves, key=lambda leaf: order.index(leaf.key))
    one, other = ReplicaChooser(Random(seed)), ReplicaChooser(Random(seed))
    for _ in range(3):
        assert one.choose(policy, 0, leaves) == other.choose(policy, 0, shuffled)


@given(ORDERS)
def test_leaves_of_a_service_are_listed_alike_whatever_came_first(order):
    clock = SimpleNamespace(monotonic=lambda: 0.0, now=lambda: None)
    events = EventLog("one", clock, StringIO(), level=100)
    directory = LeafDirectory(clock, events, lambda: float("-inf"))
    directory.set_entries(
        LeafEntry(name, "service", "10.0.0.1:80", "north-a", "north", 2, False)
        for name in order
    )
    assert [leaf.id for leaf in directory.leaves_of("service")] == list(NAMES)


@given(st.permutations(PLACES), SEEDS)
def test_groups_of_a_question_are_the_same_in_any_order_of_places(order, seed):
    def divide(places):
        return divide_services(NAMES, lambda name: places, HERE, Random(seed), False)

    assert divide(PLACES) == divide(order)
    assert divide(PLACES[1:]) == divide([place for place in order if place != HERE])


@given(ORDERS, TIMES)
def test_peers_are_ranked_alike_in_any_order(order, times):
    cores = dict(zip(NAMES, times, strict=True))
    other = {name: cores[name] for name in order}
    gatherers = [
        choose_gatherers(rank_by_capacity("north-a", found), found, needed=0.1)
        for found in (cores, other)
    ]
    assert gatherers[0] == gatherers[1]
    sites = [
        {name: Site("north", value) for name, value in found.items()}
        for found in (cores, other)
    ]
    assert rank_candidates(1, sites[0]) == rank_candidates(1, sites[1])
    shares = ConnectionShares(cap=6)
    regions = [dict.fromkeys(found, "north") for found in (cores, other)]
    assert shares.holders("leaf", regions[0], "north") == shares.holders(
        "leaf", regions[1], "north"
    )
