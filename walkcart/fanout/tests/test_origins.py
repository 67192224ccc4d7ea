"""The team of a question, at the instance that asks and at the one that gathers."""

from dataclasses import replace
from types import SimpleNamespace

import msgspec
import pytest

from walkcart.bench.harness import ManualClock
from walkcart.fanout.delegationcodec import Delegation, decode_question, encode_question
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.quarantines import Quarantines
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import Route, RoutingDocument, ToShards
from walkcart.intent.teams import Grant, Team, digest_key
from walkcart.kernel.metrics import Metrics
from walkcart.routing.eligibility import Regions
from walkcart.routing.quarantine import Quarantine
from walkcart.store.updates import Origin
from walkcart.wire.http import HttpRequest

NO_EVENTS = SimpleNamespace(emit=lambda event, **fields: None)
NAME = b"team"
KEY = digest_key(b"key")
SHARDS = ("a", "b")
RIDERS = Team("riders", frozenset({KEY}), rank=2, regions=Regions(frozenset("ns")))
GROUP = Delegation("d", SHARDS, 4, 0.01)


def make_origins(teams, rank=7):
    clock = ManualClock()
    keeper = RouteKeeper(clock, NO_EVENTS, Metrics(None, "one"))
    route = Route("all", "h", "/", ToShards(SHARDS, 4, 1.0), rank=rank)
    keeper.apply(RoutingDocument(1, (route,), teams=teams), Origin())
    return RequestOrigins(keeper, NAME)


def make_request(*headers, body=b""):
    return HttpRequest("GET", "/x", ((b"host", b"h"), *headers), body)


def make_question(origins, request, team=""):
    return RoutedQuestion(
        "q",
        "all",
        request,
        SHARDS,
        20.0,
        fingerprint=origins.fingerprint(request),
        team=team,
        rank=origins.find_rank("all", team),
        grant=Grant(team, KEY if team else None),
    )


def delegate(question, origins):
    """Return a question as the instance that gathers it decodes it."""
    return decode_question(encode_question(question, GROUP, 10.0), 10.0, origins)


@pytest.mark.parametrize("name", ["riders", "Zürich", "Red Cross"])
def test_the_gathering_instance_finds_team_rank_and_fingerprint(name):
    asker = make_origins((replace(RIDERS, name=name),))
    gatherer = make_origins((replace(RIDERS, name=name, rank=1),))
    question = make_question(asker, make_request((NAME, name.encode())), name)
    found = delegate(question, gatherer)
    assert (question.rank, found.rank) == (2, 1)
    assert found.team == name
    assert found.grant == Grant(name)
    assert found.fingerprint == question.fingerprint


def test_fingerprints_depend_on_the_team_and_not_on_the_key():
    origins = make_origins((RIDERS,))
    of_riders = origins.fingerprint(make_request((NAME, b"riders")))
    of_others = origins.fingerprint(make_request((NAME, b"others")))
    of_nobody = origins.fingerprint(make_request())
    assert len({of_riders, of_others, of_nobody}) == 3
    with_key = make_request((b"authorization", b"Bearer key"), (NAME, b"riders"))
    assert origins.fingerprint(with_key) == of_riders


def test_without_teams_fingerprints_depend_on_the_key_and_there_is_no_team():
    origins = make_origins(None)
    one = make_request((b"authorization", b"Bearer one"), (NAME, b"riders"))
    two = make_request((b"authorization", b"Bearer two"), (NAME, b"riders"))
    assert origins.fingerprint(one) != origins.fingerprint(two)
    found = delegate(make_question(origins, one), origins)
    assert (found.team, found.rank, found.grant) == ("", 7, Grant())
    assert found.fingerprint == origins.fingerprint(one)


def test_the_asker_decides_on_requests_of_teams_unknown_to_the_gatherer():
    gatherer = make_origins((RIDERS,))
    newer = make_origins((RIDERS, Team("new")))
    question = make_question(newer, make_request((NAME, b"new")), "new")
    found = delegate(question, gatherer)
    assert found.team == "new"
    assert found.grant is None
    older = make_origins(None)
    found = delegate(make_question(older, make_request()), gatherer)
    assert found.grant is None


def test_a_message_adds_nothing_on_the_team_to_the_request_as_leaves_get_it():
    origins = make_origins((RIDERS,))
    question = make_question(origins, make_request((NAME, b"riders")), "riders")
    plain = replace(question, team="", rank=0, grant=None, fingerprint=b"")
    messages = [encode_question(item, GROUP, 10.0) for item in (question, plain)]
    assert messages[0] == messages[1]
    assert KEY not in msgspec.msgpack.encode(messages[0])


def test_a_quarantined_request_is_recognized_by_its_team_where_it_is_gathered():
    origins = make_origins((RIDERS,))
    question = make_question(origins, make_request((NAME, b"riders")), "riders")
    other = make_question(origins, make_request((NAME, b"others")), "others")
    clock = ManualClock()
    quarantine = Quarantine()
    quarantines = Quarantines(quarantine, clock, "one", NO_EVENTS, Metrics(None, "one"))
    for strike in range(3):
        quarantine.record_strike(question.fingerprint, strike, 10.0)
    kept = [
        quarantines.is_restricted(encode_question(item, GROUP, 10.0), origins)
        for item in (question, other)
    ]
    assert kept == [True, False]
