"""Questions that another instance gathers, near the leafs."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.wire.delegations import DelegatedCancel, DelegatedTaken


def with_two_regions(action, copies=2, **fields):
    """Run `action(world)`: leafs and one instance in the south, one in the north."""

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
            return await action(world)

    return run_mocked(run)


def count_lines(world, text):
    return sum(1 for line in world.log.getvalue().splitlines() if text in line)


def test_an_instance_near_the_leafs_gathers_and_the_answer_is_whole():
    async def act(world):
        reply = await world.ask("/all/x", "asker")
        return reply, count_lines(world, '"gathered": 1')

    reply, by_helper = with_two_regions(act)
    assert reply.status == 200
    assert reply.body == b"D" * 16 + b"C" * 16 + b"B" * 16
    assert len(reply.header(b"x-part-stamps").split(", ")) == 4
    assert by_helper == 1


def test_a_peer_that_died_costs_the_wait_for_its_word_and_no_answer():
    async def act(world):
        world.tenants["helper"].scope.cancel()
        start = trio.current_time()
        replies = [await world.ask("/all/x", "asker") for _ in range(3)]
        return replies, trio.current_time() - start

    replies, elapsed = with_two_regions(act)
    assert [reply.status for reply in replies] == [200] * 3
    assert all(
        len(reply.header(b"x-part-stamps").split(", ")) == 4 for reply in replies
    )
    # Only the first question waits for it.
    assert elapsed < 0.06 + 3 * 0.05


def test_a_peer_that_dies_with_a_question_ends_it_soon_and_within_the_attempts():
    async def act(world):
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

    status, elapsed, arrived = with_two_regions(act)
    # What the dead one had sent isn't known: more attempts could pass the most allowed.
    assert status == 502
    assert elapsed < 0.4
    assert max(arrived) <= 2


def test_a_caller_that_leaves_ends_the_work_at_the_peer():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 5.0
        with trio.move_on_after(0.1):
            await world.ask("/all/x", "asker")
        await trio.sleep(0.2)
        return sum(leaf.running for leaf in world.leafs.values())

    assert with_two_regions(act) == 0


def test_a_failure_at_the_peer_tells_whether_it_may_have_run():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.drop = True
        ran = await world.ask("/all/x", "asker")
        for leaf in world.leafs.values():
            leaf.faults.drop = False
            leaf.faults.refuse = True
        return ran, await world.ask("/all/x", "asker")

    ran, refused = with_two_regions(act)
    assert ran.status == 502
    assert refused.status == 503


def count_arrived(world):
    return [
        sum(len(world.leafs[f"i-{shard}{copy}"].arrived) for copy in range(2))
        for shard in range(4)
    ]


def test_a_question_taken_back_late_keeps_within_the_attempts(monkeypatch):
    """The helper's word is lost and the cancellation comes 12 ms late."""
    send = PeerLinks.send

    async def act(world):
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

    assert with_two_regions(act, targetLatencyMs=60, minCoverage=1.0) == 2


def test_links_that_went_silent_without_an_end_are_made_anew():
    async def act(world):
        await world.ask("/all/x", "asker")
        await trio.sleep(3)
        world.network.silent_until = trio.current_time()
        statuses = []
        for _ in range(4):
            statuses.append((await world.ask("/all/x", "asker")).status)
            await trio.sleep(3)
        return statuses, count_lines(world, '"gathered": 1')

    statuses, by_helper = with_two_regions(act)
    assert statuses == [200] * 4
    # Two of five met the silence, one for each direction, and were asked for from here.
    assert by_helper == 3
