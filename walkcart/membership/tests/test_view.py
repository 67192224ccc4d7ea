"""The view of the instances: merging of records, and failure detection."""

import itertools

import trio
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.harness import open_estate, run_mocked
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.messages import MemberRecord


def make_record(name="a", incarnation=1, counter=0, state=0, revision=0):
    return MemberRecord(name, incarnation, counter, state, "", "", "", "", revision)


records = st.builds(
    make_record,
    st.sampled_from(["b", "c"]),
    st.integers(1, 3),
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 3),
)


@given(st.lists(records, max_size=4))
def test_merge_order_makes_no_difference(received):
    views = []
    for order in itertools.permutations(received):
        view = MembershipView(make_record())
        for record in order:
            view.merge(record)
        views.append(view.records())
    assert all(view == views[0] for view in views)


def test_instance_refutes_suspicion():
    view = MembershipView(make_record())
    view.merge(make_record(state=int(MemberState.SUSPECT)))
    assert view.own.state == MemberState.LIVE
    assert view.own.counter == 1


def test_dead_but_listed_instance_still_counts_as_sharing():
    view = MembershipView(make_record())
    view.merge(make_record("b"))
    view.set_listed(frozenset({"b"}))
    view.raise_state("b", MemberState.DEAD)
    assert [item.name for item in view.sharing()] == ["a", "b"]
    view.set_listed(frozenset())
    assert [item.name for item in view.sharing()] == ["a"]


def find_state(world, observer, name):
    record = world.instances[observer].find("view", MembershipView).find(name)
    return None if record is None else MemberState(record.state)


def test_killed_instance_is_unusable_after_three_seconds():
    async def run():
        async with open_estate(instances=5) as world:
            await world.kill_instance("instance-4", listed=True)
            await trio.sleep(3)
            return [
                [
                    item.name
                    for item in running.find("view", MembershipView).usable_peers()
                ]
                for running in world.instances.values()
            ]

    assert all("instance-4" not in names for names in run_mocked(run))


def test_partitioned_region_recovers_by_itself():
    async def run():
        sites = [("north", "north-a"), ("south", "south-a")]
        async with open_estate(instances=4, sites=sites) as world:
            world.memory.cut("north-a", "south-a")
            await trio.sleep(30)
            during = find_state(world, "instance-0", "instance-1")
            world.memory.heal("north-a", "south-a")
            await trio.sleep(20)
            after = [
                find_state(world, observer, name)
                for observer in world.instances
                for name in world.instances
            ]
            return during, after

    during, after = run_mocked(run)
    assert during == MemberState.DEAD
    assert set(after) == {MemberState.LIVE}


def test_lost_envelopes_cause_no_deaths():
    async def run():
        async with open_estate(instances=5) as world:
            world.memory.lose = lambda: world.random.random() < 0.1
            await trio.sleep(60)
            world.memory.lose = lambda: False
            await trio.sleep(5)
            return [
                find_state(world, observer, name)
                for observer in world.instances
                for name in world.instances
            ]

    assert set(run_mocked(run)) == {MemberState.LIVE}


def test_suspect_is_declared_dead_if_the_suspecting_instance_is_gone():
    """As when a rack fails with both: the others only learned of the suspicion."""

    async def run():
        async with open_estate(instances=3) as world:
            view = world.instances["instance-0"].find("view", MembershipView)
            await world.kill_instance("instance-2", listed=True)
            view.raise_state("instance-2", MemberState.SUSPECT)
            await world.kill_instance("instance-1", listed=True)
            await trio.sleep(15)
            return find_state(world, "instance-0", "instance-2")

    assert run_mocked(run) == MemberState.DEAD
