"""Leaves and instances in three regions with teams, and what the leaves received."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import (
    make_key_headers,
    make_route,
    make_team,
    open_platform,
)

DATA_CENTRES = ("north-a", "south-a", "east-a")
SHARDS = [f"shard-{number}" for number in range(6)]
#: Shards without a leaf in the first region. Instances there delegate these shards to
#: instances of other regions.
FAR = [f"far-{number}" for number in range(8)]
#: Maximum time until a change of the configuration is in force everywhere, in seconds.
IN_FORCE_TIME = 1.0
RIDERS, FITTERS = "riders-secret-key", "fitters-secret-key"
TEAMS = [make_team("riders", RIDERS), make_team("fitters", FITTERS)]
ROUTES = [
    make_route("one", "/one/", backend="single", maxAttempts=3),
    make_route("once", "/once/", backend="single", routeType="non_idempotent"),
    make_route(
        "split",
        "/split/",
        trafficSplit=[
            {"backend": "single", "weight": 2},
            {"backend": "shard-0", "weight": 1},
        ],
    ),
    make_route("all", "/all/", fanoutServices=SHARDS + FAR, topK=8, minCoverage=0.5),
    make_route("open", "/open/", backend="single", public=True),
]
PATHS = ("/one/x", "/once/x", "/split/x", "/all/x")
FORGED_TEAM_HEADERS = (
    (b"X-Tenant", b"clerks"),
    (b"x-tenant", b"clerks"),
    (b"connection", b"X-Tenant"),
)


def with_teams(action, teams=TEAMS, instances=DATA_CENTRES):
    """Run `action(world)` with leaves of each service, an instance in each region."""

    async def run():
        async with open_platform() as world:
            for service in (*SHARDS, *FAR, "single"):
                for data_centre in DATA_CENTRES[service in FAR :]:
                    id = f"{service}-{data_centre}"
                    records = id.encode()[-16:].zfill(16)
                    await world.start_leaf(id, service, data_centre, records=records)
            world.configure(*ROUTES, teams=teams)
            for data_centre in instances:
                await world.start_instance(data_centre, data_centre)
            for data_centre in instances:
                await world.wait_ready(data_centre)
            await trio.sleep(10)
            return await action(world)

    return run_mocked(run)


def list_arrived_requests(world):
    return [request for leaf in world.leafs.values() for request in leaf.arrived]


def list_team_headers(requests):
    """Return the team headers of each request, and whether it contains a key."""
    return {
        (
            tuple(value for name, value in request.headers if name == b"x-tenant"),
            any(name == b"authorization" for name, _ in request.headers),
        )
        for request in requests
    }


def inject_leaf_faults(world):
    """Inject the leaf faults that cause repeats, hedges and late parts."""
    for id, leaf in world.leafs.items():
        leaf.faults.drop = id.startswith("shard-0")
        leaf.faults.refuse = id.startswith("shard-1") and id.endswith("south-a")
        leaf.faults.delay = 0.4 if id.startswith(("shard-2", "single-n")) else 0.0
        leaf.faults.status = 500 if id.startswith("shard-3-e") else 0


def record_messages(monkeypatch):
    """Return a list that collects all messages between instances."""
    sent = []
    send = PeerLinks.send

    def record(links, name, message):
        sent.append(message)
        return send(links, name, message)

    monkeypatch.setattr(PeerLinks, "send", record)
    return sent


async def ask_all(world, key, path="/one/x"):
    """Return the status that each instance replies to a request with a key."""
    return [
        (await world.ask(path, name, headers=make_key_headers(key))).status
        for name in DATA_CENTRES
    ]
