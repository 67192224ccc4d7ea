"""Loading of settings: precedence of the sources, and the report of invalid ones."""

import subprocess
import sys
from datetime import timedelta

from walkcart.kernel.settings import describe_settings, load_settings


def test_flag_overrides_variable_overrides_default():
    environment = {"WALKCART_REGION": "hobart", "WALKCART_INSTANCE": "a"}
    loaded = load_settings(["--instance", "b"], environment)
    assert not loaded.faults
    assert loaded.settings.instance == "b"
    assert loaded.settings.region == "hobart"
    assert loaded.settings.data_centre == "local"
    assert loaded.sources["instance"] == "flag --instance"
    assert loaded.sources["region"] == "variable WALKCART_REGION"


def test_all_invalid_settings_are_reported_together():
    words = ["--listen", "localhost:1", "--span-ratio=2", "--nonsense", "--stop-bound"]
    loaded = load_settings(words, {"WALKCART_LOG_LEVEL": "loud", "WALKCART_X": "1"})
    names = {fault.name for fault in loaded.faults}
    assert names == {
        "listen",
        "span_ratio",
        "--nonsense",
        "stop_bound",
        "log_level",
        "WALKCART_X",
    }
    assert all(fault.expected for fault in loaded.faults)


def test_names_are_not_resolved():
    assert load_settings(["--store", "localhost:7100"], {}).faults


def test_durations_are_parsed_as_seconds():
    loaded = load_settings(["--stop-grace", "1.5"], {})
    assert loaded.settings.stop_grace == timedelta(seconds=1.5)


def test_variables_of_the_tool_are_ignored():
    assert not load_settings([], {"WALKCART_TOOL_STORE": "x"}).faults


def test_secrets_are_masked():
    rows = describe_settings(load_settings(["--operator-token", "secret"], {}))
    assert "secret" not in str(rows)
    faulty = load_settings(["--operator-token"], {})
    assert "secret" not in str(faulty.faults)


def run_daemon(*words):
    return subprocess.run(
        [sys.executable, "-m", "walkcart.daemon.main", *words],
        capture_output=True,
        text=True,
    )


def test_daemon_exits_with_2_on_invalid_settings():
    ended = run_daemon("--listen", "x", "--region", "UPPER")
    assert ended.returncode == 2
    assert "listen" in ended.stderr
    assert "region" in ended.stderr
    assert "Traceback" not in ended.stderr


def test_check_settings_prints_values_and_sources():
    ended = run_daemon("--check-settings", "--region", "hobart")
    assert ended.returncode == 0
    assert "flag --region" in ended.stdout
    assert "default" in ended.stdout
