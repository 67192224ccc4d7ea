"""Questions delegated to an instance to which no connection is up.

In a fleet of 195, nearly every pair of instances first connects when a question is
delegated. The failure: the question waits for the connection until it is cancelled,
and counts as an attempt though nothing has been sent; so do its late parts, and the
question fails after 59 to 262 ms with 1.7 s left.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import REGIONS, make_route, open_platform
from walkcart.platform.tests.test_delegation import count_lines

#: One-way latency between regions in seconds: a connection takes 90 ms to come up,
#: longer than a question waits for it.
FAR_LATENCY = 0.03
SHARDS = [f"shard-{number}" for number in range(4)]


def with_far_regions(scenario):
    """Run `scenario(world)`: leaves and one instance far south, another one north."""

    def find_latency(one, other):
        same = REGIONS.get(one, one) == REGIONS.get(other, other)
        return 0.0005 if same or "callers" in (one, other) else FAR_LATENCY

    async def run():
        async with open_platform() as world:
            world.network.latency = find_latency
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
            return await scenario(world)

    return run_mocked(run)


def end_links(world, name):
    """End all links of an instance, as happens to links that are idle for long."""
    links = world.tenants[name].tenant.kernel.find("links", PeerLinks)
    for link in list(links._links.values()):
        link.end()
    links._links.clear()


def test_question_that_was_never_sent_costs_no_attempt():
    """First attempts that fail at each shard may still be followed by second ones."""

    async def scenario(world):
        for number in range(len(SHARDS)):
            world.leafs[f"i-{number}0"].faults.status = 500
        end_links(world, "asker")
        reply = await world.ask("/all/x", "asker")
        arrived = [
            sum(len(world.leafs[f"i-{number}{copy}"].arrived) for copy in range(2))
            for number in range(len(SHARDS))
        ]
        return reply.status, max(arrived)

    status, arrived = with_far_regions(scenario)
    assert status == 200
    assert arrived <= 2


def test_ended_links_reconnect_without_a_question():
    async def scenario(world):
        end_links(world, "asker")
        await trio.sleep(1.5)
        reply = await world.ask("/all/x", "asker")
        return reply.status, count_lines(world, '"gathered": 1')

    assert with_far_regions(scenario) == (200, 1)
