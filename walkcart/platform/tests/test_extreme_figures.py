"""Figures of a configuration at and beyond every bound."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from math import isfinite
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.intent.routes import RouteTable, RoutingDocument, ToShards, ToSplit
from walkcart.kernel.decoding import BadData
from walkcart.kernel.durations import MAX_DURATION
from walkcart.platform.documents import read_configuration
from walkcart.platform.records import merge_records
from walkcart.platform.tests.platformworld import make_route
from walkcart.routing.coldleaves import ColdBound
from walkcart.routing.quotas import MAX_SHARES, QuotaBounds, QuotaRequest, ShareAccount
from walkcart.routing.retryafter import draw_retry_after
from walkcart.routing.shares import ConnectionShares
from walkcart.routing.splits import WeightedSplit

#: Fields of a configuration that hold figures, with the table that has them.
FIELDS = (
    ("routes", "timeoutMs"),
    ("routes", "targetLatencyMs"),
    ("routes", "maxAttempts"),
    ("routes", "priority"),
    ("routes", "topK"),
    ("routes", "minCoverage"),
    ("split", "weight"),
    ("services", "maxConns"),
    ("services", "warmupS"),
    ("services", "warmupPerS"),
    ("limits", "maxHeaderBytes"),
    ("limits", "maxBodyBytes"),
    ("limits", "headerTimeoutMs"),
    ("limits", "idleTimeoutMs"),
    ("tenants", "ratePerS"),
    ("tenants", "burst"),
    ("tenants", "priority"),
    ("config", "version"),
)
NUMBERS = st.floats(allow_nan=False, allow_infinity=False) | st.integers()
EXTREMES = [
    0,
    -1,
    1e19,
    -1e19,
    8.64e16,
    1.7e308,
    5e-324,
    2**31,
    2**63 - 1,
    2**63,
    -(2**63) - 1,
    10**400,
]


def make_value(table: str, field: str, number: object) -> bytes:
    """Return a configuration in which one field has another figure."""
    split = [{"backend": "a", "weight": 1}, {"backend": "b", "weight": 2}]
    tables: dict[str, dict[str, Any]] = {
        "config": {"version": 7},
        "routes": make_route("r", "/r/", fanoutServices=["a", "b"], topK=3),
        "split": split[0],
        "services": {"name": "a", "maxConns": 8},
        "limits": {},
        "tenants": {"name": "t", "apiKeys": ["k"], "ratePerS": 5, "burst": 5},
    }
    tables[table][field] = "FIGURE"
    content = {
        **tables["config"],
        "routes": [tables["routes"], make_route("s", "/s/", trafficSplit=split)],
        "services": [tables["services"]],
        "limits": tables["limits"],
        "tenants": [tables["tenants"]],
    }
    data = msgspec.json.encode(content)
    return data.replace(b'"FIGURE"', repr(number).encode())


def check_usable(document: RoutingDocument) -> None:
    """Check that everything that an instance computes from a document is finite."""
    RouteTable(document)
    now = datetime.now(UTC)
    for route in document.routes:
        for time in (route.timeout, route.objective or timedelta()):
            assert timedelta() <= time <= MAX_DURATION
            assert now + time
        assert route.most_attempts >= 1
        match route.target:
            case ToShards(top=top, least_coverage=coverage):
                assert 0 <= coverage <= 1
                records = b"b" * 16 + b"a" * 16
                assert merge_records([records], top) == records[: 16 * top]
            case ToSplit(parts):
                split = WeightedSplit(0.5)
                weights = [(part.service, part.weight) for part in parts]
                chosen = [split.choose(weights) for _ in range(4)]
                assert all(isfinite(value) for value in split._credits.values())
                assert set(chosen) <= {part.service for part in parts}
        msgspec.msgpack.encode((route.rank, route.most_attempts, document.version))
    for service in document.services:
        assert now + service.cold_time
        bound = ColdBound(1.5, 5.0).max_requests(service.cold_rate)
        assert bound is None or bound >= 0
        assert ConnectionShares(service.most_connections).connections_per_holder(7) > 0
    assert now + document.limits.idle_time * 2
    assert now + document.limits.head_time * 2
    for team in document.teams or ():
        if team.limit is None:
            continue
        bounds = QuotaBounds(slack=36.0)
        for share in range(MAX_SHARES):
            account = ShareAccount(share, bounds, 0.0, True)
            request = QuotaRequest(team.name, team.limit, document.version, 3)
            for step in range(9):
                reply = account.grant(request, 0.1 * step)
                assert isfinite(reply.turn)
                assert draw_retry_after(reply.turn, Random(1)) >= timedelta()
                msgspec.msgpack.encode((team.limit.rate, team.limit.burst, team.rank))


def read_or_refuse(value: bytes) -> bool:
    """Return whether a configuration is read; it is usable then."""
    try:
        document = read_configuration(value)
    except BadData:
        return False
    check_usable(document)
    return True


@given(st.sampled_from(FIELDS), NUMBERS)
@example(("split", "weight"), 1.7e308)
@example(("services", "warmupPerS"), 1.7e308)
@example(("tenants", "ratePerS"), 5e-324)
def test_configuration_with_any_figure_is_usable_or_refused(field, number):
    read_or_refuse(make_value(*field, number))


@pytest.mark.parametrize(("table", "field"), FIELDS)
def test_configuration_with_an_extreme_figure_is_usable_or_refused(table, field):
    for number in EXTREMES:
        read_or_refuse(make_value(table, field, number))
    for text in (b"NaN", b"Infinity", b"1e400", b"null", b'"1"', b"[]", b"1" * 5000):
        value = make_value(table, field, 424242424242).replace(b"424242424242", text)
        read_or_refuse(value)


@pytest.mark.parametrize(
    ("table", "field", "number"),
    [
        ("routes", "timeoutMs", -5),
        ("routes", "targetLatencyMs", -1),
        ("routes", "topK", -5),
        ("routes", "minCoverage", 1.01),
        ("routes", "minCoverage", -0.01),
        ("services", "warmupS", -1),
        ("limits", "maxHeaderBytes", 0),
        ("limits", "maxBodyBytes", -1),
        ("limits", "headerTimeoutMs", 0),
        ("limits", "idleTimeoutMs", 0),
        ("limits", "idleTimeoutMs", -1),
    ],
)
def test_configuration_with_an_impossible_figure_is_refused(table, field, number):
    assert not read_or_refuse(make_value(table, field, number))


@pytest.mark.parametrize(
    ("table", "field", "number"),
    [
        ("routes", "timeoutMs", 1e19),
        ("routes", "targetLatencyMs", 1e300),
        ("routes", "maxAttempts", -1),
        ("services", "maxConns", -3),
        ("services", "maxConns", 2**63 - 1),
        ("services", "warmupS", 1e15),
        ("services", "warmupPerS", 1.7e308),
        ("services", "warmupPerS", -1),
        ("limits", "idleTimeoutMs", 8e16),
        ("limits", "maxBodyBytes", 0),
        ("tenants", "ratePerS", 1.7e308),
        ("tenants", "ratePerS", 5e-324),
    ],
)
def test_figure_that_means_no_limit_is_read(table, field, number):
    assert read_or_refuse(make_value(table, field, number))
