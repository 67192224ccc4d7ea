"""A settings file that is missing, incomplete or unreadable, at the start and later."""

import os
import signal

import pytest
import trio

from walkcart.platform.settings import (
    MAX_FILE_BYTES,
    BadSettings,
    IncompleteSettings,
    read_settings,
)
from walkcart.platform.tests.processworld import POLL_INTERVAL, START_SECONDS
from walkcart.platform.tests.test_busy_addresses import (
    find_events,
    run_processes,
    wait_event,
)
from walkcart.platform.tests.test_documents import SETTINGS

#: Contents of which no settings can be read.
UNREADABLE = {
    "empty": b"",
    "not UTF-8": b"\xff\xfe\x00",
    "nested deep": b"a = " + b"[" * 5000 + b"]" * 5000,
    "number too long": b"a = " + b"9" * 5000,
    "too large": b"#" * (MAX_FILE_BYTES + 1),
    "not TOML": b"rubbish =",
    "cut short": SETTINGS.encode()[:150],
}


@pytest.mark.parametrize("kind", UNREADABLE)
def test_unreadable_file_is_reported_as_incomplete(tmp_path, kind):
    path = tmp_path / "settings.toml"
    path.write_bytes(UNREADABLE[kind])
    with pytest.raises(IncompleteSettings):
        read_settings(path)


def test_file_cut_short_anywhere_is_incomplete_or_whole(tmp_path):
    path = tmp_path / "settings.toml"
    text = SETTINGS.strip()
    required = text.index("10.9.0.1:9000") + len("10.9.0.1:9000") + 1
    for length in range(required):
        path.write_text(text[:length], encoding="utf-8")
        with pytest.raises(IncompleteSettings):
            read_settings(path)
    for length in range(required, len(text)):
        path.write_text(text[:length], encoding="utf-8")
        try:
            assert read_settings(path).instance == "entry-7"
        except IncompleteSettings:
            continue


def test_pipe_or_folder_in_place_of_the_file_is_reported(tmp_path):
    os.mkfifo(tmp_path / "pipe")
    for path in (tmp_path / "pipe", tmp_path):
        with pytest.raises(IncompleteSettings, match="read"):
            read_settings(path)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"10.0.0.7:8000"', '"nowhere"', "listen.front: expected an IP number"),
        ('ip = "10.0.0.7"', 'ip = "here"', "ip: expected an IP number, got 'here'"),
        ("[7000, 7010]", "[0, 70000]", "portRange: expected two ports"),
        ('"entry-7"', '""', "nodeName: expected the name"),
    ],
)
def test_invalid_required_setting_is_named_with_its_value(tmp_path, old, new, expected):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace(old, new), encoding="utf-8")
    with pytest.raises(BadSettings, match=expected) as raised:
        read_settings(path)
    assert not isinstance(raised.value, IncompleteSettings)


def test_start_waits_for_a_missing_and_then_half_written_file(tmp_path):
    async def act(world, machine):
        whole, path = machine.settings, machine.settings_path
        machine.settings = ""
        world.start(machine)
        await wait_event(machine, "settings_awaited")
        path.unlink()
        await trio.sleep(0.5)
        path.write_text(whole[: len(whole) // 2], encoding="utf-8")
        await trio.sleep(0.5)
        path.write_text(whole, encoding="utf-8")
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        return reply.status, machine.starts, machine.ends

    assert run_processes(tmp_path, act) == (200, 1, [])


def test_stop_while_waiting_for_the_file_ends_the_process(tmp_path):
    async def act(world, machine):
        machine.settings = ""
        world.start(machine)
        await wait_event(machine, "settings_awaited")
        code = await world.end(machine)
        return code, len(find_events(machine, "process_ended"))

    assert run_processes(tmp_path, act) == (0, 1)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('front = "{ip}:7000"', 'front = "{ip}:"'),
        ('\nip = "{ip}"', '\nip = "{ip}.1"'),
        ("portRange = [7010, 7025]", "portRange = [0, 7025]"),
        ('nodeName = "one"', "nodeName = 1"),
    ],
)
def test_start_waits_for_a_required_setting_to_become_valid(tmp_path, old, new):
    async def act(world, machine):
        whole, path = machine.settings, machine.settings_path
        replaced = old.format(ip=machine.ip)
        assert replaced in whole
        machine.settings = whole.replace(replaced, new.format(ip=machine.ip))
        world.start(machine)
        await wait_event(machine, "settings_awaited")
        await trio.sleep(0.5)
        path.write_text(whole, encoding="utf-8")
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        return reply.status, machine.starts, machine.ends

    assert run_processes(tmp_path, act) == (200, 1, [])


def test_byte_order_mark_in_front_of_the_settings_is_ignored(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS, encoding="utf-8-sig")
    assert read_settings(path).instance == "entry-7"


def replace_file(path, kind):
    """Put something that isn't a settings file in place of one."""
    path.unlink()
    match kind:
        case "missing":
            return
        case "pipe":
            os.mkfifo(path)
        case "folder":
            path.mkdir()
        case "very large":
            with path.open("wb") as file:
                file.truncate(100 << 20)
        case _:
            path.write_bytes(UNREADABLE[kind])


def test_running_instance_serves_on_whatever_replaces_its_settings_file(tmp_path):
    kinds = ["missing", "pipe", "folder", "very large", *UNREADABLE]

    async def act(world, machine):
        world.start(machine)
        await world.wait_ready(machine)
        path = machine.settings_path
        for number, kind in enumerate(kinds):
            replace_file(path, kind)
            machine.process.send_signal(signal.SIGHUP)
            with trio.fail_after(START_SECONDS):
                while len(find_events(machine, "settings_bad")) <= number:
                    await trio.sleep(POLL_INTERVAL)
            reply = await world.ask(machine, "/one/x")
            assert (kind, reply.status, machine.ends) == (kind, 200, [])
            if kind == "folder":
                path.rmdir()
            if not path.exists() or kind == "pipe":
                path.unlink(missing_ok=True)
                path.touch()
        path.write_text(machine.settings, encoding="utf-8")
        await wait_event(machine, "settings_reloaded")
        return machine.ends

    assert run_processes(tmp_path, act) == []
