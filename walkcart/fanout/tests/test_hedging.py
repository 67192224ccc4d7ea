"""Hedges go only where a slot is likely free."""

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.fanout.gathering import _has_free_slot
from walkcart.fanout.progress import Sent, ShardProgress
from walkcart.leaves.leaf import Leaf


def make_leaf(outstanding=0, stated=0):
    leaf = Leaf("127.0.0.1:1", {}, slots=2)
    leaf.record_load(0.0, stated)
    leaf.outstanding = outstanding
    return leaf


def test_leaf_with_its_slots_taken_gets_no_hedge():
    item = ShardProgress(0, ())
    assert _has_free_slot(make_leaf(outstanding=1), item, 0.0)
    assert not _has_free_slot(make_leaf(outstanding=2), item, 0.0)
    assert not _has_free_slot(make_leaf(outstanding=1, stated=2), item, 0.0)


def test_attempt_that_the_hedge_replaces_does_not_count():
    leaf = make_leaf(outstanding=2)
    item = ShardProgress(0, (leaf,))
    item.under_way["a"] = Sent(leaf, 0.0, False)
    assert _has_free_slot(leaf, item, 0.0)


def ask_with_a_slow_leaf(intent):
    """Ask while one leaf hangs; return the slowest answer and leaf requests."""

    async def run():
        async with open_estate(intent=intent) as world:
            caller = make_caller(world)
            address = world.instances["instance-0"].address
            for number in range(60):
                last = await caller.query(address, "parts", number)
            favourite = last.content["answer"]["rows"][1]["leaf"]
            world.leaves[favourite].leaf.faults.hang = True
            asked = [await caller.query(address, "parts", n) for n in range(30)]
            sent = sum(int(item.headers[b"walkcart-leaf-requests"]) for item in asked)
            return max(item.elapsed for item in asked), sent

    return run_mocked(run)


def test_hedge_saves_the_answer_from_a_leaf_that_hangs():
    slowest, sent = ask_with_a_slow_leaf("deadline = 1.0\nhedge_budget = 0.1\n")
    assert slowest < 0.2
    assert sent > 30 * 4


def test_budget_of_zero_turns_hedges_off():
    slowest, sent = ask_with_a_slow_leaf("deadline = 1.0\nhedge_budget = 0.0\n")
    assert slowest > 0.9
    assert sent == 30 * 4
