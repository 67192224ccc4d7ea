"""End-to-end tests with daemons in separate processes."""

import json
import signal
import time

import pytest

from walkcart.bench.fleet import Fleet, Processes, fetch, wait_until
from walkcart.bench.world import make_partner, make_service
from walkcart.once.keys import make_key

SHARDS, REPLICAS = 4, 2
HEADERS = {"authorization": "Bearer secret", "content-type": "application/json"}
SETTINGS = ("--fatal-invariants", "yes", "--span-ratio", "1", "--stop-grace", "0.5")


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(Processes(tmp_path), tmp_path)
    leaves = (f"parts:{SHARDS}:{REPLICAS}", "cards:1:3")
    spans = ("--span-output", str(tmp_path / "spans.jsonl"))
    started.start(3, leaves, (*SETTINGS, *spans))
    started.wait_healthy()
    text = make_partner("fitters", "secret") + make_service("parts", SHARDS)
    applied = started.apply(text + make_service("cards", 1, True), "--wait")
    assert applied.returncode == 0, applied.stderr
    assert "in force at every live instance" in applied.stdout
    started.wait_ready()
    yield started
    started.processes.stop_all()


def ask(entry, headers=HEADERS):
    body = json.dumps({"query": {"belt": "EP400"}}).encode()
    status, data = fetch(entry, "/v1/services/parts/query", body, headers)
    return status, json.loads(data) if data else None


def execute(entry, key):
    body = json.dumps({"command": "card"}).encode()
    headers = {**HEADERS, "idempotency-key": key}
    status, data = fetch(entry, "/v1/services/cards/execute", body, headers)
    return status, json.loads(data) if data else None


def new_key(seed):
    from datetime import UTC, datetime
    from random import Random

    return make_key(datetime.now(UTC), Random(seed))


def test_every_daemon_gives_the_complete_answer_also_after_one_was_killed(fleet):
    entries = list(fleet.entries.values())
    for entry in entries:
        status, content = ask(entry)
        assert status == 200, content
        assert content["coverage"]["answered"] == list(range(SHARDS))
        assert [row["shard"] for row in content["answer"]["rows"]] == [0, 1, 2, 3]
    asked = fleet.run_tool(
        "query", "parts", '{"belt": "EP400"}', "--partner-token", "secret"
    )
    assert asked.returncode == 0, asked.stderr
    assert f"{SHARDS} of {SHARDS} shards" in asked.stdout
    fleet.processes.kill("daemon-0")
    status, content = ask(entries[2])
    assert status == 200
    assert content["coverage"]["complete"]


def test_spans_of_one_request_share_its_trace_id(fleet):
    trace = "0af7651916cd43dd8448eb211c80319c"
    traceparent = f"00-{trace}-b7ad6b7169203331-01"
    ask(fleet.entries["daemon-1"], {**HEADERS, "traceparent": traceparent})
    lines = (fleet.folder / "spans.jsonl").read_text().splitlines()
    spans = [span for span in map(json.loads, lines) if span["trace_id"] == trace]
    entry = [span for span in spans if span["name"] == "entry.query"]
    attempts = [span for span in spans if span["name"] == "leaf.attempt"]
    assert len(entry) == 1
    assert len(attempts) >= SHARDS
    assert all(span["parent_id"] == entry[0]["span_id"] for span in attempts)


def test_sigterm_ends_with_exit_code_zero(fleet):
    fleet.processes.signal("daemon-1", signal.SIGTERM)
    assert fleet.processes.wait("daemon-1") == 0
    assert '"stopped"' in fleet.processes.read_log("daemon-1")
    assert ask(fleet.entries["daemon-2"])[0] == 200


def test_paused_owner_of_a_bucket_grants_no_key_twice(fleet):
    """Pauses each daemon in turn, and so each owner of a bucket.

    While the owner is paused, another daemon may take over its bucket and run the
    command; all daemons must then give the same answer for the key.
    """
    answered = []
    for number, name in enumerate(fleet.entries):
        others = [entry for key, entry in fleet.entries.items() if key != name]
        fleet.processes.signal(name, signal.SIGSTOP)
        key = new_key(number)
        wait_until(lambda o=others, k=key: execute(o[0], k)[0] in (200, 409))
        fleet.processes.signal(name, signal.SIGCONT)
        time.sleep(1.0)
        answered += [execute(entry, key)[1] for entry in fleet.entries.values()]
    runs = [item["rows"][0]["leaf"] for item in answered if "rows" in item]
    assert runs
    for first in range(0, len(answered), 3):
        kinds = {json.dumps(item) for item in answered[first : first + 3]}
        assert len(kinds) == 1
