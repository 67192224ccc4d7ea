"""Questions whose gathering is delegated to an instance near the leaves."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.wire.delegations import DelegatedCancel, DelegatedTaken


def with_two_regions(scenario, copies=2, **fields):
    """Run a scenario with leaves and one instance in the south, one in the north.

    Args:
        scenario: called with the platform; its result is returned.
        copies: leaves of each shard.
        fields: of the route, beside or instead of the default ones.
    """

    async def run():
        async with open_platform() as world:
            shards = [f"shard-{number}" for number in range(4)]
            for number, shard in enumerate(shards):
                records = bytes([65 + number]) * 16
                for copy in range(copies):
                    await world.start_leaf(
                        f"i-{number}{copy}", shard, "south-a", records=records
                    )
            route = {"fanoutServices": shards, "topK": 3, "minCoverage": 0.5, **fields}
            world.configure(make_route("all", "/all/", **route))
            await world.start_instance("asker", "north-a")
            await world.start_instance("helper", "south-a")
            await world.wait_ready("asker")
            await world.wait_ready("helper")
            await trio.sleep(10)
            return await scenario(world)

    return run_mocked(run)


def count_lines(world, text):
    return sum(1 for line in world.log.getvalue().splitlines() if text in line)


def test_instance_near_the_leaves_gathers_a_complete_answer():
    async def scenario(world):
        reply = await world.ask("/all/x", "asker")
        return reply, count_lines(world, '"gathered": 1')

    reply, by_helper = with_two_regions(scenario)
    assert reply.status == 200
    assert reply.body == b"D" * 16 + b"C" * 16 + b"B" * 16
    assert len(reply.header(b"x-part-stamps").split(", ")) == 4
    assert by_helper == 1


def test_dead_peer_costs_one_acceptance_timeout_and_no_answer():
    async def scenario(world):
        world.tenants["helper"].scope.cancel()
        start = trio.current_time()
        replies = [await world.ask("/all/x", "asker") for _ in range(3)]
        return replies, trio.current_time() - start

    replies, elapsed = with_two_regions(scenario)
    assert [reply.status for reply in replies] == [200] * 3
    assert all(
        len(reply.header(b"x-part-stamps").split(", ")) == 4 for reply in replies
    )
    # Only the first question waits for the dead instance.
    assert elapsed < 0.06 + 3 * 0.05


def test_question_of_a_dying_peer_ends_soon_and_within_max_attempts():
    async def scenario(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 0.12
        result = []

        async def ask():
            result.append(await world.ask("/all/x", "asker"))

        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.05)
            world.tenants["helper"].scope.cancel()
        elapsed = trio.current_time() - start
        return result[0].status, elapsed, count_arrived(world)

    status, elapsed, arrived = with_two_regions(scenario)
    # The dead instance's attempts aren't known: more could exceed the allowed number.
    assert status == 502
    assert elapsed < 0.4
    assert max(arrived) <= 2


def test_work_at_the_peer_ends_when_the_caller_leaves():
    async def scenario(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 5.0
        with trio.move_on_after(0.1):
            await world.ask("/all/x", "asker")
        await trio.sleep(0.2)
        return sum(leaf.running for leaf in world.leafs.values())

    assert with_two_regions(scenario) == 0


def test_failure_at_the_peer_states_whether_requests_may_have_run():
    async def scenario(world):
        for leaf in world.leafs.values():
            leaf.faults.drop = True
        ran = await world.ask("/all/x", "asker")
        for leaf in world.leafs.values():
            leaf.faults.drop = False
            leaf.faults.refuse = True
        return ran, await world.ask("/all/x", "asker")

    ran, refused = with_two_regions(scenario)
    assert ran.status == 502
    assert refused.status == 503


def count_arrived(world):
    return [
        sum(len(world.leafs[f"i-{shard}{copy}"].arrived) for copy in range(2))
        for shard in range(4)
    ]


def test_question_cancelled_late_stays_within_max_attempts(monkeypatch):
    """The helper's acceptance is lost and the cancellation arrives 12 ms late."""
    send = PeerLinks.send

    async def scenario(world):
        def send_late(links, name, message):
            match message:
                case DelegatedTaken():
                    return True
                case DelegatedCancel():
                    world.nursery.start_soon(send_after, links, name, message)
                    return True
            return send(links, name, message)

        async def send_after(links, name, message):
            await trio.sleep(0.012)
            send(links, name, message)

        for name in ("i-00", "i-01"):
            world.leafs[name].faults.delay = 1.0
        monkeypatch.setattr(PeerLinks, "send", send_late)
        with trio.move_on_after(0.5):
            await world.ask("/all/x", "asker")
        return count_arrived(world)[0]

    assert with_two_regions(scenario, targetLatencyMs=60, minCoverage=1.0) == 2


def test_links_that_went_silent_are_reconnected():
    async def scenario(world):
        await world.ask("/all/x", "asker")
        await trio.sleep(3)
        world.network.silent_until = trio.current_time()
        statuses = []
        for _ in range(4):
            statuses.append((await world.ask("/all/x", "asker")).status)
            await trio.sleep(3)
        return statuses, count_lines(world, '"gathered": 1')

    statuses, by_helper = with_two_regions(scenario)
    assert statuses == [200] * 4
    # Two of five met a silent link, one for each direction; the asker gathered them.
    assert by_helper == 3
