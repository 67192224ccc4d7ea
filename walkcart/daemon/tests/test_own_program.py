"""The program of the own interface as a process: busy addresses and signals."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from time import monotonic, sleep

import pytest

#: Maximum time that a step takes, in seconds.
STEP_SECONDS = 20.0


def start_program(log_path, callers, peers, *more):
    """Start the program; its log goes to a file."""
    with log_path.open("wb") as log:
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "walkcart.daemon.main",
                "--listen",
                f"127.0.0.1:{callers}",
                "--peer-listen",
                f"127.0.0.1:{peers}",
                "--store",
                "127.0.0.1:9",
                "--stop-grace",
                "0",
                *more,
            ],
            env={k: v for k, v in os.environ.items() if "WALKCART" not in k},
            stderr=log,
        )


def wait_event(process, log_path, name):
    """Wait until the program logs an event."""
    end = monotonic() + STEP_SECONDS
    while f'"event": "{name}"' not in log_path.read_text(encoding="utf-8"):
        assert process.poll() is None, log_path.read_text(encoding="utf-8")
        assert monotonic() < end
        sleep(0.02)


def hold_port():
    """Return a socket that listens on some port, and the port."""
    sock = socket.create_server(("127.0.0.1", 0))
    return sock, sock.getsockname()[1]


@pytest.mark.parametrize("busy", ["callers", "peers"])
def test_start_waits_for_an_address_in_use(tmp_path, busy):
    log_path = tmp_path / "log"
    callers, callers_port = hold_port()
    peers, peers_port = hold_port()
    (peers if busy == "callers" else callers).close()
    process = start_program(log_path, callers_port, peers_port)
    try:
        wait_event(process, log_path, "address_busy")
        callers.close()
        peers.close()
        wait_event(process, log_path, "started")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(STEP_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
    lines = [json.loads(line) for line in log_path.read_text().splitlines()]
    assert [lines[0]["event"], lines[-1]["event"]] == [
        "process_started",
        "process_ended",
    ]


def test_stop_while_waiting_for_an_address_ends_the_process(tmp_path):
    log_path = tmp_path / "log"
    callers, port = hold_port()
    with callers:
        process = start_program(log_path, port, 0)
        try:
            wait_event(process, log_path, "address_busy")
            process.send_signal(signal.SIGTERM)
            assert process.wait(STEP_SECONDS) == 0
        finally:
            process.kill()
            process.wait()
    assert '"serving": false' in log_path.read_text(encoding="utf-8")


@pytest.mark.parametrize("place", ["missing/spans", "", "/dev/full"])
def test_start_does_not_need_the_file_of_spans(tmp_path, place):
    log_path = tmp_path / "log"
    output = str(tmp_path / place)
    process = start_program(
        log_path, 0, 0, "--span-output", output, "--span-ratio", "1"
    )
    try:
        wait_event(process, log_path, "started")
        process.send_signal(signal.SIGTERM)
        assert process.wait(STEP_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
    invalid = '"setting_invalid"' in log_path.read_text(encoding="utf-8")
    assert invalid == (place != "/dev/full")


def test_further_stop_signals_end_the_program_with_its_exit_code(tmp_path):
    log_path = tmp_path / "log"
    process = start_program(log_path, 0, 0)
    try:
        wait_event(process, log_path, "started")
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            if '"event": "process_ended"' in log_path.read_text(encoding="utf-8"):
                process.send_signal(signal.SIGTERM)
            sleep(0.001)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 0


@pytest.mark.parametrize("descriptors", [20, 24, 32, 48])
def test_lack_of_descriptors_is_logged_in_lines_and_ends_nothing(tmp_path, descriptors):
    log_path = tmp_path / "log"
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    process = start_program(log_path, port, 0)
    connections = []
    try:
        wait_event(process, log_path, "started")
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, hard))
        for _ in range(descriptors):
            connections.append(socket.create_connection(("127.0.0.1", port)))
        wait_event(process, log_path, "library_warning")
        for connection in connections:
            connection.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(STEP_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
    for line in log_path.read_text(encoding="utf-8").splitlines():
        json.loads(line)


@pytest.mark.parametrize("address", ["[::1]:8125", "[fe80::1%nowhere]:8125"])
def test_start_does_not_need_the_address_of_metrics(tmp_path, address):
    log_path = tmp_path / "log"
    process = start_program(log_path, 0, 0, "--statsd", address)
    try:
        wait_event(process, log_path, "started")
        process.send_signal(signal.SIGTERM)
        assert process.wait(STEP_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
