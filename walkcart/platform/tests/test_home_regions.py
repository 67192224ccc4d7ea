"""Routes whose requests may be served only in the regions that they allow."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import REGIONS, make_route, open_platform
from walkcart.wire.delegations import DelegatedQuestion

DATA_CENTRES = ("north-a", "south-a", "east-a")
SHARDS = [f"shard-{number}" for number in range(4)]
#: Seconds within which a change of the configuration must be in force.
MAX_DELAY = 1.0


def in_three_regions(scenario, *routes, instances=DATA_CENTRES):
    """Run `scenario(world)` with a leaf a service and an instance in each region."""

    async def run():
        async with open_platform() as world:
            for service in (*SHARDS, "single", "other"):
                for data_centre in DATA_CENTRES:
                    id = f"{service}-{data_centre}"
                    await world.start_leaf(
                        id, service, data_centre, records=id.encode()[-16:].zfill(16)
                    )
            world.configure(*routes)
            for data_centre in instances:
                await world.start_instance(data_centre, data_centre)
            for data_centre in instances:
                await world.wait_ready(data_centre)
            await trio.sleep(10)
            return await scenario(world)

    return run_mocked(run)


def make_single_route(**fields):
    return make_route("single", "/one/", backend="single", **fields)


def make_sharded_route(**fields):
    details = {"topK": 8, "minCoverage": 0.5, **fields}
    return make_route("all", "/all/", fanoutServices=SHARDS, **details)


def find_asked_regions(world):
    """Return the regions of the leaves at which any request arrived."""
    return {
        REGIONS[world.entries[id]["zone"]]
        for id, leaf in world.leafs.items()
        if leaf.arrived
    }


def watch_questions(monkeypatch):
    """Return a list that collects the name of each instance that is sent a question."""
    asked = []
    send = PeerLinks.send

    def record(links, name, message):
        if isinstance(message, DelegatedQuestion):
            asked.append(name)
        return send(links, name, message)

    monkeypatch.setattr(PeerLinks, "send", record)
    return asked


def test_single_leaf_request_stays_in_its_regions():
    async def scenario(world):
        statuses = [
            (await world.ask("/one/x", name)).status
            for name in DATA_CENTRES
            for _ in range(5)
        ]
        return statuses, find_asked_regions(world)

    statuses, regions = in_three_regions(
        scenario, make_single_route(allowedRegions=["south"])
    )
    assert statuses == [200] * 15
    assert regions == {"south"}


def test_repeats_stay_in_the_regions():
    async def scenario(world):
        for id, leaf in world.leafs.items():
            leaf.faults.drop = id.endswith("south-a")
            leaf.faults.refuse = id.endswith("east-a")
        for name in DATA_CENTRES:
            await world.ask("/one/x", name)
            await world.ask("/all/x", name)
        return find_asked_regions(world)

    fields = {"allowedRegions": ["south", "east"], "maxAttempts": 3}
    regions = in_three_regions(
        scenario, make_single_route(**fields), make_sharded_route(**fields)
    )
    assert regions == {"south", "east"}


def test_parts_are_gathered_only_in_the_regions_of_the_question(monkeypatch):
    asked = watch_questions(monkeypatch)

    async def scenario(world):
        replies = [await world.ask("/all/x", name) for name in DATA_CENTRES * 3]
        # Late parts are requested again, which must stay in the region as well.
        for shard in SHARDS[:2]:
            world.leafs[f"{shard}-south-a"].faults.delay = 0.5
        replies += [await world.ask("/all/x", name) for name in DATA_CENTRES * 3]
        return [reply.status for reply in replies], find_asked_regions(world)

    route = make_sharded_route(allowedRegions=["south"])
    statuses, regions = in_three_regions(scenario, route)
    assert statuses == [200] * 18
    assert regions == {"south"}
    assert set(asked) <= {"south-a"}


def test_request_without_a_leaf_in_its_regions_is_refused_at_once():
    async def scenario(world):
        for service in ("single", *SHARDS):
            world.store.remove(f"servers/{service}-south-a")
        await trio.sleep(5)
        start = trio.current_time()
        replies = [await world.ask(path, "north-a") for path in ("/one/x", "/all/x")]
        return replies, trio.current_time() - start, find_asked_regions(world)

    fields = {"allowedRegions": ["south"]}
    replies, elapsed, regions = in_three_regions(
        scenario, make_single_route(**fields), make_sharded_route(**fields)
    )
    assert [reply.status for reply in replies] == [503, 503]
    assert all(float(reply.header(b"retry-after")) > 0 for reply in replies)
    assert elapsed < 0.05
    assert regions == set()


def test_removed_region_gets_no_more_of_requests_in_progress():
    async def scenario(world):
        for id, leaf in world.leafs.items():
            leaf.faults.delay = 1.2 if id.endswith("north-a") else 0.0
            leaf.faults.drop = id.endswith("north-a")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, "/one/x", "north-a")
            await trio.sleep(0.05)
            started = find_asked_regions(world)
            world.configure(
                make_single_route(allowedRegions=["north"], targetLatencyMs=5000)
            )
        return started, find_asked_regions(world)

    route = make_single_route(allowedRegions=["north", "east"], targetLatencyMs=5000)
    started, regions = in_three_regions(scenario, route, instances=("north-a",))
    assert started == {"north"}
    assert regions == {"north"}


def test_empty_list_allows_all_regions_and_an_unknown_region_none():
    async def scenario(world):
        served = await world.ask("/one/x", "north-a")
        refused = await world.ask("/all/x", "north-a")
        world.configure(
            make_single_route(allowedRegions=[]),
            make_sharded_route(allowedRegions=["west"]),
        )
        await trio.sleep(MAX_DELAY)
        again = await world.ask("/all/x", "north-a")
        lines = world.log.getvalue().splitlines()
        told = [line for line in lines if "route_region_unknown" in line]
        return served.status, refused.status, again.status, len(told)

    routes = (
        make_single_route(allowedRegions=[]),
        make_sharded_route(allowedRegions=["west"]),
    )
    results = in_three_regions(scenario, *routes, instances=("north-a",))
    assert results == (200, 503, 503, 1)


def test_split_keeps_its_shares_when_a_part_has_no_leaf_in_the_regions():
    async def scenario(world):
        world.store.remove("servers/other-south-a")
        await trio.sleep(5)
        statuses = [(await world.ask("/one/x", "north-a")).status for _ in range(40)]
        return statuses.count(200), statuses.count(503), find_asked_regions(world)

    parts = [{"backend": "single", "weight": 3}, {"backend": "other", "weight": 1}]
    route = make_route("s", "/one/", trafficSplit=parts, allowedRegions=["south"])
    served, refused, regions = in_three_regions(scenario, route, instances=("north-a",))
    # Smooth round robin from a random start gives 30 to 10, give or take one.
    assert abs(served - 30) <= 1
    assert served + refused == 40
    assert regions == {"south"}
