"""The kept holders are those of the rule, whatever came and went."""

from hypothesis import given
from hypothesis import strategies as st

from walkcart.routing.holders import HolderTable, SharedLeaf
from walkcart.routing.shares import ConnectionShares

names = st.integers(0, 40).map(lambda number: f"instance-{number}")
fleets = st.lists(st.dictionaries(names, st.sampled_from(["n", "s"])), max_size=12)


@given(fleets, st.integers(1, 30))
def test_kept_holders_are_those_of_the_rule(history, cap):
    shares = ConnectionShares(cap)
    table = HolderTable()
    table.set_leaves([SharedLeaf(f"leaf-{n}", "n", shares) for n in range(3)])
    for instances in history:
        table.set_instances(instances)
        for number in range(3):
            leaf = f"leaf-{number}"
            assert table.holders(leaf) == shares.holders(leaf, instances, "n")


@given(st.integers(1, 100), st.integers(1, 700))
def test_cap_is_never_given_out_twice(cap, instances):
    shares = ConnectionShares(cap)
    holders = shares.holder_count(instances)
    assert holders * shares.connections_per_holder(holders) <= max(cap, 1)


def test_all_of_a_small_fleet_hold_connections():
    instances = {f"instance-{number}": "n" for number in range(7)}
    assert len(ConnectionShares(25).holders("leaf", instances, "n")) == 7
    assert ConnectionShares(25).connections_per_holder(7) == 3
