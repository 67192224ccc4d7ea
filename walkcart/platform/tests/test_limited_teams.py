"""When a team's rate limit is checked, how it refuses, and what it refunds."""

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


class RecordingLimiter:
    """A rate limiter that returns a set verdict and records its calls."""

    def __init__(self):
        self.verdict = None
        self.taken = []
        self.refunded = []

    async def admit(self, team, max_wait):
        self.taken.append((team.name, team.limit.rate, round(max_wait, 1)))
        await trio.lowlevel.checkpoint()
        return self.verdict

    def refund(self, team, admitted_at):
        assert admitted_at <= trio.current_time()
        self.refunded.append(team.name)


def with_limits(monkeypatch, scenario):
    """Run `scenario(world, limits)` with a recording limiter at the instance."""
    limits = RecordingLimiter()
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
            return await scenario(world, limits)

    return run_mocked(run)


def test_limit_is_checked_once_for_each_request_of_limited_teams_only(monkeypatch):
    async def scenario(world, limits):
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

    assert with_limits(monkeypatch, scenario) == [("limited", 5.0, 2.0)] * 3


@pytest.mark.parametrize(
    ("reason", "status", "metric"),
    [
        (Reason.RATE_LIMITED, 429, "query.rate_limited"),
        (Reason.LIMIT_UNKNOWN, 503, "query.limit_unknown"),
    ],
)
def test_rate_limited_request_reaches_no_leaf_and_gets_retry_after(
    monkeypatch, reason, status, metric
):
    async def scenario(world, limits):
        limits.verdict = NotRun(reason, "no", timedelta(seconds=0.25))
        reply = await world.ask("/one/x", headers=LIMITED)
        metrics = world.tenants["one"].tenant.kernel.find("metrics", Metrics)
        line = world.log.getvalue().splitlines()[-1]
        arrived = world.leafs["p-0"].arrived
        return reply, arrived, metrics.read(metric), line, limits.refunded

    reply, arrived, count, line, refunded = with_limits(monkeypatch, scenario)
    assert reply.status == status
    assert reply.header(b"retry-after") == "0.250"
    assert arrived == []
    assert count == 1
    assert refunded == []
    assert f'"reason": "{reason.value}"' in line
    assert '"team": "limited"' in line


def test_only_requests_that_no_leaf_ran_are_refunded(monkeypatch):
    async def scenario(world, limits):
        refused = await world.ask("/none/x", headers=LIMITED)
        after = list(limits.refunded)
        await world.ask("/one/x", headers=LIMITED)
        world.leafs["p-0"].faults.drop = True
        uncertain = await world.ask("/one/x", headers=LIMITED)
        return refused.status, after, uncertain.status, limits.refunded

    refused, after, uncertain, refunded = with_limits(monkeypatch, scenario)
    assert refused == 503
    assert after == ["limited"]
    assert uncertain in (502, 504)
    assert refunded == after
