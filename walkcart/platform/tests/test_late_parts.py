"""Late parts of a question are requested together from another region."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.fanout import groups, lateparts
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.wire.delegations import DelegatedQuestion

SHARDS = [f"shard-{number}" for number in range(6)]


def with_three_shards_per_message(monkeypatch, scenario):
    """Run a scenario with at most three shards in each delegated question.

    Each shard has a leaf in the north, "n-" and its number, and one in the south, "s-"
    and its number. Two instances are in the north, one is in the south.

    Args:
        monkeypatch: fixture of the test.
        scenario: called with the platform and a list that collects the receiver and the
            services of each delegated question; its result is returned.
    """
    monkeypatch.setattr(groups, "MAX_SERVICES", 3)
    monkeypatch.setattr(lateparts, "MAX_SERVICES", 3)
    sent = []
    send = PeerLinks.send

    def record_sent(links, name, message):
        if isinstance(message, DelegatedQuestion):
            sent.append((name, message.services))
        return send(links, name, message)

    async def run():
        async with open_platform() as world:
            for number, shard in enumerate(SHARDS):
                records = bytes([65 + number]) * 16
                for start, place in (("n", "north-a"), ("s", "south-a")):
                    id = f"{start}-{number}"
                    await world.start_leaf(id, shard, place, records=records)
            fields = {"fanoutServices": SHARDS, "topK": 9, "minCoverage": 0.5}
            world.configure(make_route("all", "/all/", **fields))
            places = {"asker": "north-a", "near": "north-a", "far": "south-a"}
            for name, place in places.items():
                await world.start_instance(name, place)
            for name in places:
                await world.wait_ready(name)
            await trio.sleep(10)
            for _ in range(20):
                await world.ask("/all/x", "asker")
            for leaf in world.leafs.values():
                leaf.arrived.clear()
            monkeypatch.setattr(PeerLinks, "send", record_sent)
            return await scenario(world, sent)

    return run_mocked(run)


def count_arrived(world):
    return [
        sum(len(world.leafs[f"{start}-{number}"].arrived) for start in "ns")
        for number in range(len(SHARDS))
    ]


def check_complete(reply):
    assert reply.status == 200
    assert reply.header(b"x-missing-parts") is None
    stamps = reply.header(b"x-part-stamps").split(", ")
    assert len(set(stamps)) == len(stamps) == len(SHARDS)
    assert reply.body == b"".join(bytes([65 + n]) * 16 for n in reversed(range(6)))


def test_late_parts_of_all_gathering_instances_go_in_one_message(monkeypatch):
    async def scenario(world, sent):
        near = (await ask_once(world, sent))[0][1]
        late = [near[0], next(name for name in SHARDS if name not in near)]
        for name in late:
            world.leafs[name.replace("shard", "n")].faults.delay = 1.0
        start = trio.current_time()
        reply = await world.ask("/all/x", "asker")
        return reply, trio.current_time() - start, late, sent[1:], count_arrived(world)

    reply, elapsed, late, sent, arrived = with_three_shards_per_message(
        monkeypatch, scenario
    )
    check_complete(reply)
    assert elapsed < 0.2
    assert [name for name, _ in sent] == ["near", "far"]
    assert sorted(sent[1][1]) == sorted(late)
    assert max(arrived) <= 2 + 1  # the previous question reached each shard once


async def ask_once(world, sent):
    await world.ask("/all/x", "asker")
    return list(sent)


def test_single_late_part_is_requested_directly(monkeypatch):
    async def scenario(world, sent):
        near = (await ask_once(world, sent))[0][1]
        world.leafs[near[0].replace("shard", "n")].faults.delay = 1.0
        reply = await world.ask("/all/x", "asker")
        return reply, [name for name, _ in sent]

    reply, sent = with_three_shards_per_message(monkeypatch, scenario)
    check_complete(reply)
    assert sent == ["near", "near"]


def test_late_parts_are_awaited_when_all_leaves_are_slow(monkeypatch):
    """Another region is no faster then, so no part is requested twice."""

    async def scenario(world, sent):
        for leaf in world.leafs.values():
            leaf.faults.delay = 0.4
        reply = await world.ask("/all/x", "asker")
        return reply, count_arrived(world)

    reply, arrived = with_three_shards_per_message(monkeypatch, scenario)
    assert reply.status == 200
    # The answer is sent as soon as half of the parts have arrived.
    assert reply.header(b"x-missing-parts") in ("3", None)
    assert max(arrived) <= 2


def test_dead_instance_in_the_other_region_costs_only_the_late_parts(monkeypatch):
    async def scenario(world, sent):
        near = (await ask_once(world, sent))[0][1]
        for name in near[:2]:
            world.leafs[name.replace("shard", "n")].faults.delay = 1.0
        world.tenants["far"].scope.cancel()
        return await world.ask("/all/x", "asker")

    reply = with_three_shards_per_message(monkeypatch, scenario)
    assert reply.status == 200
    assert reply.header(b"x-missing-parts") in ("1", "2", None)


def test_work_in_the_other_region_ends_when_the_caller_leaves(monkeypatch):
    async def scenario(world, sent):
        near = (await ask_once(world, sent))[0][1]
        for name in near[:2]:
            for start in "ns":
                leaf = world.leafs[name.replace("shard", start)]
                leaf.faults.delay = 5.0
        with trio.move_on_after(0.16):
            await world.ask("/all/x", "asker")
        await trio.sleep(0.2)
        return sum(leaf.running for leaf in world.leafs.values())

    assert with_three_shards_per_message(monkeypatch, scenario) == 0
