"""The whole path in separate processes."""

import json
import subprocess
import sys

import pytest

from walkcart.bench.world import make_partner, make_service
from walkcart.daemon.tests.processes import (
    OPERATOR_TOKEN,
    Processes,
    fetch,
    is_ready,
    take_ports,
    wait_until,
)

SHARDS, REPLICAS = 4, 2


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    yield started
    started.stop_all()


def start_estate(processes, tmp_path):
    """Start 1 store, 8 leaves of 4 shards and 3 daemons; return their addresses."""
    ports = take_ports(8 + SHARDS * REPLICAS)
    store, listing, *rest = [f"127.0.0.1:{port}" for port in ports[:8]]
    entries, peers = rest[:3], rest[3:6]
    leaves = f"parts:{SHARDS}:{REPLICAS}:127.0.0.1:{ports[8]}"
    processes.start("store", "walkcart.standins.main", "store", "--listen", store)
    processes.start("leaves", "walkcart.standins.main", "leaves", leaves)
    words = ["list", "--listen", listing, "--leaves", leaves]
    for number, (entry, peer) in enumerate(zip(entries, peers, strict=True)):
        words += ["--instance", f"daemon-{number},{entry},{peer}"]
    processes.start("list", "walkcart.standins.main", *words)
    for number, (entry, peer) in enumerate(zip(entries, peers, strict=True)):
        processes.start(
            f"daemon-{number}",
            "walkcart.daemon.main",
            *("--instance", f"daemon-{number}", "--listen", entry),
            *("--peer-listen", peer, "--store", store, "--instance-list", listing),
            *("--operator-token", OPERATOR_TOKEN, "--fatal-invariants", "yes"),
        )
    text = make_partner("fitters", "secret") + make_service("parts", SHARDS)
    path = tmp_path / "estate.toml"
    path.write_text(text)
    return store, entries, path


def run_tool(*words):
    return subprocess.run(
        [sys.executable, "-m", "walkcart.cli.main", *words],
        capture_output=True,
        text=True,
    )


def ask(entry):
    headers = {"authorization": "Bearer secret", "content-type": "application/json"}
    body = json.dumps({"query": {"belt": "EP400"}}).encode()
    status, _, data = fetch(entry, "/v1/services/parts/query", body, headers)
    return status, json.loads(data) if data else None


def test_any_daemon_gives_the_whole_answer_and_one_may_be_killed(processes, tmp_path):
    store, entries, path = start_estate(processes, tmp_path)
    for entry in entries:
        wait_until(lambda entry=entry: fetch(entry, "/healthz")[0] == 200)
    applied = run_tool(
        *("apply", str(path), "--store", store, "--instance", entries[0]),
        *("--token", OPERATOR_TOKEN, "--wait"),
    )
    assert applied.returncode == 0, applied.stderr
    assert "in force at every live instance" in applied.stdout
    for entry in entries:
        wait_until(lambda entry=entry: is_ready(entry))
        status, content = ask(entry)
        assert status == 200, content
        assert content["coverage"]["answered"] == list(range(SHARDS))
        assert [row["shard"] for row in content["answer"]["rows"]] == [0, 1, 2, 3]
    asked = run_tool(
        *("query", "parts", '{"belt": "EP400"}', "--instance", entries[1]),
        *("--partner-token", "secret"),
    )
    assert asked.returncode == 0, asked.stderr
    assert f"{SHARDS} of {SHARDS} shards" in asked.stdout
    processes.kill("daemon-0")
    status, content = ask(entries[2])
    assert status == 200
    assert content["coverage"]["complete"]
