"""The whole path on the platform: from the caller over the instance to leafs."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.wire.http import ExchangeFailed


def on_platform(action, data_centre="north-a", **leaf_details):
    """Run `action(world)` with one instance, three shards and one plain service."""

    async def run():
        async with open_platform() as world:
            for shard in range(3):
                records = bytes([65 + shard]) * 16
                for number, place in enumerate(("north-a", "south-a")):
                    await world.start_leaf(
                        f"i-{shard}{number}", f"shard-{shard}", place, records=records
                    )
            for number in range(2):
                await world.start_leaf(f"p-{number}", "plain", records=b"whole body")
            shards = [f"shard-{shard}" for shard in range(3)]
            world.configure(
                make_route(
                    "all", "/all/", fanoutServices=shards, topK=2, minCoverage=0.6
                ),
                make_route("one", "/one/", backend="plain"),
                make_route(
                    "once", "/once/", backend="plain", routeType="non_idempotent"
                ),
            )
            await world.start_instance(data_centre=data_centre)
            await world.wait_ready()
            # A young instance has hardly any repeats to spend.
            await trio.sleep(10)
            return await action(world)

    return run_mocked(run)


def test_a_question_to_all_shards_gets_the_greatest_records_and_their_stamps():
    reply = on_platform(lambda world: world.ask("/all/x"))
    assert reply.status == 200
    assert reply.body == b"C" * 16 + b"B" * 16
    stamps = reply.header(b"x-part-stamps").split(", ")
    assert sorted(stamp.split("-")[2][0] for stamp in stamps) == ["0", "1", "2"]
    assert reply.header(b"x-missing-parts") is None


def test_leafs_get_the_request_as_it_came():
    async def act(world):
        headers = ((b"x-colour", b"red"), (b"connection", b"close, x-hop"))
        headers += ((b"x-hop", b"1"), (b"x-expect-instance", b"nobody"))
        await world.ask("/one/a%2Fb?c=d", method="PUT", body=b"body", headers=headers)
        return next(leaf for leaf in world.leafs.values() if leaf.arrived).arrived[0]

    request = on_platform(act)
    assert (request.method, request.target) == ("PUT", "/one/a%2Fb?c=d")
    assert request.body == b"body"
    assert request.header(b"x-colour") == "red"
    assert request.header(b"x-request-id") == "request-1"
    assert request.header(b"x-hop") is None
    assert request.header(b"x-expect-instance").startswith("p-")
    assert 1900 < int(request.header(b"x-deadline-ms")) <= 2000


def test_a_single_answer_passes_unchanged():
    reply = on_platform(lambda world: world.ask("/one/x"))
    assert (reply.status, reply.body) == (200, b"whole body")
    assert reply.header(b"x-response-stamp").endswith("request-1")
    assert reply.header(b"x-request-id") == "request-1"


def test_a_path_without_a_route_is_not_found():
    assert on_platform(lambda world: world.ask("/other/x")).status == 404


def test_shards_that_are_late_at_the_objective_are_left_out_and_counted():
    async def act(world):
        for number in range(2):
            world.leafs[f"i-1{number}"].faults.delay = 1.0
        return await world.ask("/all/x"), trio.current_time()

    reply, _ = on_platform(act)
    assert reply.status == 200
    assert reply.header(b"x-missing-parts") == "1"
    assert reply.body == b"C" * 16 + b"A" * 16
    assert len(reply.header(b"x-part-stamps").split(", ")) == 2


def test_too_few_shards_are_no_answer():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.drop = True
        return await world.ask("/all/x")

    reply = on_platform(act)
    assert reply.status == 502
    assert reply.header(b"x-part-stamps") is None


def test_a_stalled_leaf_is_hedged_at_its_sibling():
    async def act(world):
        for _ in range(40):
            await world.ask("/all/x")
        world.leafs["i-20"].faults.delay = 5.0
        start = trio.current_time()
        reply = await world.ask("/all/x")
        return reply, trio.current_time() - start

    reply, elapsed = on_platform(act)
    assert reply.header(b"x-missing-parts") is None
    assert elapsed < 0.18


def test_a_refused_request_goes_to_another_leaf():
    async def act(world):
        world.leafs["p-0"].faults.refuse = True
        replies = [await world.ask("/once/x", method="POST") for _ in range(6)]
        return replies, world

    replies, world = on_platform(act)
    assert [reply.status for reply in replies] == [200] * 6
    assert world.leafs["p-0"].ran == []


def test_what_must_not_repeat_runs_once_when_its_answer_is_lost():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.drop = True
        reply = await world.ask("/once/x", method="POST")
        return reply, [id for leaf in world.leafs.values() for id in leaf.ran]

    reply, ran = on_platform(act)
    assert reply.status == 502
    assert ran == ["request-1"]


def test_all_leafs_full_is_told_as_not_run_with_when_to_come_back():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.refuse = True
        return await world.ask("/once/x", method="POST")

    reply = on_platform(act)
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) > 0


def test_a_leafs_failure_passes_unchanged_but_for_a_false_promise():
    async def act(world):
        replies = []
        for status in (500, 503):
            for number in range(2):
                world.leafs[f"p-{number}"].faults.status = status
            replies.append(await world.ask("/once/x", method="POST"))
        return replies

    failed, promised = on_platform(act)
    assert failed.status == 500
    assert failed.header(b"x-response-stamp")
    # It ran, so a status that promises otherwise must not reach the caller.
    assert promised.status == 502
    assert promised.header(b"x-response-stamp") is None


def test_a_reply_to_another_request_is_never_taken():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.other_id = True
        return await world.ask("/once/x", method="POST")

    assert on_platform(act).status in (502, 504)


def test_a_success_without_a_stamp_is_no_answer():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.unstamped = True
        return await world.ask("/one/x")

    assert on_platform(act).status == 502


def test_work_stops_when_the_caller_leaves():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 5.0
        with trio.move_on_after(0.1):
            await world.ask("/all/x")
        await trio.sleep(0.2)
        return sum(leaf.running for leaf in world.leafs.values())

    assert on_platform(act) == 0


def test_a_route_holds_a_request_no_longer_than_its_timeout():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.delay = 60.0
        start = trio.current_time()
        reply = await world.ask("/once/x", method="POST", deadline_ms=60_000)
        return reply.status, trio.current_time() - start

    status, elapsed = on_platform(act)
    assert status == 504
    assert 1.9 < elapsed < 2.3


def test_a_draining_leaf_gets_nothing_new():
    async def act(world):
        world.drain_leaf("p-0")
        await trio.sleep(0.5)
        for _ in range(10):
            await world.ask("/one/x")
        return world.leafs["p-0"].arrived

    assert on_platform(act) == []


def test_an_address_that_went_to_another_leaf_is_forgotten():
    async def act(world):
        world.leafs["p-0"].id = "somebody-else"
        replies = [await world.ask("/once/x", method="POST") for _ in range(10)]
        return replies, world.leafs["p-0"]

    replies, leaf = on_platform(act)
    assert [reply.status for reply in replies] == [200] * 10
    assert len(leaf.arrived) <= 1
    assert leaf.ran == []


def test_a_planned_stop_answers_what_it_took():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.delay = 1.0
        tenant = world.tenants["one"].tenant
        replies = []

        async def keep_asking():
            for _ in range(4):
                replies.append(await world.ask("/once/x", method="POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_asking)
            await trio.sleep(0.5)
            nursery.start_soon(tenant.stop.stop)
            await trio.sleep(0.5)
            ready = (await world.ask_ready()).status
        return ready, [reply.status for reply in replies if reply]

    try:
        ready, statuses = on_platform(act)
    except* (ExchangeFailed, OSError):
        raise AssertionError("a request in progress was cut") from None
    assert ready == 503
    assert set(statuses) == {200}


def test_a_new_version_is_in_force_soon_and_an_older_one_never_again():
    async def act(world):
        first = world.configure(make_route("one", "/one/", backend="plain"))
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(0.5)
        newer = (await world.ask("/two/x")).status, (await world.ask("/one/x")).status
        world.version = first - 3
        world.configure(make_route("one", "/one/", backend="plain"))
        await trio.sleep(0.5)
        return newer, (await world.ask("/one/x")).status

    assert on_platform(act) == ((200, 404), 404)


def test_an_instance_without_a_configuration_is_not_ready_and_says_not_run():
    async def run():
        async with open_platform() as world:
            await world.start_instance()
            await trio.sleep(1)
            ready = await world.ask_ready()
            return ready.status, await world.ask("/one/x")

    ready, reply = run_mocked(run)
    assert ready == 503
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) > 0


def test_weights_divide_the_requests():
    async def run():
        async with open_platform() as world:
            await world.start_leaf("a", "left", records=b"x", work=0.001)
            await world.start_leaf("b", "right", records=b"x", work=0.001)
            parts = [
                {"backend": "left", "weight": 3},
                {"backend": "right", "weight": 1},
            ]
            world.configure(make_route("split", "/s/", trafficSplit=parts))
            await world.start_instance()
            await world.wait_ready()
            for _ in range(40):
                await world.ask("/s/x")
            return len(world.leafs["a"].ran), len(world.leafs["b"].ran)

    left, right = run_mocked(run)
    assert left + right == 40
    assert abs(left - 30) <= 1
