"""Teams on the whole path: whose requests run, and what leafs and instances get."""

import msgspec
import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.exposition import render_metrics
from walkcart.kernel.metrics import Metrics
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.platformworld import (
    REGIONS,
    make_route,
    make_team,
    open_platform,
    show_key,
)
from walkcart.wire.delegations import DelegatedQuestion
from walkcart.wire.fingerprint import fingerprint_request
from walkcart.wire.http import HttpRequest
from walkcart.wire.relays import RelayChanges, RelayCopy

DATA_CENTRES = ("north-a", "south-a", "east-a")
SHARDS = [f"shard-{number}" for number in range(6)]
#: Shards without a leaf in the first region: others gather them for it.
FAR = [f"far-{number}" for number in range(8)]
#: Seconds within which a change of the configuration is in force.
IN_FORCE = 1.0
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
CLAIMS = (
    (b"X-Tenant", b"clerks"),
    (b"x-tenant", b"clerks"),
    (b"connection", b"X-Tenant"),
)


def with_teams(act, teams=TEAMS, instances=DATA_CENTRES):
    """Run `act(world)` with leafs of each service and an instance in each region."""

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
            return await act(world)

    return run_mocked(run)


def list_arrived(world):
    return [request for leaf in world.leafs.values() for request in leaf.arrived]


def list_named(requests):
    """Return what each request says of its team, and whether it holds a key."""
    return {
        (
            tuple(value for name, value in request.headers if name == b"x-tenant"),
            any(name == b"authorization" for name, _ in request.headers),
        )
        for request in requests
    }


def trouble_leafs(world):
    """Have leafs fail in the ways that make for repeats, hedges and late parts."""
    for id, leaf in world.leafs.items():
        leaf.faults.drop = id.startswith("shard-0")
        leaf.faults.refuse = id.startswith("shard-1") and id.endswith("south-a")
        leaf.faults.delay = 0.4 if id.startswith(("shard-2", "single-n")) else 0.0
        leaf.faults.status = 500 if id.startswith("shard-3-e") else 0


def watch_messages(monkeypatch):
    """Return a list of all messages that instances send each other."""
    sent = []
    send = PeerLinks.send

    def note(links, name, message):
        sent.append(message)
        return send(links, name, message)

    monkeypatch.setattr(PeerLinks, "send", note)
    return sent


def test_every_way_of_a_request_names_its_team_and_holds_no_key(monkeypatch):
    sent = watch_messages(monkeypatch)

    async def act(world):
        for troubled in (False, True):
            if troubled:
                trouble_leafs(world)
            for path in PATHS:
                for name in DATA_CENTRES * 3:
                    await world.ask(path, name, headers=CLAIMS + show_key(RIDERS))
        return list_arrived(world)

    arrived = with_teams(act)
    assert len(arrived) > 150
    assert list_named(arrived) == {((b"riders",), False)}
    questions = [item for item in sent if isinstance(item, DelegatedQuestion)]
    assert questions
    assert list_named(questions) == {((b"riders",), False)}


def test_no_key_is_in_anything_that_an_instance_puts_out(monkeypatch):
    sent = watch_messages(monkeypatch)

    async def act(world):
        trouble_leafs(world)
        for key in (RIDERS, FITTERS, "unknown-secret-key"):
            for path in (*PATHS, "/open/x", "/none/x"):
                for name in DATA_CENTRES:
                    await world.ask(path, name, headers=show_key(key))
        await world.ask("/one/x", "north-a", headers=show_key("secret-key x"))
        world.store.faults.refusal = 503
        await trio.sleep(5)
        await world.ask("/one/x", "north-a", headers=show_key("later-secret-key"))
        world.store.faults.refusal = 0
        content = msgspec.json.decode(world.store.rows["op/config"].value)
        content["version"] += 1
        content["tenants"][0]["burst"] = RIDERS
        world.store.put("op/config", content)
        await trio.sleep(3)
        stored = [
            row.value for key, row in world.store.rows.items() if key != "op/config"
        ]
        pages = [
            render_metrics(running.tenant.kernel.find("metrics", Metrics))
            for running in world.tenants.values()
        ]
        tables = [
            repr(vars(running.tenant.kernel.find("keeper", object).table))
            for running in world.tenants.values()
        ]
        return world.log.getvalue(), stored, pages, tables

    log, stored, pages, tables = with_teams(act)
    assert '"routes_bad"' in log
    assert '"unauthenticated"' in log
    assert '"configuration_old"' in log
    assert "secret-key" not in log
    assert stored
    assert not any(b"secret-key" in value for value in stored)
    assert not any("secret-key" in str(page) for page in pages)
    assert not any("secret-key" in table for table in tables)
    # The configuration itself goes to instances that the store turns away as it is.
    others = [item for item in sent if not isinstance(item, RelayChanges | RelayCopy)]
    assert others
    assert not any(b"secret-key" in msgspec.msgpack.encode(item) for item in others)


def test_without_teams_requests_pass_as_they_came(monkeypatch):
    sent = watch_messages(monkeypatch)
    headers = ((b"x-tenant", b"clerks"), *show_key(RIDERS), (b"accept", b"*/*"))

    async def act(world):
        for path in (*PATHS, "/open/x"):
            for name in DATA_CENTRES:
                reply = await world.ask(path, name, headers=headers)
                assert reply.status == 200
        return list_arrived(world)

    arrived = with_teams(act, teams=None)
    questions = [item for item in sent if isinstance(item, DelegatedQuestion)]
    assert len(arrived) >= 30
    assert questions
    own = (b"host", b"x-request-id", b"x-deadline-ms", b"x-expect-instance")
    for item in (*arrived, *questions):
        kept = tuple(pair for pair in item.headers if pair[0] not in own)
        assert kept == headers


def test_without_teams_a_fingerprint_is_what_it_always_was():
    headers = ((b"host", b"shop"), (b"authorization", b"Bearer k"), (b"x-tenant", b"t"))
    request = HttpRequest("POST", "/one/x", headers, b"body")
    assert fingerprint_request(request).hex() == "3f50285b6db32ec9197b135c"


def test_what_has_no_known_key_is_refused_at_once_and_nothing_is_sent():
    async def act(world):
        start = trio.current_time()
        refused = [
            await world.ask(path, name, headers=headers)
            for path in PATHS
            for name in DATA_CENTRES
            for headers in (
                (),
                show_key("unknown"),
                show_key(RIDERS) * 2,
                show_key(RIDERS) + show_key(FITTERS),
                show_key("k" * 4000),
                ((b"authorization", b"Basic abc"),),
                ((b"x-tenant", b"riders"),),
            )
        ]
        elapsed = trio.current_time() - start
        missing = await world.ask("/none/x", "north-a")
        counts = [
            running.tenant.kernel.find("metrics", Metrics).read("query.unauthenticated")
            for running in world.tenants.values()
        ]
        return refused, elapsed, missing.status, list_arrived(world), counts

    refused, elapsed, missing, arrived, counts = with_teams(act)
    assert {reply.status for reply in refused} == {401}
    assert {reply.header(b"www-authenticate") for reply in refused} == {"Bearer"}
    assert elapsed < 0.02 * len(refused)
    assert missing == 404
    assert arrived == []
    assert counts == [28, 28, 28]


@pytest.mark.parametrize(
    ("headers", "told"),
    [
        (CLAIMS, ()),
        (CLAIMS + show_key("unknown"), ()),
        (CLAIMS + show_key(FITTERS), (b"fitters",)),
    ],
)
def test_a_public_route_takes_all_and_tells_the_team_of_a_known_key(headers, told):
    async def act(world):
        replies = [
            await world.ask("/open/x", name, headers=headers) for name in DATA_CENTRES
        ]
        return {reply.status for reply in replies}, list_arrived(world)

    statuses, arrived = with_teams(act)
    assert statuses == {200}
    assert list_named(arrived) == {(told, False)}


def test_an_empty_list_of_teams_lets_nobody_in_but_on_public_routes():
    async def act(world):
        one = await world.ask("/one/x", "north-a", headers=show_key(RIDERS))
        public = await world.ask("/open/x", "north-a", headers=show_key(RIDERS))
        return one.status, public.status

    assert with_teams(act, teams=[]) == (401, 200)


def test_regions_of_a_team_bind_wherever_its_requests_are_gathered():
    teams = [make_team("riders", RIDERS, allowedRegions=["south"]), TEAMS[1]]

    async def act(world):
        trouble_leafs(world)
        statuses = set()
        for path in PATHS:
            for name in DATA_CENTRES * 2:
                reply = await world.ask(path, name, headers=show_key(RIDERS))
                statuses.add(reply.status)
        regions = {
            REGIONS[world.entries[id]["zone"]]
            for id, leaf in world.leafs.items()
            if leaf.arrived
        }
        return regions, statuses

    regions, statuses = with_teams(act, teams=teams)
    assert regions == {"south"}
    assert 200 in statuses


async def ask_all(world, key, path="/one/x"):
    """Return the statuses that a key gets at each instance."""
    return [
        (await world.ask(path, name, headers=show_key(key))).status
        for name in DATA_CENTRES
    ]


def test_changes_of_keys_are_in_force_within_a_second_at_every_instance():
    steps = [
        ([make_team("riders", RIDERS), make_team("fitters", FITTERS, "new")], "new"),
        ([make_team("riders", RIDERS), make_team("fitters", FITTERS)], "new"),
        ([make_team("riders"), make_team("fitters", FITTERS)], RIDERS),
        ([make_team("fitters", FITTERS)], RIDERS),
        ([make_team("fitters", FITTERS, RIDERS)], RIDERS),
        (TEAMS, RIDERS),
        (None, "anything"),
        (TEAMS, "anything"),
    ]
    allowed = [True, False, False, False, True, True, True, False]

    async def act(world):
        seen = []
        for teams, key in steps:
            world.configure(*ROUTES, teams=teams)
            await trio.sleep(IN_FORCE)
            seen.append(await ask_all(world, key))
        return seen

    seen = with_teams(act)
    assert seen == [[200 if may else 401] * 3 for may in allowed]


def test_a_moved_key_is_of_its_new_team():
    async def act(world):
        world.configure(*ROUTES, teams=[make_team("fitters", RIDERS, FITTERS)])
        await trio.sleep(IN_FORCE)
        assert await ask_all(world, RIDERS, "/all/x") == [200] * 3
        return list_arrived(world)

    assert list_named(with_teams(act)) == {((b"fitters",), False)}


@pytest.mark.parametrize(
    "teams",
    [
        [TEAMS[1]],
        [make_team("riders"), TEAMS[1]],
        [make_team("riders", "other"), make_team("fitters", RIDERS)],
    ],
)
@pytest.mark.parametrize("path", ["/one/x", "/all/x"])
def test_nothing_new_starts_for_a_request_whose_key_is_gone(teams, path):
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay, leaf.faults.drop = 1.5, True
        replies = []

        async def ask(name):
            headers = show_key(RIDERS)
            reply = await world.ask(path, name, deadline_ms=6000, headers=headers)
            replies.append((reply.status, trio.current_time()))

        async with trio.open_nursery() as nursery:
            for name in DATA_CENTRES:
                nursery.start_soon(ask, name)
            await trio.sleep(0.05)
            world.configure(*ROUTES, teams=teams)
            await trio.sleep(IN_FORCE)
            before = len(list_arrived(world))
            lost_at = trio.current_time() + 0.5
        return before, len(list_arrived(world)), lost_at, replies

    before, after, lost_at, replies = with_teams(act)
    assert before == after > 0
    assert all(status in (502, 503, 504) for status, _ in replies)
    # Once the last attempt has failed nothing is waited for.
    assert all(at < lost_at + 0.5 for _, at in replies)


def test_an_instance_that_is_behind_asks_a_new_key_to_come_back():
    async def act(world):
        world.store.faults.refusal = 503
        await trio.sleep(5)
        late = [
            await world.ask("/one/x", name, headers=show_key("new"))
            for name in DATA_CENTRES
        ]
        known = await ask_all(world, RIDERS)
        without = await world.ask("/one/x", "north-a")
        world.store.faults.refusal = 0
        world.configure(*ROUTES, teams=[*TEAMS, make_team("new", "new")])
        await trio.sleep(3)
        return late, known, without.status, await ask_all(world, "new")

    late, known, without, after = with_teams(act)
    assert {reply.status for reply in late} == {503}
    assert all(0 < float(reply.header(b"retry-after")) <= 0.1 for reply in late)
    assert known == [200] * 3
    assert without == 401
    assert after == [200] * 3


def test_before_any_configuration_is_known_nobody_is_told_that_a_key_is_wrong():
    async def act(world):
        world.store.faults.refusal = 503
        world.tenants["north-a"].scope.cancel()
        for name in ("south-a", "east-a"):
            world.network.cut("north-a", name)
        await trio.sleep(0.1)
        await world.start_instance("north-a", "north-a")
        early = [
            (await world.ask("/one/x", "north-a", headers=show_key(key))).status
            for key in (RIDERS, "unknown")
        ]
        world.store.faults.refusal = 0
        await world.wait_ready("north-a")
        later = [
            (await world.ask("/one/x", "north-a", headers=show_key(key))).status
            for key in (RIDERS, "unknown")
        ]
        return early, later

    assert with_teams(act) == ([503, 503], [200, 401])


def test_a_region_that_only_a_team_names_and_nothing_is_in_is_logged_once():
    lost = [make_team("riders", RIDERS, allowedRegions=["west"]), TEAMS[1]]

    async def act(world):
        refused = await world.ask("/one/x", "north-a", headers=show_key(RIDERS))
        served = await world.ask("/one/x", "north-a", headers=show_key(FITTERS))
        world.configure(*ROUTES, teams=lost)
        await trio.sleep(IN_FORCE)
        lines = [
            msgspec.json.decode(line) for line in world.log.getvalue().splitlines()
        ]
        told = [line for line in lines if line["event"] == "team_region_unknown"]
        return refused.status, served.status, told

    refused, served, told = with_teams(act, teams=lost)
    assert (refused, served) == (503, 200)
    assert sorted(line["instance"] for line in told) == sorted(DATA_CENTRES)
    assert {(line["region"], line["team"]) for line in told} == {("west", "riders")}
