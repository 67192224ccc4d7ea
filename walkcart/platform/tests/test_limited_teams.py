"""When a team's limit is asked, what its refusals become, and what is given back."""

from dataclasses import replace
from datetime import timedelta

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.routed import RoutedHandler
from walkcart.kernel.metrics import Metrics
from walkcart.platform.tests.platformworld import (
    make_key_headers,
    make_route,
    make_team,
    open_platform,
)
from walkcart.wire.verdicts import NotRun, Reason

LIMITED, FREE = make_key_headers("limited-key"), make_key_headers("free-key")
TEAMS = [
    make_team("limited", "limited-key", ratePerS=5, burst=2),
    make_team("free", "free-key"),
]
ROUTES = [
    make_route("one", "/one/", backend="plain"),
    make_route("none", "/none/", backend="nowhere"),
    make_route("open", "/open/", backend="plain", public=True),
]


class NotedLimits:
    """Says what it is told to and notes what it is asked."""

    def __init__(self):
        self.verdict = None
        self.taken = []
        self.given_back = []

    async def admit(self, team, max_wait):
        self.taken.append((team.name, team.limit.rate, round(max_wait, 1)))
        await trio.lowlevel.checkpoint()
        return self.verdict

    def refund(self, team, admitted_at):
        assert admitted_at <= trio.current_time()
        self.given_back.append(team.name)


def with_limits(monkeypatch, act):
    limits = NotedLimits()
    init = RoutedHandler.__init__

    def limit(handler, tools):
        init(handler, replace(tools, limits=limits))

    monkeypatch.setattr(RoutedHandler, "__init__", limit)

    async def run():
        async with open_platform() as world:
            await world.start_leaf("p-0", "plain")
            world.configure(*ROUTES, teams=TEAMS)
            await world.start_instance()
            await world.wait_ready()
            return await act(world, limits)

    return run_mocked(run)


def test_each_request_of_a_limited_team_is_taken_once_and_of_no_other(monkeypatch):
    async def act(world, limits):
        world.leafs["p-0"].faults.refuse_tenths = 5
        for path, headers in (
            ("/one/x", LIMITED),
            ("/one/y", LIMITED),
            ("/open/x", LIMITED),
            ("/open/x", ()),
            ("/one/x", FREE),
            ("/one/x", make_key_headers("unknown")),
            ("/one/x", ()),
            ("/missing/x", LIMITED),
        ):
            await world.ask(path, headers=headers)
        return limits.taken

    assert with_limits(monkeypatch, act) == [("limited", 5.0, 2.0)] * 3


@pytest.mark.parametrize(
    ("reason", "status", "metric"),
    [
        (Reason.RATE_LIMITED, 429, "query.rate_limited"),
        (Reason.LIMIT_UNKNOWN, 503, "query.limit_unknown"),
    ],
)
def test_what_a_limit_refuses_is_sent_nowhere_and_told_when_to_return(
    monkeypatch, reason, status, metric
):
    async def act(world, limits):
        limits.verdict = NotRun(reason, "no", timedelta(seconds=0.25))
        reply = await world.ask("/one/x", headers=LIMITED)
        metrics = world.tenants["one"].tenant.kernel.find("metrics", Metrics)
        line = world.log.getvalue().splitlines()[-1]
        arrived = world.leafs["p-0"].arrived
        return reply, arrived, metrics.read(metric), line, limits.given_back

    reply, arrived, count, line, given_back = with_limits(monkeypatch, act)
    assert reply.status == status
    assert reply.header(b"retry-after") == "0.250"
    assert arrived == []
    assert count == 1
    assert given_back == []
    assert f'"reason": "{reason.value}"' in line
    assert '"team": "limited"' in line


def test_what_no_leaf_ran_is_given_back_and_nothing_else(monkeypatch):
    async def act(world, limits):
        refused = await world.ask("/none/x", headers=LIMITED)
        after = list(limits.given_back)
        await world.ask("/one/x", headers=LIMITED)
        world.leafs["p-0"].faults.drop = True
        uncertain = await world.ask("/one/x", headers=LIMITED)
        return refused.status, after, uncertain.status, limits.given_back

    refused, after, uncertain, given_back = with_limits(monkeypatch, act)
    assert refused == 503
    assert after == ["limited"]
    assert uncertain in (502, 504)
    assert given_back == after
