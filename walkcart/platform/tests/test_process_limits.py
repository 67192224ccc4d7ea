"""Instances under limits on the resources of their process."""

import resource
from pathlib import Path

import pytest
import trio

from walkcart.platform.tests.test_busy_addresses import (
    find_events,
    run_processes,
    wait_event,
)

#: Threads of nng on a machine with one core, with some room for trio's.
MAX_THREADS = 16


def test_number_of_threads_does_not_grow_with_the_cores(tmp_path):
    async def act(world, machine):
        world.start(machine)
        await world.wait_ready(machine)
        await world.ask(machine, "/one/x")
        status = Path(f"/proc/{machine.process.pid}/status").read_text(encoding="utf-8")
        line = next(line for line in status.splitlines() if line.startswith("Threads"))
        return int(line.split()[1])

    assert run_processes(tmp_path, act) <= MAX_THREADS


def test_instance_serves_in_a_small_address_space(tmp_path):
    async def act(world, machine):
        machine.limits[resource.RLIMIT_AS] = 240 << 20
        world.start(machine)
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        await trio.sleep(0.5)
        return reply.status, machine.ends

    assert run_processes(tmp_path, act) == (200, [])


@pytest.mark.parametrize("descriptors", [5, 6, 7, 8, 10, 12])
def test_start_waits_for_descriptors_and_then_serves(tmp_path, descriptors):
    async def act(world, machine):
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        world.start_once(machine)
        process = machine.process
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, hard))
        await wait_event(machine, "process_started")
        await trio.sleep(1.0)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (hard, hard))
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        return reply.status, process.poll(), await world.end(machine)

    assert run_processes(tmp_path, act) == (200, None, 0)


def test_stop_while_waiting_for_descriptors_of_the_event_loop_ends_it(tmp_path):
    async def act(world, machine):
        machine.limits[resource.RLIMIT_NOFILE] = 6
        world.start_once(machine)
        await wait_event(machine, "library_warning")
        code = await world.end(machine)
        return code, find_events(machine, "process_ended")

    code, ended = run_processes(tmp_path, act)
    assert code == 0
    assert [(line["reason"], line["serving"]) for line in ended] == [("SIGTERM", False)]


@pytest.mark.parametrize("megabytes", [90, 100, 104, 108])
def test_start_in_too_small_an_address_space_waits(tmp_path, megabytes):
    """Guards against an abort of nng, which can't make some of its threads."""

    async def act(world, machine):
        machine.limits[resource.RLIMIT_AS] = megabytes << 20
        world.start_once(machine)
        await wait_event(machine, "address_busy")
        await trio.sleep(3.0)
        before = machine.process.poll()
        code = await world.end(machine)
        return before, code, find_events(machine, "address_busy")

    before, code, busy = run_processes(tmp_path, act)
    assert (before, code) == (None, 0)
    assert {line["purpose"] for line in busy} == {"other instances"}
