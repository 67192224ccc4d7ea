"""Optional settings that are missing or invalid: their defaults are used."""

from datetime import timedelta

import pytest
import trio

from walkcart.platform.settings import BadSettings, read_settings
from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.test_documents import SETTINGS

#: A number that Python doesn't convert to text, as it has too many digits.
HEX = "0x" + "f" * 5000
#: A key that makes tables nest deeply without a recursion of the parser.
DEEP_KEY = ".".join("a" * 1500)


def read_with(folder, old, new):
    """Read the settings with a text replaced; return them and the invalid names."""
    path = folder / "settings.toml"
    assert old in SETTINGS
    path.write_text(SETTINGS.replace(old, new), encoding="utf-8")
    settings = read_settings(path)
    return settings, [fault.name for fault in settings.invalid]


@pytest.mark.parametrize(
    "value",
    [
        "inf",
        "nan",
        "-inf",
        "1e300",
        "-1",
        '"6"',
        '""',
        "true",
        "[]",
        "{}",
        "1" * 4000,
        HEX,
    ],
)
def test_invalid_grace_time_is_replaced_by_the_default(tmp_path, value):
    settings, invalid = read_with(tmp_path, "graceS = 8", f"graceS = {value}")
    assert settings.grace == timedelta(seconds=6)
    assert invalid == ["bounds.graceS"]
    assert settings.repeat_ratio == 0.3


@pytest.mark.parametrize(
    ("old", "new", "name"),
    [
        ("retryWindowS = 12", "retryWindowS = 0", "bounds.retryWindowS"),
        ("budgetSlack = 40", "budgetSlack = nan", "bounds.budgetSlack"),
        ("cores = 3", "cores = 0", "limits.cores"),
        ("cpuShare = 0.7", 'cpuShare = "most"', "limits.cpuShare"),
        ("writesPerS = 300", "writesPerS = 0", "platform.writesPerS"),
        ("readsPerS = 900", "readsPerS = -900", "platform.readsPerS"),
        ('north-a = "north"', "north-a = 5", "zones.north-a"),
    ],
)
def test_invalid_optional_setting_is_reported_by_its_name(tmp_path, old, new, name):
    settings, invalid = read_with(tmp_path, old, new)
    assert invalid == [name]
    assert settings.repeat_window > timedelta()
    assert settings.cores > 0
    assert settings.store_rate > 0


@pytest.mark.parametrize(
    "line", [f"graceS = {HEX}", f"graceS.{DEEP_KEY} = 1", f"quotaSlack = {HEX}"]
)
def test_value_that_has_no_representation_ends_no_process(tmp_path, line):
    """The text of the log line about the field raised another error."""
    settings, invalid = read_with(tmp_path, "graceS = 8", line)
    assert invalid == [f"bounds.{line.split('.')[0].split(' ')[0]}"]
    assert settings.grace == timedelta(seconds=6)


def test_port_that_has_no_representation_is_an_invalid_setting(tmp_path):
    ports = next(line for line in SETTINGS.splitlines() if "portRange" in line)
    with pytest.raises(BadSettings):
        read_with(tmp_path, ports, f"portRange = [1, {HEX}]")


@pytest.mark.parametrize("stated", ["63.9", "64", "16", "1"])
def test_small_machine_does_not_get_the_memory_plan_of_a_large_one(tmp_path, stated):
    settings, invalid = read_with(
        tmp_path, "cores = 3", f"cores = 3\nmemoryMb = {stated}"
    )
    assert invalid == []
    assert settings.memory.total == int(float(stated) * 2**20)


def test_bodies_get_no_more_memory_than_the_machine_has(tmp_path, monkeypatch):
    sizes = {"SC_PHYS_PAGES": 10_000, "SC_PAGE_SIZE": 4096}
    monkeypatch.setattr("os.sysconf", sizes.__getitem__)
    settings, invalid = read_with(tmp_path, "cores = 3", "cores = 3\nmemoryMb = 300")
    assert invalid == ["limits.memoryMb"]
    assert settings.memory.total == 10_000 * 4096


def test_table_of_regions_of_another_type_is_reported(tmp_path):
    settings, invalid = read_with(tmp_path, "[zones]", "[elsewhere]")
    assert (settings.regions, invalid) == ({}, [])
    settings, invalid = read_with(
        tmp_path, "unknown = 5\n[zones]", "zones = 7\n[elsewhere]"
    )
    assert (settings.regions, invalid) == ({}, ["zones"])


@pytest.mark.parametrize("table", ["limits", "bounds"])
def test_missing_table_of_optional_settings_is_no_fault(tmp_path, table):
    settings, invalid = read_with(tmp_path, f"[{table}]", "[elsewhere]")
    assert invalid == []
    assert settings.grace == timedelta(seconds=6 if table == "bounds" else 8)


def test_instance_with_invalid_optional_settings_starts_and_serves(tmp_path):
    replaced = {
        "graceS = 6": "graceS = inf",
        "retryWindowS = 10": "retryWindowS = 0",
        "retryBudgetRatio = 0.2": 'retryBudgetRatio = ""',
        "cores = 2": "cores = nan",
    }

    async def run():
        async with open_processes(tmp_path) as world:
            await world.start_leaf("i-one", "service")
            world.configure(make_route("one", "/one/", backend="service"))
            machine = world.add_machine()
            for old, new in replaced.items():
                assert old in machine.settings
                machine.settings = machine.settings.replace(old, new)
            world.start(machine)
            await world.wait_ready(machine)
            reply = await world.ask(machine, "/one/x")
            code = await world.end(machine)
            return reply.status, machine.ends, code, machine.read_log()

    status, ends, code, log = trio.run(run)
    assert (status, ends, code) == (200, [], 0)
    invalid = [line for line in log.splitlines() if '"setting_invalid"' in line]
    assert len(invalid) == len(replaced)
    assert sum('"bounds.graceS"' in line for line in invalid) == 1
