"""Whose a request is, over any order of configurations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.entry.callerports import CallerRequest
from walkcart.entry.teamaccess import MAX_CONFIGURATION_AGE, Access, find_access
from walkcart.intent.routes import Route, RouteTable, RoutingDocument, ToService
from walkcart.intent.teams import Grant, Team, digest_key
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import NotRun, Reason

KEYS = [digest_key(b"key-%d" % number) for number in range(5)]
TEAMS = ("fitters", "riders", "clerks")
NEW = 0.1

#: Which of the teams has each key, in one configuration; None: the team isn't there.
holdings = st.dictionaries(
    st.sampled_from(KEYS), st.sampled_from(TEAMS), max_size=len(KEYS)
)
#: A configuration: nobody needs a key, or some teams are there and some hold keys.
configurations = st.one_of(
    st.none(),
    st.tuples(holdings, st.frozensets(st.sampled_from(TEAMS))),
)


def make_table(configuration, public=False, **details):
    teams = None
    if configuration is not None:
        held, present = configuration
        teams = tuple(
            Team(name, frozenset(key for key in held if held[key] == name), **details)
            for name in TEAMS
            if name in present
        )
    route = Route("r", "h", "/", ToService("s"), public=public)
    return RouteTable(RoutingDocument(1, (route,), teams=teams)), route


def find_holder(configuration, key):
    """Return the team that has a key, by the plainest reading."""
    held, present = configuration
    name = held.get(key)
    return name if name in present else None


@given(configurations, st.sampled_from([None, *KEYS]), st.booleans())
def test_a_request_is_of_the_team_that_has_its_key_and_of_no_other(
    configuration, key, public
):
    table, route = make_table(configuration, public)
    found = find_access(table, route, key, NEW)
    if configuration is None:
        assert found == Access(None, Grant())
        return
    holder = find_holder(configuration, key)
    if holder is not None:
        assert found.team.name == found.grant.team == holder
        assert found.grant.credential == key
    elif public:
        assert found == Access(None, Grant())
    else:
        assert found.reason is Reason.UNAUTHENTICATED


@given(st.lists(configurations, min_size=1, max_size=6), st.sampled_from(KEYS))
def test_what_was_let_in_goes_on_while_the_same_team_has_the_key(order, key):
    table, route = make_table(order[0])
    found = find_access(table, route, key, NEW)
    if isinstance(found, NotRun):
        return
    for configuration in order:
        table, _ = make_table(configuration)
        upheld = table.still_admits("r", found.grant)
        if configuration is None:
            assert upheld
        elif order[0] is None:
            # It was let in without a key, and one is needed now.
            assert not upheld
        else:
            assert upheld == (find_holder(configuration, key) == found.grant.team)


@given(configurations, st.sampled_from(TEAMS))
def test_an_instance_that_only_helps_goes_by_the_team_alone(configuration, name):
    table, _ = make_table(configuration)
    gone = configuration is not None and name not in configuration[1]
    assert table.still_admits("r", Grant(name)) is not gone


@given(
    configurations.filter(lambda item: item is not None), st.sampled_from([None, *KEYS])
)
def test_an_instance_that_is_behind_turns_no_key_away_for_good(configuration, key):
    table, route = make_table(configuration)
    new = find_access(table, route, key, NEW)
    old = find_access(table, route, key, MAX_CONFIGURATION_AGE + 0.1)
    if isinstance(new, Access):
        assert old == new
    elif key is None:
        # No configuration lets in what has no key.
        assert old.reason is Reason.UNAUTHENTICATED
    else:
        assert old.reason is Reason.CONFIGURATION_OLD
        assert old.retry_after.total_seconds() < 0.5


def test_without_any_team_in_the_list_no_key_is_known():
    table, route = make_table(({}, frozenset()))
    for key in (None, KEYS[0]):
        assert find_access(table, route, key, NEW).reason is Reason.UNAUTHENTICATED


@pytest.mark.parametrize("age", [float("inf"), float("-inf"), 0.0])
def test_a_known_key_is_let_in_however_old_the_configuration_is(age):
    table, route = make_table(({KEYS[0]: "riders"}, frozenset(TEAMS)))
    assert find_access(table, route, KEYS[0], age).team.name == "riders"


def test_a_team_moved_to_public_routes_keeps_its_name():
    table, route = make_table(({KEYS[0]: "riders"}, frozenset(TEAMS)), public=True)
    assert find_access(table, route, KEYS[0], NEW).grant.team == "riders"


@pytest.mark.parametrize(
    ("of_route", "of_team", "both"),
    [
        (None, None, None),
        ({"n"}, None, {"n"}),
        (None, {"n"}, {"n"}),
        ({"n", "s"}, {"s", "e"}, {"s"}),
        ({"n"}, {"s"}, set()),
    ],
)
def test_regions_of_route_and_team_both_bind(of_route, of_team, both):
    def make(names):
        return ALL_REGIONS if names is None else Regions(frozenset(names))

    route = Route("r", "h", "/", ToService("s"), regions=make(of_route))
    team = Team("riders", regions=make(of_team))
    table = RouteTable(RoutingDocument(1, (route,), teams=(team,)))
    assert table.find_allowed_regions("r", "riders") == make(both)
    assert table.find_allowed_regions("r") == make(of_route)
    assert table.find_allowed_regions("r", "unknown") == make(of_route)


@pytest.mark.parametrize(("of_team", "rank"), [(None, 7), (0, 0), (3, 3)])
def test_the_rank_of_a_team_goes_before_that_of_its_route(of_team, rank):
    route = Route("r", "h", "/", ToService("s"), rank=7)
    table = RouteTable(RoutingDocument(1, (route,), teams=(Team("t", rank=of_team),)))
    assert table.find_rank("r", "t") == rank
    assert table.find_rank("r") == 7
    assert table.find_rank("unknown", "unknown") == 0


def test_digests_are_shown_nowhere():
    team = Team("riders", frozenset(KEYS))
    grant = Grant("riders", KEYS[0])
    request = CallerRequest("1", "h", None, HttpRequest("GET", "/"), credential=KEYS[0])
    for shown in (team, grant, Access(team, grant), request):
        text = repr(shown)
        assert not any(repr(key) in text for key in KEYS)
