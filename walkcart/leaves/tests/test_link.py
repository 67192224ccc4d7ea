"""Connections to leaves when leaves, replies or instances fail."""

from dataclasses import replace

import trio

from walkcart.bench.caller import find_violations
from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.bench.world import make_partner
from walkcart.leaves.attempts import Attempt, Failed
from walkcart.leaves.gateway import LeafGateway
from walkcart.leaves.leaf import Snapshot
from walkcart.leaves.protocol import SNAPSHOT, read_outcome, read_status
from walkcart.wire.http import HttpReply
from walkcart.wire.verdicts import Reason


def test_full_leaf_is_not_met_with_a_storm_of_connections():
    async def run():
        async with open_estate(shards=1, instances=1) as world:
            caller = make_caller(world)
            address = world.instances["instance-0"].address
            for item in world.leaves.values():
                item.leaf.spec = make_full(item.leaf.spec)
                item.leaf.faults.slow = 50.0
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(caller.query, address, "parts", number)
                await trio.sleep(0.9)
                nursery.cancel_scope.cancel()
            return max(item.leaf.connections_refused for item in world.leaves.values())

    # An instance may open its whole share at once before the first refusal; the
    # backoff of 50, 100, 200 and 400 ms then allows for a few more.
    assert run_mocked(run) <= 21 + 8


def make_full(spec):

    return replace(spec, connections=1)


def test_killed_leaf_does_not_lose_answers():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            address = world.instances["instance-1"].address
            world.kill_leaf("parts-l1-2-0")
            return [await caller.query(address, "parts", n) for n in range(20)]

    for asked in run_mocked(run):
        assert asked.status == 200
        assert asked.content["coverage"]["complete"]


def query_with_corruption(fault, share=1.0):
    """Query while one leaf corrupts replies; return the replies and violations."""

    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            address = world.instances["instance-0"].address
            setattr(world.leaves["parts-l1-1-0"].leaf.faults, fault, share)
            found = []
            for number in range(30):
                asked = await caller.query(address, "parts", {"number": number})
                found.append((asked, find_violations(asked, "red", {"number": number})))
            return found

    return run_mocked(run)


def check_corrupted(fault, share=1.0):
    for asked, violations in query_with_corruption(fault, share):
        assert asked.status == 200
        assert asked.content["coverage"]["complete"]
        assert not violations


def test_garbage_from_a_leaf_is_dropped():
    check_corrupted("garbage")


def test_body_cut_in_the_middle_is_dropped():
    check_corrupted("cut_body")


def test_reply_sent_twice_is_taken_once():
    check_corrupted("repeat_reply", 0.5)


def test_reply_of_another_attempt_is_dropped():
    check_corrupted("wrong_attempt")


def test_reply_for_another_scope_is_dropped():
    check_corrupted("wrong_scope")


def test_body_that_is_no_json_is_dropped():
    check_corrupted("bad_rows")


def test_endless_body_is_dropped():
    check_corrupted("endless")


def test_reply_lost_after_the_run_is_replaced_by_the_sibling():
    check_corrupted("drop_reply")


def test_cap_of_connections_holds_over_all_instances():
    async def run():
        async with open_estate(instances=7) as world:
            caller = make_caller(world)
            for turn in range(40):
                async with trio.open_nursery() as nursery:
                    for item in world.instances.values():
                        for _ in range(4):
                            nursery.start_soon(
                                caller.query, item.address, "parts", turn
                            )
                if turn == 20:
                    await world.kill_instance("instance-6")
                    await world.start_instance("instance-7")
            leaves = [item.leaf for item in world.leaves.values()]
            return [(x.peak_connections, x.connections_refused) for x in leaves]

    for peak, refused in run_mocked(run):
        assert peak <= 25
        assert refused == 0


def test_instances_without_connections_go_through_holders():
    async def run():
        async with open_estate(instances=14, connections=8) as world:
            await world.apply(make_cap(8))
            await trio.sleep(6)
            caller = make_caller(world)
            asked = [
                await caller.query(item.address, "parts", 1)
                for item in world.instances.values()
            ]
            holders = {
                len(gateway.holders_of(leaf))
                for item in world.instances.values()
                for gateway in [item.find("gateway", LeafGateway)]
                for leaf in gateway._groups["parts"].leaves
            }
            leaves = [item.leaf for item in world.leaves.values()]
            parts = [leaf for leaf in leaves if leaf.spec.group == "parts"]
            return asked, holders, max(leaf.peak_connections for leaf in parts)

    asked, holders, peak = run_mocked(run)
    assert all(item.content["coverage"]["complete"] for item in asked)
    assert holders == {3}
    assert peak <= 8


def make_cap(connections):
    from walkcart.bench.world import make_service

    return make_service("parts", 4, connections=connections)


def test_connections_to_a_removed_group_are_closed():
    async def run():
        async with open_estate() as world:

            def remove(base):
                return replace(
                    base,
                    services=tuple(s for s in base.services if s.name != "parts"),
                    shard_groups=tuple(
                        g for g in base.shard_groups if g.name != "parts"
                    ),
                )

            open_before = count_open(world, "parts")
            await world.apply(edit=remove)
            await trio.sleep(2)
            await world.apply(make_partner("green", "green-token"))
            await trio.sleep(2)
            return open_before, count_open(world, "parts"), count_open(world, "cards")

    before, after, others = run_mocked(run)
    assert before > 0
    assert after == 0
    assert others > 0


def count_open(world, group):
    leaves = [item.leaf for item in world.leaves.values()]
    return sum(leaf.connections for leaf in leaves if leaf.spec.group == group)


def test_invalid_numbers_from_a_leaf_are_rejected():
    """Digits that pass `isdigit` but not `int` must not raise."""
    attempt = Attempt("a", 0, Snapshot(1, 1), "red", 1.0, b"")
    for text in (b"1:\xb2", b"1:" + b"9" * 5000, b"1", b":", b"-1:1"):
        found = {b"walkcart-snapshot": text}
        outcome = read_outcome(attempt, HttpReply(200, (), b"{}"), found, 0.1)
        assert isinstance(outcome, Failed)
    status = read_status({b"walkcart-held": b"\xb2, 7," + b"9" * 5000})
    assert status.held == frozenset({7})


def test_holders_serve_before_the_regions_of_others_are_known():
    async def run():
        async with open_estate(instances=14, connections=8) as world:
            caller = make_caller(world)
            # A new instance knows the others only from the list, without regions.
            rows = [row for _, row in world.listing._changes]
            for row in rows:
                if row.role == "walkcart":
                    world.listing.put(replace(row, labels={}))
            await world.apply(make_cap(8))
            world.memory.lose = lambda: True
            running = await world.start_instance("instance-20", "north", "north-a")
            await trio.sleep(1.0)
            gateway = running.find("gateway", LeafGateway)
            held = sum(1 for share in gateway._shares.values() if share)
            world.memory.lose = lambda: False
            await trio.sleep(10)
            asked = await caller.query(running.address, "parts", 1)
            return held, asked

    held, asked = run_mocked(run)
    assert held > 0
    assert asked.content["coverage"]["complete"]


def test_body_over_the_limit_is_dropped(monkeypatch):
    from walkcart.leaves import linkconnection

    # A body of the stand-in leaf has some 100 bytes; a long query makes it longer.
    monkeypatch.setattr(linkconnection, "MAX_REPLY_BYTES", 2000)

    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            address = world.instances["instance-0"].address
            long = await caller.query(address, "parts", "x" * 4000)
            short = await caller.query(address, "parts", 1)
            return long, short

    long, short = run_mocked(run)
    assert (long.status, long.verdict) == (502, "may_have_run")
    assert short.content["coverage"]["complete"]


def test_reply_whose_body_nests_deeply_is_a_failure_of_the_leaf():
    body = b'{"rows": ' + b"[" * 1500 + b"]" * 1500 + b"}"
    found = {SNAPSHOT: b"1:1"}
    attempt = Attempt("a", 0, 1.0)
    outcome = read_outcome(attempt, HttpReply(200, body=body), found, 0.1)
    assert isinstance(outcome, Failed)
    assert outcome.verdict.reason is Reason.LEAF_FAILED
