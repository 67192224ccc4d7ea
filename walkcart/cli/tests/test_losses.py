"""Tests of the report of lost requests from log lines."""

import json

import pytest

from walkcart.cli.exits import Exit
from walkcart.cli.lossaccount import MAX_COUNTS, LossAccount
from walkcart.cli.losscauses import (
    MAX_REMEMBERED,
    UNREACHABLE_TIME,
    Cause,
    InstanceHistory,
    Outcome,
)
from walkcart.cli.tests.running import run_alone
from walkcart.kernel.events import Events


def make_line(event, second=0.0, instance="one", **fields):
    minutes, seconds = divmod(second, 60)
    time = f"2026-01-01T00:{int(minutes):02}:{seconds:09.6f}+00:00"
    return {"time": time, "instance": instance, "number": event.number, **fields}


def classify(*lines):
    """Return outcome and cause of the request that the last of the lines reports."""
    memory = InstanceHistory()
    end = None
    for number, line in enumerate(lines):
        end = memory.process_line(line, line.get("at", float(number)))
    return end.outcome, end.cause


DONE = Events.REQUEST_DONE
UNSERVED = Events.REQUEST_UNSERVED


@pytest.mark.parametrize(
    ("fields", "outcome", "cause"),
    [
        ({"ms": 90, "objective_ms": 100}, Outcome.GOOD, Cause.NONE),
        ({"ms": 120, "objective_ms": 100}, Outcome.LATE, Cause.SLOW_LEAF),
        ({"ms": 120, "objective_ms": None}, Outcome.GOOD, Cause.NONE),
        (
            {"ms": 90, "objective_ms": 100, "missing": {"a": "leaf_refused"}},
            Outcome.PARTIAL,
            Cause.LEAF_REFUSED,
        ),
        (
            {
                "ms": 120,
                "objective_ms": 100,
                "missing": {"a": "cancelled", "b": "deadline", "c": "deadline"},
            },
            Outcome.LATE,
            Cause.SLOW_LEAF,
        ),
        ({"ms": 9, "missing": {"a": "cancelled"}}, Outcome.PARTIAL, Cause.SLOW_LEAF),
        ({"ms": 9, "missing": {"a": "a new reason"}}, Outcome.PARTIAL, Cause.UNKNOWN),
    ],
)
def test_outcome_and_cause_of_an_answered_request(fields, outcome, cause):
    assert classify(make_line(DONE, route="r", **fields)) == (outcome, cause)


@pytest.mark.parametrize(
    ("fields", "outcome", "cause"),
    [
        ({"reason": "no_route"}, Outcome.REFUSED, Cause.NO_ROUTE),
        ({"reason": "unauthenticated"}, Outcome.REFUSED, Cause.NO_KEY),
        (
            {"reason": "configuration_old"},
            Outcome.REFUSED,
            Cause.CONFIGURATION_OLD,
        ),
        ({"reason": "rate_limited"}, Outcome.REFUSED, Cause.ABOVE_LIMIT),
        ({"reason": "limit_unknown"}, Outcome.REFUSED, Cause.LIMIT_UNKNOWN),
        (
            {"reason": "overloaded", "ran": "NotRun"},
            Outcome.REFUSED,
            Cause.LEAF_REFUSED,
        ),
        ({"reason": "deadline", "ran": "MayHaveRun"}, Outcome.FAILED, Cause.SLOW_LEAF),
        (
            {"reason": "leaf_failed", "ran": "MayHaveRun", "missing": {"a": "no_leaf"}},
            Outcome.FAILED,
            Cause.NO_LEAF,
        ),
    ],
)
def test_outcome_and_cause_of_an_unserved_request(fields, outcome, cause):
    assert classify(make_line(UNSERVED, host="h", **fields)) == (outcome, cause)


def test_lost_gathering_instance_is_found_by_the_id_of_the_request():
    late = make_line(DONE, request="q", ms=9, missing={"a": "unreachable"})
    lost = make_line(Events.DELEGATE_LOST, request="q", peer="two")
    assert classify(lost, late) == (Outcome.PARTIAL, Cause.LOST_INSTANCE)
    assert classify(late) == (Outcome.PARTIAL, Cause.NO_CONNECTION)


def test_unreachable_leaf_is_the_cause_of_missing_parts_for_a_while():
    added = make_line(Events.LEAF_ADDED, leaf="i-1", service="a", address="10.0.0.1:1")
    dark = make_line(Events.LEAF_UNREACHABLE, leaf="10.0.0.1:1", at=1.0)
    failed = {"reason": "deadline", "ran": "MayHaveRun", "missing": {"a": "deadline"}}
    soon = make_line(UNSERVED, at=2.0, **failed)
    later = make_line(UNSERVED, at=2.0 + UNREACHABLE_TIME, **failed)
    assert classify(added, dark, soon) == (Outcome.FAILED, Cause.DARK_LEAF)
    assert classify(added, dark, later) == (Outcome.FAILED, Cause.SLOW_LEAF)


def test_number_of_remembered_requests_is_bounded():
    memory = InstanceHistory()
    for number in range(MAX_REMEMBERED + 100):
        memory.process_line(make_line(Events.DELEGATE_LOST, request=str(number)), 0.0)
    assert len(memory._lost_requests) == MAX_REMEMBERED


def test_too_many_counters_lead_to_longer_time_steps(monkeypatch):
    monkeypatch.setattr("walkcart.cli.lossaccount.MAX_COUNTS", 100)
    assert MAX_COUNTS > 100
    account = LossAccount()
    for second in range(1000):
        line = make_line(UNSERVED, second, host="h", reason="no_route")
        account.read([json.dumps(line)])
    assert account.lost == 1000
    assert account.step > 1
    assert len(account.rows(by_second=True)) <= 101


def test_unusable_and_dropped_lines_are_counted():
    account = LossAccount()
    account.read(
        [
            "no JSON at all",
            "{}",
            '{"time": "yesterday", "instance": "one"}',
            "[1]",
            "",
            '{"event": "log_lines_dropped", "count": 3}',
            "  1.5 collector " + json.dumps(make_line(DONE, ms=1, dropped_lines=4)),
        ]
    )
    assert (account.unusable, account.dropped, account.ended) == (4, 7, 1)
    assert account.explained == 1.0


def run_tool(tmp_path, *words):
    lines = [
        make_line(UNSERVED, 1.0, host="h", reason="no_route"),
        make_line(UNSERVED, 1.5, host="h", reason="no_route"),
        make_line(DONE, 3.0, route="r", ms=120, objective_ms=100),
    ]
    log = tmp_path / "one.log"
    log.write_text("\n".join(json.dumps(line) for line in lines))
    return run_alone("losses", str(log), *words)


def test_the_command_prints_a_table_and_a_summary(tmp_path):
    ended = run_tool(tmp_path)
    assert ended.returncode == Exit.OK
    assert "no such route in this version" in ended.stdout
    assert "3 of 3 requests were not good; 100% of them have a cause" in ended.stdout


def test_the_command_prints_json_by_second(tmp_path):
    ended = run_tool(tmp_path, "--output", "json", "--by-second")
    rows = json.loads(ended.stdout)["rows"]
    assert [(row["second"], row["requests"]) for row in rows] == [(0.0, 2), (2.0, 1)]


def test_the_command_writes_a_plot(tmp_path):
    pytest.importorskip("matplotlib")
    path = tmp_path / "losses.png"
    assert run_tool(tmp_path, "--plot", str(path)).returncode == Exit.OK
    assert path.read_bytes().startswith(b"\x89PNG")


def test_invalid_arguments_give_a_clear_error(tmp_path):
    ended = run_tool(tmp_path, "--step", "never")
    assert ended.returncode == Exit.USAGE
    assert "expected seconds above 0" in ended.stderr
    ended = run_alone("losses", str(tmp_path / "none.log"))
    assert ended.returncode == Exit.FAILED
    assert "none.log" in ended.stderr
    assert "Traceback" not in ended.stderr
