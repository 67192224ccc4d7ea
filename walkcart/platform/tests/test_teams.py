"""Teams end to end: whose requests run, and what leaves and instances receive."""

import msgspec
import pytest
import trio

from walkcart.kernel.exposition import render_metrics
from walkcart.kernel.metrics import Metrics
from walkcart.platform.tests.platformworld import REGIONS, make_key_headers, make_team
from walkcart.platform.tests.teamworld import (
    DATA_CENTRES,
    FITTERS,
    FORGED_TEAM_HEADERS,
    IN_FORCE_TIME,
    PATHS,
    RIDERS,
    ROUTES,
    TEAMS,
    inject_leaf_faults,
    list_arrived_requests,
    list_team_headers,
    record_messages,
    with_teams,
)
from walkcart.wire.delegations import DelegatedQuestion
from walkcart.wire.fingerprint import fingerprint_request
from walkcart.wire.http import HttpRequest
from walkcart.wire.relays import RelayChanges, RelayCopy


def test_every_forwarded_request_names_its_team_and_contains_no_key(monkeypatch):
    sent = record_messages(monkeypatch)

    async def act(world):
        for troubled in (False, True):
            if troubled:
                inject_leaf_faults(world)
            for path in PATHS:
                for name in DATA_CENTRES * 3:
                    await world.ask(
                        path,
                        name,
                        headers=FORGED_TEAM_HEADERS + make_key_headers(RIDERS),
                    )
        return list_arrived_requests(world)

    arrived = with_teams(act)
    assert len(arrived) > 150
    assert list_team_headers(arrived) == {((b"riders",), False)}
    questions = [item for item in sent if isinstance(item, DelegatedQuestion)]
    assert questions
    assert list_team_headers(questions) == {((b"riders",), False)}


def test_no_output_of_an_instance_contains_a_key(monkeypatch):
    sent = record_messages(monkeypatch)

    async def act(world):
        inject_leaf_faults(world)
        for key in (RIDERS, FITTERS, "unknown-secret-key"):
            for path in (*PATHS, "/open/x", "/none/x"):
                for name in DATA_CENTRES:
                    await world.ask(path, name, headers=make_key_headers(key))
        await world.ask("/one/x", "north-a", headers=make_key_headers("secret-key x"))
        world.store.faults.refusal = 503
        await trio.sleep(5)
        await world.ask(
            "/one/x", "north-a", headers=make_key_headers("later-secret-key")
        )
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
    # Instances that the store refuses get the configuration itself unchanged.
    others = [item for item in sent if not isinstance(item, RelayChanges | RelayCopy)]
    assert others
    assert not any(b"secret-key" in msgspec.msgpack.encode(item) for item in others)


def test_without_teams_requests_are_forwarded_unchanged(monkeypatch):
    sent = record_messages(monkeypatch)
    headers = ((b"x-tenant", b"clerks"), *make_key_headers(RIDERS), (b"accept", b"*/*"))

    async def act(world):
        for path in (*PATHS, "/open/x"):
            for name in DATA_CENTRES:
                reply = await world.ask(path, name, headers=headers)
                assert reply.status == 200
        return list_arrived_requests(world)

    arrived = with_teams(act, teams=None)
    questions = [item for item in sent if isinstance(item, DelegatedQuestion)]
    assert len(arrived) >= 30
    assert questions
    own = (b"host", b"x-request-id", b"x-deadline-ms", b"x-expect-instance")
    for item in (*arrived, *questions):
        kept = tuple(pair for pair in item.headers if pair[0] not in own)
        assert kept == headers


def test_fingerprint_without_teams_is_stable():
    headers = ((b"host", b"shop"), (b"authorization", b"Bearer k"), (b"x-tenant", b"t"))
    request = HttpRequest("POST", "/one/x", headers, b"body")
    assert fingerprint_request(request).hex() == "3f50285b6db32ec9197b135c"


def test_request_without_a_known_key_is_refused_at_once_and_not_sent():
    async def act(world):
        start = trio.current_time()
        refused = [
            await world.ask(path, name, headers=headers)
            for path in PATHS
            for name in DATA_CENTRES
            for headers in (
                (),
                make_key_headers("unknown"),
                make_key_headers(RIDERS) * 2,
                make_key_headers(RIDERS) + make_key_headers(FITTERS),
                make_key_headers("k" * 4000),
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
        return refused, elapsed, missing.status, list_arrived_requests(world), counts

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
        (FORGED_TEAM_HEADERS, ()),
        (FORGED_TEAM_HEADERS + make_key_headers("unknown"), ()),
        (FORGED_TEAM_HEADERS + make_key_headers(FITTERS), (b"fitters",)),
    ],
)
def test_public_route_serves_all_and_names_the_team_of_a_known_key(headers, told):
    async def act(world):
        replies = [
            await world.ask("/open/x", name, headers=headers) for name in DATA_CENTRES
        ]
        return {reply.status for reply in replies}, list_arrived_requests(world)

    statuses, arrived = with_teams(act)
    assert statuses == {200}
    assert list_team_headers(arrived) == {(told, False)}


def test_empty_list_of_teams_admits_requests_on_public_routes_only():
    async def act(world):
        one = await world.ask("/one/x", "north-a", headers=make_key_headers(RIDERS))
        public = await world.ask("/open/x", "north-a", headers=make_key_headers(RIDERS))
        return one.status, public.status

    assert with_teams(act, teams=[]) == (401, 200)


def test_regions_of_a_team_apply_wherever_its_requests_are_gathered():
    teams = [make_team("riders", RIDERS, allowedRegions=["south"]), TEAMS[1]]

    async def act(world):
        inject_leaf_faults(world)
        statuses = set()
        for path in PATHS:
            for name in DATA_CENTRES * 2:
                reply = await world.ask(path, name, headers=make_key_headers(RIDERS))
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


def test_unknown_region_of_a_team_is_logged_once():
    lost = [make_team("riders", RIDERS, allowedRegions=["west"]), TEAMS[1]]

    async def act(world):
        refused = await world.ask("/one/x", "north-a", headers=make_key_headers(RIDERS))
        served = await world.ask("/one/x", "north-a", headers=make_key_headers(FITTERS))
        world.configure(*ROUTES, teams=lost)
        await trio.sleep(IN_FORCE_TIME)
        lines = [
            msgspec.json.decode(line) for line in world.log.getvalue().splitlines()
        ]
        told = [line for line in lines if line["event"] == "team_region_unknown"]
        return refused.status, served.status, told

    refused, served, told = with_teams(act, teams=lost)
    assert (refused, served) == (503, 200)
    assert sorted(line["instance"] for line in told) == sorted(DATA_CENTRES)
    assert {(line["region"], line["team"]) for line in told} == {("west", "riders")}
