"""A leaf that is leaving gets no new work, whichever source reports it."""

import trio

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.membership.marks import LeafMarks

NAME = "parts-l1-1-0"
MAX_DELAY = 3.0


async def query_all(world, seconds):
    caller = make_caller(world)
    start = trio.current_time()
    while trio.current_time() < start + seconds:
        for item in list(world.instances.values()):
            asked = await caller.query(item.address, "parts", 1)
            assert asked.status == 200
            assert asked.content["coverage"]["complete"]


def run_leaving(how):
    """Report the leaf as leaving by `how`; return its late runs and its refusals."""

    async def run():
        async with open_estate() as world:
            leaf = world.leaves[NAME].leaf
            await query_all(world, 1.0)
            start = trio.current_time()
            how(world, leaf)
            await query_all(world, 6.0)
            late = [
                item.at - start for item in leaf.runs if item.at > start + MAX_DELAY
            ]
            return late, leaf.refused

    return run_mocked(run)


def test_leaf_reports_itself():
    def how(world, leaf):
        leaf.faults.leaving = True

    late, refused = run_leaving(how)
    assert not late
    # Each of the three instances may be refused once; most learn it from a peer.
    assert refused <= 3


def test_only_the_lagging_list_reports():
    def how(world, leaf):
        world.listing.lag = 1.0
        world.listing.set_state(NAME, "leaving")

    late, _ = run_leaving(how)
    assert not late


def test_only_a_peer_reports():
    """The list is unavailable and only one instance ever sends to the leaf."""

    async def run():
        async with open_estate() as world:
            world.listing.down = True
            leaf = world.leaves[NAME].leaf
            leaf.faults.leaving = True
            caller = make_caller(world)
            first = world.instances["instance-0"].address
            for _ in range(10):
                await caller.query(first, "parts", 1)
            await trio.sleep(MAX_DELAY)
            return [
                item.find("marks", LeafMarks).is_leaving(
                    str(world.leaves[NAME].address)
                )
                for item in world.instances.values()
            ]

    assert run_mocked(run) == [True, True, True]


def test_old_live_report_does_not_undo_leaving():
    async def run():
        async with open_estate() as world:
            leaf = world.leaves[NAME].leaf
            leaf.faults.leaving = True
            await query_all(world, 1.0)
            world.listing.set_state(NAME, "live")
            leaf.faults.leaving = False
            start = trio.current_time()
            await query_all(world, 3.0)
            return [item for item in leaf.runs if item.at > start]

    assert run_mocked(run) == []


def test_restart_at_the_same_address_gets_work_again():
    async def run():
        async with open_estate() as world:
            world.leaves[NAME].leaf.faults.leaving = True
            await query_all(world, 1.0)
            world.kill_leaf(NAME)
            await trio.sleep(0.5)
            again = await world.restart_leaf(NAME)
            await query_all(world, 12.0)
            return len(again.leaf.runs)

    assert run_mocked(run) > 0


def test_list_without_incarnations_can_report_a_leaf():
    marks = LeafMarks()
    marks.record_live("127.0.0.1:1", 7)
    assert marks.record_leaving("127.0.0.1:1", 0)
    assert not marks.record_live("127.0.0.1:1", 7)
    assert marks.is_leaving("127.0.0.1:1")


def test_restart_is_detected_if_the_list_has_no_incarnations():
    async def run():
        async with open_estate() as world:
            world.lists_incarnations = False
            world.leaves[NAME].leaf.faults.leaving = True
            await query_all(world, 1.0)
            world.kill_leaf(NAME)
            await trio.sleep(0.5)
            again = await world.restart_leaf(NAME)
            await query_all(world, 15.0)
            return len(again.leaf.runs)

    assert run_mocked(run) > 0
