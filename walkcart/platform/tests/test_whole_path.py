"""End-to-end tests on the platform: from the caller through an instance to leaves."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.wire.http import ExchangeFailed


def run_on_platform(action, data_centre="north-a", **leaf_details):
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
            # A newly started instance has a budget of hardly any repeats.
            await trio.sleep(10)
            return await action(world)

    return run_mocked(run)


def test_merged_answer_has_the_greatest_records_and_all_stamps():
    reply = run_on_platform(lambda world: world.ask("/all/x"))
    assert reply.status == 200
    assert reply.body == b"C" * 16 + b"B" * 16
    stamps = reply.header(b"x-part-stamps").split(", ")
    assert sorted(stamp.split("-")[2][0] for stamp in stamps) == ["0", "1", "2"]
    assert reply.header(b"x-missing-parts") is None


def test_leaves_get_the_request_unchanged_but_for_hop_headers():
    async def act(world):
        headers = ((b"x-colour", b"red"), (b"connection", b"close, x-hop"))
        headers += ((b"x-hop", b"1"), (b"x-expect-instance", b"nobody"))
        await world.ask("/one/a%2Fb?c=d", method="PUT", body=b"body", headers=headers)
        return next(leaf for leaf in world.leafs.values() if leaf.arrived).arrived[0]

    request = run_on_platform(act)
    assert (request.method, request.target) == ("PUT", "/one/a%2Fb?c=d")
    assert request.body == b"body"
    assert request.header(b"x-colour") == "red"
    assert request.header(b"x-request-id") == "request-1"
    assert request.header(b"x-hop") is None
    assert request.header(b"x-expect-instance").startswith("p-")
    assert 1900 < int(request.header(b"x-deadline-ms")) <= 2000


def test_reply_of_a_single_leaf_is_forwarded_unchanged():
    reply = run_on_platform(lambda world: world.ask("/one/x"))
    assert (reply.status, reply.body) == (200, b"whole body")
    assert reply.header(b"x-response-stamp").endswith("request-1")
    assert reply.header(b"x-request-id") == "request-1"


def test_path_without_a_route_is_not_found():
    assert run_on_platform(lambda world: world.ask("/other/x")).status == 404


def test_shards_later_than_the_objective_are_omitted_and_counted():
    async def act(world):
        for number in range(2):
            world.leafs[f"i-1{number}"].faults.delay = 1.0
        return await world.ask("/all/x"), trio.current_time()

    reply, _ = run_on_platform(act)
    assert reply.status == 200
    assert reply.header(b"x-missing-parts") == "1"
    assert reply.body == b"C" * 16 + b"A" * 16
    assert len(reply.header(b"x-part-stamps").split(", ")) == 2


def test_too_few_shards_give_no_answer():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.drop = True
        return await world.ask("/all/x")

    reply = run_on_platform(act)
    assert reply.status == 502
    assert reply.header(b"x-part-stamps") is None


def test_stalled_leaf_is_hedged_at_another_leaf_of_the_shard():
    async def act(world):
        for _ in range(40):
            await world.ask("/all/x")
        world.leafs["i-20"].faults.delay = 5.0
        start = trio.current_time()
        reply = await world.ask("/all/x")
        return reply, trio.current_time() - start

    reply, elapsed = run_on_platform(act)
    assert reply.header(b"x-missing-parts") is None
    assert elapsed < 0.18


def test_refused_request_goes_to_another_leaf():
    async def act(world):
        world.leafs["p-0"].faults.refuse = True
        replies = [await world.ask("/once/x", method="POST") for _ in range(6)]
        return replies, world

    replies, world = run_on_platform(act)
    assert [reply.status for reply in replies] == [200] * 6
    assert world.leafs["p-0"].ran == []


def test_non_idempotent_request_runs_once_when_its_reply_is_lost():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.drop = True
        reply = await world.ask("/once/x", method="POST")
        return reply, [id for leaf in world.leafs.values() for id in leaf.ran]

    reply, ran = run_on_platform(act)
    assert reply.status == 502
    assert ran == ["request-1"]


def test_refusal_by_all_leaves_is_reported_as_not_run_with_retry_after():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.refuse = True
        return await world.ask("/once/x", method="POST")

    reply = run_on_platform(act)
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) > 0


def test_failure_of_a_leaf_is_forwarded_unless_its_status_is_a_false_promise():
    async def act(world):
        replies = []
        for status in (500, 503):
            for number in range(2):
                world.leafs[f"p-{number}"].faults.status = status
            replies.append(await world.ask("/once/x", method="POST"))
        return replies

    failed, promised = run_on_platform(act)
    assert failed.status == 500
    assert failed.header(b"x-response-stamp")
    # The request ran, so a status that promises otherwise must not reach the caller.
    assert promised.status == 502
    assert promised.header(b"x-response-stamp") is None


def test_reply_to_another_request_is_never_used():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.other_id = True
        return await world.ask("/once/x", method="POST")

    assert run_on_platform(act).status in (502, 504)


def test_success_without_a_stamp_is_not_used():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.unstamped = True
        return await world.ask("/one/x")

    assert run_on_platform(act).status == 502


def test_work_stops_when_the_caller_leaves():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 5.0
        with trio.move_on_after(0.1):
            await world.ask("/all/x")
        await trio.sleep(0.2)
        return sum(leaf.running for leaf in world.leafs.values())

    assert run_on_platform(act) == 0


def test_route_holds_a_request_no_longer_than_its_timeout():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.delay = 60.0
        start = trio.current_time()
        reply = await world.ask("/once/x", method="POST", deadline_ms=60_000)
        return reply.status, trio.current_time() - start

    status, elapsed = run_on_platform(act)
    assert status == 504
    assert 1.9 < elapsed < 2.3


def test_draining_leaf_gets_no_new_requests():
    async def act(world):
        world.drain_leaf("p-0")
        await trio.sleep(0.5)
        for _ in range(10):
            await world.ask("/one/x")
        return world.leafs["p-0"].arrived

    assert run_on_platform(act) == []


def test_address_taken_over_by_another_leaf_is_dropped():
    async def act(world):
        world.leafs["p-0"].id = "somebody-else"
        replies = [await world.ask("/once/x", method="POST") for _ in range(10)]
        return replies, world.leafs["p-0"]

    replies, leaf = run_on_platform(act)
    assert [reply.status for reply in replies] == [200] * 10
    assert len(leaf.arrived) <= 1
    assert leaf.ran == []


def test_planned_stop_answers_all_accepted_requests():
    async def act(world):
        for number in range(2):
            world.leafs[f"p-{number}"].faults.delay = 1.0
        tenant = world.tenants["one"].tenant
        replies = []

        async def send_in_turn():
            for _ in range(4):
                replies.append(await world.ask("/once/x", method="POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_in_turn)
            await trio.sleep(0.5)
            nursery.start_soon(tenant.stop.stop)
            await trio.sleep(0.5)
            ready = (await world.ask_ready()).status
        return ready, [reply.status for reply in replies if reply]

    try:
        ready, statuses = run_on_platform(act)
    except* (ExchangeFailed, OSError):
        raise AssertionError("a request in progress was cut") from None
    assert ready == 503
    assert set(statuses) == {200}


def test_new_version_is_in_force_soon_and_an_older_one_is_ignored():
    async def act(world):
        first = world.configure(make_route("one", "/one/", backend="plain"))
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(0.5)
        newer = (await world.ask("/two/x")).status, (await world.ask("/one/x")).status
        world.version = first - 3
        world.configure(make_route("one", "/one/", backend="plain"))
        await trio.sleep(0.5)
        return newer, (await world.ask("/one/x")).status

    assert run_on_platform(act) == ((200, 404), 404)


def test_instance_without_a_configuration_is_not_ready_and_replies_not_run():
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


def test_requests_are_split_by_weight():
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
