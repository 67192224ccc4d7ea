"""Tests of the platform program's settings, at its start and when they change."""

import os
import subprocess
import sys

import trio

from walkcart.bench.harness import run_mocked
from walkcart.daemon.platform import reload_settings
from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import open_platform
from walkcart.platform.tests.test_documents import SETTINGS
from walkcart.store.calls import StoreCalls


def run_program(**environment):
    """Run the program with environment variables; return exit code and error output."""
    kept = {key: value for key, value in os.environ.items() if "WALKCART" not in key}
    done = subprocess.run(
        [sys.executable, "-m", "walkcart.daemon.platform"],
        env={**kept, **environment},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stderr


def test_missing_settings_file_is_a_usage_error():
    code, told = run_program()
    assert code == 2
    assert "WALKCART_NODE_FILE isn't set" in told


def test_invalid_settings_file_is_reported_in_one_line(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace('"10.0.0.7:8000"', '"nowhere"'), encoding="utf-8")
    code, told = run_program(WALKCART_NODE_FILE=str(path))
    assert code == 2
    assert told.startswith("walkcartd: the settings file is wrong")
    assert len(told.splitlines()) == 1


def test_invalid_metrics_port_is_reported(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    code, told = run_program(
        WALKCART_NODE_FILE=str(path), WALKCART_METRICS_PORT="ninety"
    )
    assert code == 2
    assert "WALKCART_METRICS_PORT" in told


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
