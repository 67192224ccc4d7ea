"""Signals, standard streams and the log lines of a process's start and end."""

import json
import os
import signal
import subprocess
import sys

import pytest
import trio

from walkcart.daemon.tests.test_platform_program import has_signal
from walkcart.platform.tests.processworld import (
    POLL_INTERVAL,
    START_SECONDS,
    open_processes,
)
from walkcart.platform.tests.test_busy_addresses import (
    find_events,
    run_processes,
    wait_event,
)

#: Runs the program, in which an error escapes the event loop.
FAILING_PROGRAM = """
from walkcart.daemon import platform
from walkcart.daemon.processsetup import ProcessSetup

async def fail(settings, environment):
    raise MemoryError("no memory for a test")

platform.assemble_tenant = fail
platform.main(ProcessSetup())
"""


def count_lines(log, event):
    """Return the number of log lines of an event."""
    return log.count(f'"event": "{event}"')


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_while_modules_load_ends_the_process_with_a_line(tmp_path, number):
    async def act(world, machine):
        machine.kept = False
        world._start_process(machine)
        with trio.fail_after(START_SECONDS):
            # Its handler is set last; the interpreter has one for SIGINT itself.
            while not has_signal(machine.process.pid, "SigCgt", signal.SIGTERM):
                await trio.sleep(0)
            has_begun = bool(find_events(machine, "process_started"))
            code = await world.end(machine, number)
        return has_begun, code, find_events(machine, "process_ended")

    has_begun, code, ended = run_processes(tmp_path, act)
    assert (has_begun, code) == (False, 0)
    reasons = [(line["reason"], line["serving"]) for line in ended]
    assert reasons == [(signal.Signals(number).name, False)]


def test_signals_that_ask_for_nothing_do_not_end_the_process(tmp_path):
    async def act(world, machine):
        world.start(machine)
        await world.wait_ready(machine)
        for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE):
            machine.process.send_signal(number)
        for _ in range(300):
            machine.process.send_signal(signal.SIGHUP)
            await trio.sleep(0.001)
        reply = await world.ask(machine, "/one/x")
        reloads = len(find_events(machine, "settings_reloaded"))
        return reply.status, machine.ends, reloads

    status, ends, reloads = run_processes(tmp_path, act)
    assert (status, ends) == (200, [])
    assert 1 <= reloads <= 20


def test_further_stop_signals_do_not_cut_a_stop_short(tmp_path):
    async def act(world, machine):
        world.start(machine)
        await world.wait_ready(machine)
        machine.kept = False
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGINT):
            machine.process.send_signal(number)
            await trio.sleep(0.2)
        reply = await world.ask(machine, "/one/x")
        code = await world.end(machine)
        return reply.status, code, find_events(machine, "process_ended")

    status, code, ended = run_processes(tmp_path, act)
    assert (status, code) == (200, 0)
    assert [(line["reason"], line["exit_code"]) for line in ended] == [("SIGTERM", 0)]


def test_stop_signals_while_the_interpreter_ends_do_not_change_the_exit_code(tmp_path):
    async def act(world, machine):
        machine.environment["WALKCART_METRICS_PORT"] = "0"
        world.start_once(machine)
        await world.wait_ready(machine)
        machine.process.send_signal(signal.SIGTERM)
        await wait_event(machine, "process_ended")
        with trio.fail_after(START_SECONDS):
            while machine.process.poll() is None:
                machine.process.send_signal(signal.SIGTERM)
                machine.process.send_signal(signal.SIGINT)
                await trio.sleep(0.001)
        return machine.process.returncode, find_events(machine, "process_ended")

    code, ended = run_processes(tmp_path, act)
    assert code == 0
    assert [line["exit_code"] for line in ended] == [0]


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signals_until_the_process_is_gone_leave_its_exit_code(tmp_path, number):
    async def act(world, machine):
        world.start_once(machine)
        await world.wait_ready(machine)
        machine.process.send_signal(signal.SIGTERM)
        with trio.fail_after(START_SECONDS):
            while (code := machine.process.poll()) is None:
                machine.process.send_signal(number)
                await trio.sleep(0.0005)
        return code, [
            line["exit_code"] for line in find_events(machine, "process_ended")
        ]

    assert run_processes(tmp_path, act) == (0, [0])


def test_killed_process_shows_as_two_starts_in_a_row(tmp_path):
    async def act(world, machine):
        world.start(machine)
        await world.wait_ready(machine)
        machine.process.send_signal(signal.SIGKILL)
        await world.wait_end(machine)
        with trio.fail_after(START_SECONDS):
            while len(find_events(machine, "process_started")) < 2:
                await trio.sleep(POLL_INTERVAL)
        await world.wait_ready(machine)
        return machine.read_log()

    log = run_processes(tmp_path, act)
    assert count_lines(log, "process_started") == 2
    assert count_lines(log, "process_ended") + count_lines(log, "process_failed") == 0


@pytest.mark.parametrize(
    "redirection",
    [">&-", ">&- 2>&-", "<&- >&- 2>&-", ">/dev/full 2>/dev/full", "| true", "| tail"],
)
def test_instance_serves_whatever_its_standard_streams_are(tmp_path, redirection):
    async def act(world, machine):
        machine.settings_path.write_text(machine.settings, encoding="utf-8")
        command = f'"{sys.executable}" -m walkcart.daemon.platform {redirection}'
        if not redirection.startswith("|"):
            command = f"exec {command}"
        machine.process = subprocess.Popen(
            ["sh", "-c", command],
            env={**os.environ, "WALKCART_NODE_FILE": str(machine.settings_path)},
            stdout=subprocess.DEVNULL,
            process_group=0,
        )
        try:
            await world.wait_ready(machine)
            statuses = [(await world.ask(machine, "/one/x")).status for _ in range(5)]
            return statuses, machine.process.poll()
        finally:
            os.killpg(machine.process.pid, signal.SIGKILL)

    assert run_processes(tmp_path, act) == ([200] * 5, None)


def test_log_goes_to_the_error_output_without_a_standard_output(tmp_path):
    async def act(world, machine):
        machine.settings_path.write_text(machine.settings, encoding="utf-8")
        errors = tmp_path / "errors"
        with errors.open("wb") as stream:
            machine.process = subprocess.Popen(
                [
                    "sh",
                    "-c",
                    f'exec "{sys.executable}" -m walkcart.daemon.platform >&-',
                ],
                env={**os.environ, "WALKCART_NODE_FILE": str(machine.settings_path)},
                stderr=stream,
            )
        await world.wait_ready(machine)
        return errors.read_text(encoding="utf-8")

    assert count_lines(run_processes(tmp_path, act), "process_started") == 1


def test_log_that_nobody_reads_does_not_hold_up_the_instance(tmp_path):
    async def act(world, machine):
        machine.settings_path.write_text(machine.settings, encoding="utf-8")
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        try:
            while os.write(writer, b"x" * 4096):
                pass
        except BlockingIOError:
            os.set_blocking(writer, True)
        machine.process = subprocess.Popen(
            [sys.executable, "-m", "walkcart.daemon.platform"],
            env={**os.environ, "WALKCART_NODE_FILE": str(machine.settings_path)},
            stdout=writer,
            stderr=writer,
        )
        os.close(writer)
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        code = await world.end(machine)
        os.close(reader)
        return reply.status, code

    assert run_processes(tmp_path, act) == (200, 0)


def test_error_that_escapes_the_event_loop_is_logged_and_loud(tmp_path):
    async def run():
        async with open_processes(tmp_path) as world:
            return world.add_machine().settings

    path = tmp_path / "settings.toml"
    path.write_text(trio.run(run), encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-c", FAILING_PROGRAM],
        env={**os.environ, "WALKCART_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        check=False,
        timeout=START_SECONDS,
    )
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 1
    assert "MemoryError" in done.stderr
    assert [line["event"] for line in lines] == ["process_started", "process_failed"]
    assert lines[1]["instance"] == "one"
    assert lines[1]["reason"] == "error"
    assert "no memory for a test" in lines[1]["traceback"]


def test_set_up_streams_are_not_used_by_sockets():
    code = """
import os
os.close(0), os.close(1)
from walkcart.daemon.processsetup import prepare_process
setup = prepare_process()
opened = os.open("/dev/null", os.O_RDONLY)
os.write(2, b"%d %d" % (setup.log_descriptor, opened > 2))
"""
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stderr == "2 1"
