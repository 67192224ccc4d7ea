"""Routes whose requests may be served in some regions only."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import REGIONS, make_route, open_platform
from walkcart.wire.delegations import DelegatedQuestion

DATA_CENTRES = ("north-a", "south-a", "east-a")
SHARDS = [f"shard-{number}" for number in range(4)]
#: Seconds within which a change of the configuration is in force.
IN_FORCE = 1.0


def in_three_regions(action, *routes, instances=DATA_CENTRES):
    """Run `action(world)` with leafs of each service and an instance in each region."""

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
            return await action(world)

    return run_mocked(run)


def single(**fields):
    return make_route("single", "/one/", backend="single", **fields)


def sharded(**fields):
    details = {"topK": 8, "minCoverage": 0.5, **fields}
    return make_route("all", "/all/", fanoutServices=SHARDS, **details)


def regions_asked(world):
    """Return the regions of the leafs that any request arrived at."""
    return {
        REGIONS[world.entries[id]["zone"]]
        for id, leaf in world.leafs.items()
        if leaf.arrived
    }


def watch_questions(monkeypatch):
    """Return a list that each instance which is sent a question is added to."""
    asked = []
    send = PeerLinks.send

    def note(links, name, message):
        if isinstance(message, DelegatedQuestion):
            asked.append(name)
        return send(links, name, message)

    monkeypatch.setattr(PeerLinks, "send", note)
    return asked


def test_a_request_of_one_leaf_stays_in_its_regions():
    async def act(world):
        statuses = [
            (await world.ask("/one/x", name)).status
            for name in DATA_CENTRES
            for _ in range(5)
        ]
        return statuses, regions_asked(world)

    statuses, regions = in_three_regions(act, single(allowedRegions=["south"]))
    assert statuses == [200] * 15
    assert regions == {"south"}


def test_repeats_stay_in_the_regions_too():
    async def act(world):
        for id, leaf in world.leafs.items():
            leaf.faults.drop = id.endswith("south-a")
            leaf.faults.refuse = id.endswith("east-a")
        for name in DATA_CENTRES:
            await world.ask("/one/x", name)
            await world.ask("/all/x", name)
        return regions_asked(world)

    homes = {"allowedRegions": ["south", "east"], "maxAttempts": 3}
    regions = in_three_regions(act, single(**homes), sharded(**homes))
    assert regions == {"south", "east"}


def test_parts_of_a_question_are_gathered_in_its_regions_only(monkeypatch):
    asked = watch_questions(monkeypatch)

    async def act(world):
        replies = [await world.ask("/all/x", name) for name in DATA_CENTRES * 3]
        # Late ones are asked for again, which must stay there as well.
        for shard in SHARDS[:2]:
            world.leafs[f"{shard}-south-a"].faults.delay = 0.5
        replies += [await world.ask("/all/x", name) for name in DATA_CENTRES * 3]
        return [reply.status for reply in replies], regions_asked(world)

    route = sharded(allowedRegions=["south"])
    statuses, regions = in_three_regions(act, route)
    assert statuses == [200] * 18
    assert regions == {"south"}
    assert set(asked) <= {"south-a"}


def test_without_a_leaf_in_its_regions_a_request_is_refused_at_once():
    async def act(world):
        for service in ("single", *SHARDS):
            world.store.remove(f"servers/{service}-south-a")
        await trio.sleep(5)
        start = trio.current_time()
        replies = [await world.ask(path, "north-a") for path in ("/one/x", "/all/x")]
        return replies, trio.current_time() - start, regions_asked(world)

    homes = {"allowedRegions": ["south"]}
    replies, elapsed, regions = in_three_regions(act, single(**homes), sharded(**homes))
    assert [reply.status for reply in replies] == [503, 503]
    assert all(float(reply.header(b"retry-after")) > 0 for reply in replies)
    assert elapsed < 0.05
    assert regions == set()


def test_a_region_that_is_taken_away_gets_nothing_more_of_requests_under_way():
    async def act(world):
        for id, leaf in world.leafs.items():
            leaf.faults.delay = 1.2 if id.endswith("north-a") else 0.0
            leaf.faults.drop = id.endswith("north-a")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, "/one/x", "north-a")
            await trio.sleep(0.05)
            begun = regions_asked(world)
            world.configure(single(allowedRegions=["north"], targetLatencyMs=5000))
        return begun, regions_asked(world)

    route = single(allowedRegions=["north", "east"], targetLatencyMs=5000)
    begun, regions = in_three_regions(act, route, instances=("north-a",))
    assert begun == {"north"}
    assert regions == {"north"}


def test_an_empty_list_means_everywhere_and_an_unknown_region_serves_nothing():
    async def act(world):
        served = await world.ask("/one/x", "north-a")
        refused = await world.ask("/all/x", "north-a")
        world.configure(single(allowedRegions=[]), sharded(allowedRegions=["west"]))
        await trio.sleep(IN_FORCE)
        again = await world.ask("/all/x", "north-a")
        lines = world.log.getvalue().splitlines()
        told = [line for line in lines if "route_region_unknown" in line]
        return served.status, refused.status, again.status, len(told)

    routes = (single(allowedRegions=[]), sharded(allowedRegions=["west"]))
    found = in_three_regions(act, *routes, instances=("north-a",))
    assert found == (200, 503, 503, 1)


def test_the_shares_of_a_split_stay_although_a_part_has_no_leaf_in_the_regions():
    async def act(world):
        world.store.remove("servers/other-south-a")
        await trio.sleep(5)
        statuses = [(await world.ask("/one/x", "north-a")).status for _ in range(40)]
        return statuses.count(200), statuses.count(503), regions_asked(world)

    parts = [{"backend": "single", "weight": 3}, {"backend": "other", "weight": 1}]
    route = make_route("s", "/one/", trafficSplit=parts, allowedRegions=["south"])
    served, refused, regions = in_three_regions(act, route, instances=("north-a",))
    # Smooth round robin from a random start gives 30 to 10, give or take one.
    assert abs(served - 30) <= 1
    assert served + refused == 40
    assert regions == {"south"}
