"""Tests of the operators' tool against daemons in separate processes."""

import json

import pytest

from walkcart.bench.fleet import Fleet, Processes
from walkcart.bench.world import make_partner, make_service
from walkcart.cli.clients import decode_reply
from walkcart.cli.exits import CommandFailed, Exit
from walkcart.cli.tests.running import run_alone

INTENT = '[[routing_intent]]\nname = "all"\nselector = "tier=search"\ndeadline = 1.0\n'
ESTATE = (
    make_partner("fitters", "secret")
    + make_service("parts", 2).replace(
        "writes = false", 'writes = false\nlabels = { tier = "search" }'
    )
    + INTENT
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    started = Fleet(Processes(folder), folder)
    started.start(2, ("parts:2:2",))
    started.wait_healthy()
    assert started.apply(ESTATE, "--wait").returncode == 0
    started.wait_ready()
    yield started
    started.processes.stop_all()


def write(fleet, text):
    path = fleet.folder / "file.toml"
    path.write_text(text)
    return str(path)


def test_validate_reports_all_faults(fleet):
    path = write(fleet, '[[service]]\nname = "x"\n[[robot]]\nname = "y"\n')
    ended = run_alone("validate", path)
    assert ended.returncode == Exit.INVALID
    assert "service x" in ended.stderr
    assert "robot" in ended.stderr
    assert "Traceback" not in ended.stderr


def test_missing_file_is_invalid():
    assert run_alone("validate", "/nonexistent.toml").returncode == Exit.INVALID


def test_bad_option_values_are_usage_errors():
    ended = run_alone("status", "--instance", "nowhere", "--output", "xml")
    assert ended.returncode == Exit.USAGE
    assert "instance" in ended.stderr
    assert "output" in ended.stderr


def test_diff_and_dry_run_write_nothing(fleet):
    path = write(fleet, INTENT.replace("1.0", "0.5"))
    diff = fleet.run_tool("diff", path, "--output", "json")
    assert json.loads(diff.stdout)[0]["fields"] == [["deadline", 1.0, 0.5]]
    before = json.loads(fleet.run_tool("get", "--output", "json").stdout)
    assert fleet.run_tool("apply", path, "--dry-run").returncode == Exit.OK
    after = json.loads(fleet.run_tool("get", "--output", "json").stdout)
    assert before == after


def test_apply_refuses_a_selector_that_matches_nothing(fleet):
    path = write(fleet, '[[routing_intent]]\nname = "i"\nselector = "tier=none"\n')
    refused = fleet.run_tool("apply", path)
    assert refused.returncode == Exit.INVALID
    assert "matches none" in refused.stderr


def test_label_and_drain_are_in_force_and_explained(fleet):
    labelled = fleet.run_tool("label", "service", "parts", "shift=day", "--wait")
    assert labelled.returncode == Exit.OK, labelled.stderr
    drained = fleet.run_tool("drain", "shard=1", "--wait")
    assert drained.returncode == Exit.OK, drained.stderr
    explained = fleet.run_tool("explain", "parts", "--output", "json")
    content = json.loads(explained.stdout)
    uses = [leaf["use"] for shard in content["shards"] for leaf in shard["leaves"]]
    assert uses == ["used", "used", "excluded by an intent", "excluded by an intent"]
    assert fleet.run_tool("drain", "shard=1", "--end").returncode == Exit.OK
    again = fleet.run_tool("drain", "shard=1", "--end")
    assert again.returncode == Exit.FAILED
    unlabelled = fleet.run_tool("label", "service", "parts", "shift-")
    assert unlabelled.returncode == Exit.OK


def test_invalid_labels_and_targets_are_refused(fleet):
    assert fleet.run_tool("label", "service", "none", "a=b").returncode == Exit.FAILED
    assert fleet.run_tool("label", "robot", "x", "a=b").returncode == Exit.USAGE
    assert fleet.run_tool("label", "service", "parts", "a b").returncode == Exit.USAGE
    assert fleet.run_tool("drain", "a ~ b").returncode == Exit.USAGE


def test_status_get_and_changes(fleet):
    status = fleet.run_tool("status")
    assert "daemon-0" in status.stdout
    assert "live" in status.stdout
    one = fleet.run_tool("get", "service", "parts")
    assert "parts" in one.stdout
    assert fleet.run_tool("get", "service", "none").returncode == Exit.FAILED
    assert fleet.run_tool("get", "robot").returncode == Exit.USAGE
    changes = json.loads(fleet.run_tool("get", "--changes", "--output", "json").stdout)
    assert changes[0]["revision"] == 1


def test_query_prints_the_verdict_of_a_refusal(fleet):
    refused = fleet.run_tool("query", "parts", "1", "--partner-token", "wrong")
    assert refused.returncode == Exit.FAILED
    assert "not_run" in refused.stderr
    assert fleet.run_tool("query", "parts", "{").returncode == Exit.USAGE


def test_store_or_instance_without_an_answer_is_unavailable():
    ended = run_alone("get", "--store", "127.0.0.1:1")
    assert ended.returncode == Exit.UNAVAILABLE
    ended = run_alone("status", "--instance", "127.0.0.1:1")
    assert ended.returncode == Exit.UNAVAILABLE
    assert "Traceback" not in ended.stderr


def test_unreadable_input_ends_the_tool_with_a_message():
    ended = run_alone("query", "parts", "[" * 3000)
    assert ended.returncode == Exit.USAGE
    assert "Traceback" not in ended.stderr
    for body in (b"", b"<html>", b"[" * 3000):
        with pytest.raises(CommandFailed) as caught:
            decode_reply(body)
        assert caught.value.code == Exit.UNAVAILABLE


def test_help_has_examples():
    ended = run_alone("help", "apply")
    assert ended.returncode == Exit.OK
    assert "Example" in ended.stdout
