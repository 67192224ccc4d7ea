"""Tests of the platform program's settings, at its start and when they change."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random
from time import sleep

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.daemon.platform import reload_settings
from walkcart.kernel.settings import HostPort
from walkcart.platform.settings import DEFAULT_FILE, FILE_VARIABLE
from walkcart.platform.tests.platformworld import open_platform
from walkcart.platform.tests.soakenvironment import find_port_block
from walkcart.platform.tests.test_documents import SETTINGS
from walkcart.store.calls import StoreCalls

#: Seconds for which a program that waits must not end.
HELD_SECONDS = 1.0


def run_until_settings_are_awaited(**environment):
    """Run the program until it waits for settings, and stop it.

    Returns:
        Its exit code, the log lines before the stop, and the error output.
    """
    kept = {key: value for key, value in os.environ.items() if "WALKCART" not in key}
    process = subprocess.Popen(
        [sys.executable, "-m", "walkcart.daemon.platform"],
        env={**kept, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        lines = []
        for text in process.stdout:
            lines.append(json.loads(text))
            if lines[-1]["event"] == "settings_awaited":
                break
        sleep(HELD_SECONDS)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=20)
    finally:
        process.kill()
        process.wait()
    return process.returncode, lines, errors


@pytest.mark.skipif(Path(DEFAULT_FILE).exists(), reason="the default file is there")
@pytest.mark.parametrize("environment", [{}, {FILE_VARIABLE: ""}])
def test_default_settings_file_is_waited_for_without_the_variable(environment):
    code, lines, errors = run_until_settings_are_awaited(**environment)
    assert (code, errors) == (0, "")
    assert [line["event"] for line in lines] == [
        "process_started",
        "setting_invalid",
        "settings_awaited",
    ]
    assert lines[1]["setting"] == FILE_VARIABLE
    assert DEFAULT_FILE in lines[1]["expected"]
    assert DEFAULT_FILE in lines[2]["detail"]


def test_invalid_required_setting_is_reported_in_one_line_and_waited_for(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace('"10.0.0.7:8000"', '"nowhere"'), encoding="utf-8")
    code, lines, errors = run_until_settings_are_awaited(WALKCART_NODE_FILE=str(path))
    assert (code, errors) == (0, "")
    assert [line["event"] for line in lines] == ["process_started", "settings_awaited"]
    detail = lines[1]["detail"]
    assert detail.startswith("the settings file is wrong: listen.front")
    assert "'nowhere'" in detail


def has_signal(pid, mask, number):
    """Return whether a signal is in a mask of a process, such as ``SigIgn``."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith(f"{mask}:"):
            return bool(int(line.split()[1], 16) & 1 << (number - 1))
    raise AssertionError(f"the system doesn't state {mask}")


def test_signal_to_reload_settings_does_not_end_a_starting_process(tmp_path):
    """Guards against a SIGHUP that ends the process while it loads its modules."""
    port = find_port_block(Random())
    path = tmp_path / "settings.toml"
    path.write_text(
        f"""nodeName = "one"
ip = "127.0.0.1"
zone = "north-a"
region = "north"
portRange = [{port + 2}, {port + 3}]
[zones]
north-a = "north"
[listen]
front = "127.0.0.1:{port}"
ready = "127.0.0.1:{port + 1}"
[bounds]
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 54
graceS = 6
[platform]
address = "127.0.0.1:{port + 4}"
writesPerS = 400
readsPerS = 2000
""",
        encoding="utf-8",
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "walkcart.daemon.platform"],
        env={**os.environ, "WALKCART_NODE_FILE": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        while not has_signal(process.pid, "SigIgn", signal.SIGHUP):
            assert process.poll() is None
            # The handler for reloads is only set once the modules are loaded.
            assert not has_signal(process.pid, "SigCgt", signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        assert any('"event": "started"' in line for line in process.stdout)
    finally:
        process.kill()
        process.wait()


def test_changed_settings_move_the_store_and_invalid_ones_change_nothing(tmp_path):
    path = tmp_path / "settings.toml"

    async def run():
        async with open_platform() as world:
            running = await world.start_instance()
            calls = running.tenant.kernel.find("calls", StoreCalls)
            path.write_text(SETTINGS, encoding="utf-8")
            reload_settings(running.tenant, path)
            moved = calls.address
            path.write_text("rubbish =", encoding="utf-8")
            reload_settings(running.tenant, path)
            await trio.sleep(0)
            return moved, calls.address, world.log.getvalue()

    moved, kept, log = run_mocked(run)
    assert moved == kept == HostPort("10.9.0.1", 9000)
    assert "settings_reloaded" in log
    assert "settings_bad" in log
