"""All instances together send a cold leaf no more requests than it can serve."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.leafprotocol import PlatformLeafProtocol
from walkcart.platform.tests.leafstandin import PlatformLeafStandin
from walkcart.platform.tests.platformworld import make_route, open_platform

DATA_CENTRES = ("north-a", "south-a", "east-a")
INSTANCES = [f"{dc}{n}" for dc in DATA_CENTRES for n in ("", "-2", "-3")]
SHARDS = [f"shard-{number}" for number in range(3)]
#: Requests per second that a cold leaf can serve, and the maximum number that it may
#: get in any second: the rate times the settings' tolerance, plus their slack.
RATE = 4
MAX_PER_SECOND = RATE * 1.5 + 5
#: Seconds for which a leaf is cold after its start.
COLD_SECONDS = 3


class TimedLeaf(PlatformLeafStandin):
    """A leaf that records when requests arrive."""

    async def handle(self, request):
        self.times = getattr(self, "times", [])
        self.times.append(trio.current_time())
        return await PlatformLeafStandin.handle(self, request)


def find_peak_rate(leaf, since=0.0):
    """Return the maximum number of requests in any second after `since` at a leaf."""
    times = [at for at in getattr(leaf, "times", []) if at >= since]
    return max((sum(a <= b <= a + 1.0 for b in times) for a in times), default=0)


def with_many_instances(scenario, data_centres=DATA_CENTRES):
    """Run `scenario(world)` with nine instances in three data centres."""

    async def run():
        async with open_platform() as world:
            for service in (*SHARDS, "single"):
                for data_centre in data_centres:
                    id = f"{service}-{data_centre}"
                    leaf = TimedLeaf(id, records=id.encode()[-16:].zfill(16))
                    await world.run_leaf(leaf, service, data_centre)
            world.configure(
                make_route("single", "/one/", backend="single"),
                make_route(
                    "all", "/all/", fanoutServices=SHARDS, topK=8, minCoverage=0.5
                ),
                warmupS=COLD_SECONDS,
                warmupPerS=RATE,
            )
            for name in INSTANCES:
                await world.start_instance(name, name[: name.index("-") + 2])
            for name in INSTANCES:
                await world.wait_ready(name)
            await trio.sleep(12)
            return await scenario(world)

    return run_mocked(run)


async def send_load(world, seconds, rate=90):
    """Ask sharded and single-leaf questions at all instances.

    Args:
        world: the platform under test.
        seconds: duration of the load.
        rate: questions a second over all instances.

    Returns:
        The statuses of the replies.
    """
    statuses = []

    async def ask(number):
        path = "/one/x" if number % 2 else "/all/x"
        name = INSTANCES[number % len(INSTANCES)]
        statuses.append((await world.ask(path, name)).status)

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * rate)):
            nursery.start_soon(ask, number)
            await trio.sleep(1 / rate)
    return statuses


def mark_cold(world, id, left_ms):
    """Store in the entry of a leaf that it stays cold for `left_ms` milliseconds."""
    entry = world.entries[id]
    entry["seq"] += 1
    entry["warmupLeftMs"] = left_ms
    world.store.put(f"servers/{id}", entry)


def test_leaf_that_becomes_cold_again_gets_no_more_than_it_can_serve():
    async def scenario(world):
        await send_load(world, 2)
        ids = [f"{service}-south-a" for service in (*SHARDS, "single")]
        warm = max(find_peak_rate(world.leafs[id]) for id in ids)
        for id in ids:
            mark_cold(world, id, COLD_SECONDS * 1000)
        await trio.sleep(1.0)
        since = trio.current_time()
        statuses = await send_load(world, COLD_SECONDS - 1.2)
        peak = max(find_peak_rate(world.leafs[id], since) for id in ids)
        return warm, peak, statuses

    warm, peak, statuses = with_many_instances(scenario)
    assert warm > MAX_PER_SECOND
    assert peak <= MAX_PER_SECOND
    # The other leaves of each service serve the rest.
    assert set(statuses) == {200}


def test_leaves_are_cold_when_the_evacuation_of_their_data_centre_ends():
    async def scenario(world):
        world.store.put("op/evacuate/south-a", {})
        await trio.sleep(2)
        world.store.remove("op/evacuate/south-a")
        since = trio.current_time()
        await send_load(world, COLD_SECONDS - 0.2)
        ids = [f"{service}-south-a" for service in (*SHARDS, "single")]
        cold = max(find_peak_rate(world.leafs[id], since) for id in ids)
        await trio.sleep(2 * COLD_SECONDS)
        await send_load(world, 2)
        return cold, max(find_peak_rate(world.leafs[id]) for id in ids)

    cold, warm = with_many_instances(scenario)
    assert cold <= MAX_PER_SECOND
    assert warm > MAX_PER_SECOND


def test_excess_is_refused_at_once_when_all_leaves_of_a_service_are_cold():
    async def scenario(world):
        for service in ("single", *SHARDS):
            mark_cold(world, f"{service}-north-a", COLD_SECONDS * 1000)
        await trio.sleep(1.0)
        refusals = []

        async def ask(number):
            start = trio.current_time()
            reply = await world.ask("/one/x", INSTANCES[number % len(INSTANCES)])
            if reply.status != 200:
                wait = float(reply.header(b"retry-after"))
                refusals.append((reply.status, wait, trio.current_time() - start))

        since = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(ask, number)
                await trio.sleep(0.01)
        return refusals, find_peak_rate(world.leafs["single-north-a"], since)

    refusals, peak = with_many_instances(scenario, data_centres=("north-a",))
    assert 0 < peak <= MAX_PER_SECOND
    assert {status for status, _, _ in refusals} == {503}
    assert all(0 < wait <= COLD_SECONDS for _, wait, _ in refusals)
    assert max(elapsed for _, _, elapsed in refusals) < 0.05


def test_reported_load_and_cold_time_are_read():
    read = PlatformLeafProtocol().read_status
    cold = read({b"x-server-load": b"3,1,2,400", b"x-warmup-ms": b"1500"})
    assert (cold.load, cold.pace) == (4, 4.0)
    assert cold.cold_time.total_seconds() == 1.5
    warm = read({b"x-server-load": b"3,0,2"})
    assert (warm.load, warm.pace, warm.cold_time) == (3, None, None)
    for bad in (b"", b"x", b"3", b"3,,,", b"-1,2,3,4", b"1,2,3,zero"):
        assert read({b"x-server-load": bad}).pace is None
