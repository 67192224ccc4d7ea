"""No request reaches a leaf that it may not go to, whatever operators and leaves do.

Each run uses all ways of sending: first attempts, repeats, hedges, late parts, groups
at other instances, splits and single leaves, during configuration changes, evacuations,
cuts and restarts.
"""

from pathlib import Path
from random import Random

import pytest
import trio

import walkcart
from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.leafstandin import PlatformLeafStandin
from walkcart.platform.tests.platformworld import REGIONS, make_route, open_platform
from walkcart.wire.http import ExchangeFailed

DATA_CENTRES = ("north-a", "south-a", "east-a")
SHARDS = [f"shard-{number}" for number in range(3)]
#: Maximum time until a change by operators is in force everywhere, in seconds.
IN_FORCE_TIME = 1.0
#: Duration of a run, in seconds.
SECONDS = 12.0


class History:
    """The operators' changes by time, and the arrivals that violate them."""

    def __init__(self):
        self.regions = {}
        self.evacuated = {name: [] for name in DATA_CENTRES}
        self.wrong = []
        self.arrived = 0

    def record_regions(self, route, names):
        self.regions.setdefault(route, []).append((trio.current_time(), names))

    def record_evacuation(self, data_centre, begins):
        self.evacuated[data_centre].append((trio.current_time(), begins))

    def allows(self, route, region):
        """Return whether any recent configuration allowed the region for the route."""
        now = trio.current_time()
        held = self.regions[route]
        ends = [at for at, _ in held[1:]] + [now]
        recent = [
            names
            for (_, names), end in zip(held, ends, strict=True)
            if end >= now - IN_FORCE_TIME
        ]
        return any(not names or region in names for names in recent)

    def is_evacuated(self, data_centre):
        """Return whether an evacuation is older than `IN_FORCE_TIME`."""
        held = self.evacuated[data_centre]
        return (
            bool(held)
            and held[-1][1]
            and (trio.current_time() - held[-1][0] > IN_FORCE_TIME)
        )

    def record_arrival(self, route, data_centre):
        self.arrived += 1
        if not self.allows(route, REGIONS[data_centre]):
            self.wrong.append((route, data_centre, "region"))
        if self.is_evacuated(data_centre):
            self.wrong.append((route, data_centre, "evacuated"))


class RecordingLeaf(PlatformLeafStandin):
    """A leaf that records arrivals in a history."""

    async def handle(self, request):
        route = request.target.split("/")[1]
        self.history.record_arrival(route, self.id[-7:].lstrip("-"))
        return await PlatformLeafStandin.handle(self, request)


ROUTES = {
    "all": {"fanoutServices": SHARDS, "topK": 4, "minCoverage": 0.6},
    "one": {"backend": "single", "maxAttempts": 3},
    "once": {"backend": "single", "routeType": "non_idempotent"},
    "split": {
        "trafficSplit": [
            {"backend": "single", "weight": 2},
            {"backend": "shard-0", "weight": 1},
        ]
    },
}


def configure(world, history, random):
    routes = []
    for name, fields in ROUTES.items():
        count = random.choice([0, 0, 1, 2])
        names = random.sample(["north", "south", "east"], count)
        history.record_regions(name, names)
        routes.append(make_route(name, f"/{name}/", allowedRegions=names, **fields))
    world.configure(*routes)


async def inject_faults(world, history, random):
    while True:
        await trio.sleep(random.uniform(0.3, 1.2))
        leaf = random.choice(list(world.leafs.values()))
        match random.choice(["configure", "evacuate", "leaf", "restart", "cut"]):
            case "configure":
                configure(world, history, random)
            case "evacuate":
                name = random.choice(DATA_CENTRES)
                key = f"op/evacuate/{name}"
                if begins := key not in world.store.rows:
                    world.store.put(key, {})
                else:
                    world.store.remove(key)
                history.record_evacuation(name, begins)
            case "leaf":
                leaf.faults.delay = random.choice([0.0, 0.15, 0.6])
                leaf.faults.drop = random.random() < 0.3
                leaf.faults.refuse = random.random() < 0.3
            case "restart":
                name = random.choice(DATA_CENTRES)
                world.tenants[name].scope.cancel()
                await trio.sleep(0.2)
                await world.start_instance(name, name)
            case _:
                one, other = random.sample(DATA_CENTRES, 2)
                world.network.cut(one, other)
                await trio.sleep(random.uniform(0.1, 0.8))
                world.network.heal(one, other)


async def send(world, random):
    name = random.choice(DATA_CENTRES)
    try:
        with trio.move_on_after(3):
            await world.ask(f"/{random.choice(list(ROUTES))}/x", name)
    except (OSError, ExchangeFailed):
        # The instance was just stopped, which callers notice.
        return


@pytest.mark.parametrize("seed", range(8))
def test_no_request_reaches_a_forbidden_leaf(seed):
    async def run():
        random, history = Random(seed), History()
        async with open_platform() as world:
            for service in (*SHARDS, "single"):
                for data_centre in DATA_CENTRES:
                    leaf = RecordingLeaf(f"{service}-{data_centre}", records=b"r" * 16)
                    leaf.history = history
                    await world.run_leaf(leaf, service, data_centre)
            configure(world, history, random)
            for name in DATA_CENTRES:
                await world.start_instance(name, name)
            for name in DATA_CENTRES:
                await world.wait_ready(name)
            await trio.sleep(3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(inject_faults, world, history, random)
                for _ in range(int(SECONDS / 0.05)):
                    nursery.start_soon(send, world, random)
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
        return history

    history = run_mocked(run)
    assert history.arrived > 100
    assert history.wrong == []


def find_uses(word):
    root = Path(walkcart.__file__).parent
    return {
        path.relative_to(root).as_posix()
        for path in root.rglob("*.py")
        if "tests" not in path.parts and word in path.read_text(encoding="utf-8")
    }


def test_requests_are_sent_only_by_code_that_checks_the_receiver():
    # Links call the admission check before the first byte; only these files use links.
    assert "leaves/link.py" in find_uses("_tools.admit(")
    assert find_uses("link.submit(") <= {
        "leaves/pool.py",
        "leaves/gateway.py",
        "leaves/forwarding.py",
    }
    # The only message with a request's body is built where the receiver is checked.
    assert find_uses("encode_question(") == {
        "fanout/delegationcodec.py",
        "fanout/delegationclient.py",
    }
    assert "may_carry(" in (
        Path(walkcart.__file__).parent / "fanout/delegationclient.py"
    ).read_text(encoding="utf-8")
