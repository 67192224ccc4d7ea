"""Reading of teams as operators store them and of keys as callers send them."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.intent.routes import RouteTable
from walkcart.intent.teams import RateLimit, digest_key
from walkcart.kernel.decoding import BadData
from walkcart.platform.apikeys import MAX_KEY_BYTES, read_credential
from walkcart.platform.callerprotocol import PlatformCallerProtocol
from walkcart.platform.documents import read_configuration
from walkcart.platform.tests.platformworld import (
    make_configuration,
    make_route,
    make_team,
)
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.wire.http import HttpRequest

VISIBLE = st.characters(min_codepoint=0x21, max_codepoint=0x7E)


def read(teams=..., **route):
    content = make_configuration(3, [make_route("r", "/r/", backend="s", **route)])
    if teams is not ...:
        content["tenants"] = teams
    return read_configuration(msgspec.json.encode(content))


def test_all_fields_of_a_team_are_read():
    (team,) = read(
        [
            make_team(
                "riders",
                "key-one",
                "key-two",
                priority=2,
                ratePerS=9,
                burst=4.5,
                allowedRegions=["north"],
            )
        ]
    ).teams
    assert team.name == "riders"
    assert team.keys == {digest_key(b"key-one"), digest_key(b"key-two")}
    assert (team.rank, team.limit) == (2, RateLimit(9.0, 4.5))
    assert team.regions == Regions(frozenset({"north"}))


def test_omitted_fields_of_a_team_set_no_limits():
    for fields in ({}, {"ratePerS": 0, "burst": 5, "allowedRegions": []}):
        (team,) = read([make_team("riders", **fields)]).teams
        assert (team.rank, team.limit, team.regions) == (None, None, ALL_REGIONS)
        assert team.keys == frozenset()


def test_missing_list_and_empty_list_differ():
    assert read().teams is None
    assert read(None).teams is None
    assert read([]).teams == ()


def test_route_is_public_only_if_stated():
    assert not read().routes[0].public
    assert not read(public=False).routes[0].public
    assert read(public=True).routes[0].public


@pytest.mark.parametrize(
    "fields",
    [
        {"name": ""},
        {"name": " riders"},
        {"name": "riders\n"},
        {"name": "rid\r\ners"},
        {"name": "rid\x00ers"},
        {"apiKeys": "secret-key"},
        {"apiKeys": [["secret-key"]]},
        {"apiKeys": {"secret-key": 1}},
        {"ratePerS": -1},
        {"burst": "secret-key"},
        {"priority": "secret-key"},
    ],
)
def test_error_for_an_invalid_team_does_not_contain_its_keys(fields):
    with pytest.raises(BadData) as caught:
        read([{**make_team("riders", "secret-key"), **fields}])
    assert "secret-key" not in str(caught.value)
    assert "secret-key" not in repr(caught.value)


@pytest.mark.parametrize("cut", range(1, 40, 3))
def test_error_for_a_truncated_configuration_does_not_contain_keys(cut):
    content = make_configuration(3, [make_route("r", "/r/", backend="s")])
    content["tenants"] = [make_team("riders", "secret-key")]
    with pytest.raises(BadData) as caught:
        read_configuration(msgspec.json.encode(content)[:-cut])
    assert "secret-key" not in repr(caught.value)


def test_each_of_thousands_of_keys_finds_its_team():
    teams = [
        make_team(f"team-{number}", *(f"key-{number}-{key}" for key in range(50)))
        for number in range(200)
    ]
    table = RouteTable(read(teams))
    for number in range(0, 200, 7):
        for key in range(0, 50, 11):
            found = table.teams.find_by_key(digest_key(b"key-%d-%d" % (number, key)))
            assert found.name == f"team-{number}"
    assert table.teams.find_by_key(digest_key(b"key-200-1")) is None


def test_repr_of_what_was_read_contains_no_key():
    document = read([make_team("riders", "secret-key")])
    assert "secret-key" not in repr(document)
    assert "secret-key" not in repr(RouteTable(document).teams.all())


@given(st.text(VISIBLE, min_size=1, max_size=80))
def test_any_visible_key_is_read_with_any_case_of_the_scheme(key):
    for scheme in ("Bearer", "bearer", "BEARER", "bEaReR"):
        value = f"{scheme} {key}".encode()
        assert read_credential(((b"authorization", value),)) == digest_key(key.encode())


@pytest.mark.parametrize(
    "values",
    [
        [],
        [b""],
        [b"Bearer"],
        [b"Bearer "],
        [b"secret"],
        [b"Basic secret"],
        [b"Bearer sec ret"],
        [b"Bearer sec\xe9ret"],
        [b"Bearer sec\tret"],
        [b"Bearer one", b"Bearer two"],
        [b"Bearer one", b"Bearer one"],
        [b"Bearer one", b""],
        [b"Bearer " + b"k" * (MAX_KEY_BYTES + 1)],
    ],
)
def test_anything_but_one_valid_key_counts_as_no_key(values):
    headers = tuple((b"authorization", value) for value in values)
    assert read_credential(headers) is None


@given(st.lists(st.binary(max_size=40), max_size=3))
def test_no_header_raises(values):
    read_credential(tuple((b"authorization", value) for value in values))


def test_key_of_maximum_length_is_read():
    key = b"k" * MAX_KEY_BYTES
    assert read_credential(((b"authorization", b"Bearer " + key),)) == digest_key(key)


@pytest.mark.parametrize("team", ["", "riders"])
def test_leaves_get_the_team_but_neither_key_nor_forged_team_headers(team):
    headers = (
        (b"host", b"shop.example"),
        (b"authorization", b"Bearer secret"),
        (b"x-tenant", b"clerks"),
        (b"X-Tenant", b"clerks"),
        (b"accept", b"*/*"),
        (b"connection", b"close, X-Tenant, Authorization"),
        (b"x-tenant", b"fitters"),
    )
    protocol = PlatformCallerProtocol()
    caller = protocol.read_request(HttpRequest("GET", "/x", headers, b"body"))
    assert caller.credential == digest_key(b"secret")
    named = protocol.attach_team(caller.forwarded, team)
    told = [value for name, value in named.headers if name.lower() == b"x-tenant"]
    assert told == ([team.encode()] if team else [])
    assert not any(b"secret" in value for _, value in named.headers)
    assert (b"accept", b"*/*") in named.headers
    assert (named.method, named.target, named.body) == ("GET", "/x", b"body")


def test_repr_of_a_request_contains_no_key():
    headers = ((b"authorization", b"Bearer secret-key"),)
    request = HttpRequest("GET", "/x", headers, b"body")
    caller = PlatformCallerProtocol().read_request(request)
    assert "secret-key" not in repr(request)
    assert "secret-key" not in repr(caller)
