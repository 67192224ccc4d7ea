"""Questions for an instance to which no connection is up.

In a fleet of 195 nearly each pair met for the first time with a question. It waited
for the connection until it was taken back, and counted as an attempt though nothing had
left; so did its late parts, and the question failed after 59 to 262 ms with 1.7 s left.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import REGIONS, make_route, open_platform
from walkcart.platform.tests.test_delegation import count_lines

#: One-way seconds between regions: a connection takes 90 ms to come up, longer than a
#: question waits for it.
FAR = 0.03
SHARDS = [f"shard-{number}" for number in range(4)]


def with_far_regions(action):
    """Run `action(world)`: leafs and one instance far in the south, one north."""

    def measure(one, other):
        same = REGIONS.get(one, one) == REGIONS.get(other, other)
        return 0.0005 if same or "callers" in (one, other) else FAR

    async def run():
        async with open_platform() as world:
            world.network.latency = measure
            for number, shard in enumerate(SHARDS):
                for copy in range(2):
                    await world.start_leaf(
                        f"i-{number}{copy}", shard, "south-a", records=b"A" * 16
                    )
            route = {"fanoutServices": SHARDS, "topK": 3, "minCoverage": 1.0}
            world.configure(make_route("all", "/all/", targetLatencyMs=800, **route))
            await world.start_instance("asker", "north-a")
            await world.start_instance("helper", "south-a")
            await world.wait_ready("asker")
            await world.wait_ready("helper")
            await trio.sleep(10)
            return await action(world)

    return run_mocked(run)


def end_links(world, name):
    """Have the links of an instance end, as those that were idle for long do."""
    links = world.tenants[name].tenant.kernel.find("links", PeerLinks)
    for link in list(links._links.values()):
        link.end()
    links._links.clear()


def test_a_question_that_never_left_costs_no_attempt():
    """A first attempt that fails at each shard may be followed by a second one."""

    async def act(world):
        for number in range(len(SHARDS)):
            world.leafs[f"i-{number}0"].faults.status = 500
        end_links(world, "asker")
        reply = await world.ask("/all/x", "asker")
        arrived = [
            sum(len(world.leafs[f"i-{number}{copy}"].arrived) for copy in range(2))
            for number in range(len(SHARDS))
        ]
        return reply.status, max(arrived)

    status, arrived = with_far_regions(act)
    assert status == 200
    assert arrived <= 2


def test_links_that_ended_come_up_again_without_a_question():
    async def act(world):
        end_links(world, "asker")
        await trio.sleep(1.5)
        reply = await world.ask("/all/x", "asker")
        return reply.status, count_lines(world, '"gathered": 1')

    assert with_far_regions(act) == (200, 1)
