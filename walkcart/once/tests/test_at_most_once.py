"""Non-repeatable requests run at most once, whatever fails."""

from random import Random

import trio

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.once.keys import make_key


def count_runs(world):
    return sum(sum(item.once.values()) for item in world.leaves_ever)


async def execute_at(world, caller, name, key, command=1, deadline=None):
    headers = ((b"walkcart-deadline-ms", b"%d" % deadline),) if deadline else ()
    address = world.instances[name].address
    return await caller.execute(address, "cards", command, key, headers)


def new_key(world, seed=5):
    return make_key(world.clock.now(), Random(seed))


def test_same_key_at_all_instances_at_once_runs_once():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            replies = []

            async def ask(name):
                replies.append(await execute_at(world, caller, name, key))

            async with trio.open_nursery() as nursery:
                for name in world.instances:
                    for _ in range(3):
                        nursery.start_soon(ask, name)
            return [item.verdict for item in replies], count_runs(world)

    verdicts, runs = run_mocked(run)
    assert runs == 1
    assert verdicts.count("not_run") == 0
    assert "answered" in verdicts


def test_repeat_gets_the_first_reply():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            first = await execute_at(world, caller, "instance-0", key)
            await trio.sleep(1)
            second = await execute_at(world, caller, "instance-2", key)
            return first, second, count_runs(world)

    first, second, runs = run_mocked(run)
    assert runs == 1
    assert second.content == first.content
    assert second.headers[b"walkcart-repeated"] == b"yes"


def test_key_used_for_another_request_is_refused():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            await execute_at(world, caller, "instance-0", key, command=1)
            other = await execute_at(world, caller, "instance-1", key, command=2)
            return other, count_runs(world)

    other, runs = run_mocked(run)
    assert (other.status, other.verdict, runs) == (422, "not_run", 1)


def test_bad_keys_are_refused_and_do_not_run():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            old = make_key(world.clock.now().replace(year=2020), Random(1))
            keys = ["", "rubbish", "6ba7b810-9dad-11d1-80b4-00c04fd430c8", old]
            asked = [await execute_at(world, caller, "instance-0", key) for key in keys]
            return asked, count_runs(world)

    asked, runs = run_mocked(run)
    assert [(item.status, item.verdict) for item in asked] == [(400, "not_run")] * 4
    assert runs == 0


def test_store_outage_refuses_at_once_with_retry_after():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            world.store.faults.down = True
            refused = await execute_at(world, caller, "instance-0", key)
            world.store.faults.down = False
            await trio.sleep(3)
            again = await execute_at(world, caller, "instance-1", key)
            return refused, again, count_runs(world)

    refused, again, runs = run_mocked(run)
    assert (refused.status, refused.verdict) == (503, "not_run")
    assert refused.content["retry_after_ms"] > 0
    assert (again.status, runs) == (200, 1)


def test_lost_store_replies_are_resolved_by_reading_back():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            world.store.faults.lose_reply = 1.0
            first = await execute_at(
                world, caller, "instance-0", new_key(world), deadline=900
            )
            return first, count_runs(world)

    first, runs = run_mocked(run)
    assert (first.status, runs) == (200, 1)


def test_delayed_write_of_an_abandoned_claim_runs_nothing():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            world.store.faults.late_write = 1.0
            world.store.faults.late_by = 5.0
            given_up = await execute_at(world, caller, "instance-0", key)
            world.store.faults.late_write = 0.0
            await trio.sleep(10)
            again = await execute_at(world, caller, "instance-1", key)
            return given_up, again, count_runs(world)

    given_up, again, runs = run_mocked(run)
    assert given_up.verdict == "not_run"
    assert (again.status, runs) == (200, 1)


def test_lost_reply_of_a_leaf_is_never_reported_as_not_run():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            for item in world.leaves.values():
                item.leaf.faults.drop_reply = 1.0
            first = await execute_at(world, caller, "instance-0", key)
            again = await execute_at(world, caller, "instance-1", key)
            return first, again, count_runs(world)

    first, again, runs = run_mocked(run)
    assert first.verdict == again.verdict == "may_have_run"
    assert again.status == 409
    assert runs == 1


def test_request_that_a_leaf_refuses_goes_to_another_replica():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            for name in ("cards-l1-0-0", "cards-l1-0-1"):
                world.leaves[name].leaf.faults.shed = True
            asked = await execute_at(world, caller, "instance-0", new_key(world))
            return asked, count_runs(world)

    asked, runs = run_mocked(run)
    assert (asked.status, runs) == (200, 1)


def test_reply_that_is_not_json_may_have_run():
    async def run():
        async with open_estate() as world:
            caller = make_caller(world)
            for item in world.leaves.values():
                item.leaf.faults.bad_rows = 1.0
            return await execute_at(world, caller, "instance-0", new_key(world))

    assert run_mocked(run).verdict == "may_have_run"


def test_instance_killed_between_claim_and_reply_allows_at_most_one_run():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            for item in world.leaves.values():
                item.leaf.faults.slow = 20.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(execute_at, world, caller, "instance-0", key)
                await trio.sleep(0.1)
                await world.kill_instance("instance-0")
            again = await execute_at(world, caller, "instance-1", key)
            return again, count_runs(world)

    again, runs = run_mocked(run)
    assert again.verdict == "may_have_run"
    assert runs == 1


def test_group_commit_batches_writes():
    async def run():
        async with open_estate(instances=7) as world:
            caller = make_caller(world)
            random = Random(3)
            before = world.store.calls["write"]
            names = list(world.instances)
            async with trio.open_nursery() as nursery:
                for number in range(400):
                    key = make_key(world.clock.now(), random)
                    name = names[number % len(names)]
                    nursery.start_soon(execute_at, world, caller, name, key)
                    await trio.sleep(1 / 500)
            return world.store.calls["write"] - before, count_runs(world)

    writes, runs = run_mocked(run)
    assert runs > 300
    assert runs / writes >= 5


def test_reply_body_above_the_size_limit_is_not_kept():
    async def run():
        async with open_estate() as world:
            caller, key = make_caller(world), new_key(world)
            long = "x" * 5000
            first = await execute_at(world, caller, "instance-0", key, command=long)
            await trio.sleep(1)
            second = await execute_at(world, caller, "instance-1", key, command=long)
            return first, second, count_runs(world)

    first, second, runs = run_mocked(run)
    assert runs == 1
    assert first.content["rows"]
    assert second.status == 200
    assert second.headers[b"walkcart-repeated"] == b"yes"
    assert "too long" in second.content["detail"]


def test_claims_in_segments_are_still_found():
    async def run():
        async with open_estate() as world:
            caller, random = make_caller(world), Random(9)
            keys = [make_key(world.clock.now(), random) for _ in range(400)]
            padding = "x" * 700
            async with trio.open_nursery() as nursery:
                for key in keys:
                    nursery.start_soon(
                        execute_at, world, caller, "instance-0", key, random.random()
                    )
                    await trio.sleep(0.01)
            segments = [key for key in world.store._slots if key.count("/") == 3]
            again = [
                await execute_at(world, caller, "instance-2", key, padding)
                for key in keys[:20]
            ]
            return len(segments), again, count_runs(world)

    import walkcart.once.owner as owner

    size, owner.MAX_BUCKET_SIZE = owner.MAX_BUCKET_SIZE, 4000
    try:
        segments, again, runs = run_mocked(run)
    finally:
        owner.MAX_BUCKET_SIZE = size
    assert segments >= 2
    assert runs == 400
    # These are other requests with the same keys, which are found in the segments.
    assert {item.status for item in again} == {422}


def test_request_that_never_left_the_instance_is_reported_as_not_run():
    """Each leaf has one connection, and requests that hang occupy all of them."""

    async def run():
        async with open_estate(instances=1) as world:
            from walkcart.bench.world import make_service

            await world.apply(make_service("cards", 1, True, connections=1))
            for item in world.leaves.values():
                item.leaf.faults.hang = True
            await trio.sleep(3)
            caller, replies = make_caller(world), []

            async def ask(seed):
                key = new_key(world, seed)
                asked = await execute_at(
                    world, caller, "instance-0", key, seed, deadline=400
                )
                replies.append((key, asked.verdict))

            async with trio.open_nursery() as nursery:
                for seed in range(8):
                    nursery.start_soon(ask, seed)
            return [verdict for _, verdict in replies], count_runs(world)

    verdicts, runs = run_mocked(run)
    assert verdicts.count("may_have_run") == runs == 3
    assert verdicts.count("not_run") == 5


def test_connection_holder_killed_at_any_moment_causes_no_false_not_run():
    """The instance that holds the connections to the leaves is killed.

    This happens before, while and after it forwards a request of another instance.
    """

    def kill_after(delay):
        async def run():
            async with open_estate(instances=4) as world:
                from walkcart.bench.world import make_service
                from walkcart.leaves.gateway import LeafGateway

                # With one connection to each leaf, each leaf has a single holder.
                await world.apply(make_service("cards", 1, True, connections=1))
                await trio.sleep(6)
                for item in world.leaves.values():
                    item.leaf.faults.slow = 10.0
                gateway = world.instances["instance-0"].find("gateway", LeafGateway)
                leaves = gateway._groups["cards"].leaves
                holders = {gateway.holders_of(leaf)[0] for leaf in leaves}
                asker = min(set(world.instances) - holders)
                replies = []

                async def ask():
                    replies.append(
                        await execute_at(
                            world, make_caller(world), asker, new_key(world)
                        )
                    )

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await trio.sleep(delay)
                    for name in sorted(holders):
                        await world.kill_instance(name, listed=True)
                return replies[0].verdict, count_runs(world)

        return run_mocked(run)

    seen = set()
    for delay in (0.0, 0.005, 0.02, 0.03, 0.032, 0.034, 0.036, 0.04, 0.08, 0.2):
        verdict, runs = kill_after(delay)
        seen.add(verdict)
        assert runs <= 1
        assert verdict != "not_run" or runs == 0
        assert verdict != "answered" or runs == 1
    assert len(seen) > 1
