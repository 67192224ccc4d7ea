"""Instances under limits on the resources of their process."""

import resource
from pathlib import Path

import trio

from walkcart.platform.tests.test_busy_addresses import run_processes

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
