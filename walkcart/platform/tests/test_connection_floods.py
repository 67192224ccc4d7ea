"""Connections that say nothing use up a process's descriptors for a while."""

import json
import os
import resource
import socket

import pytest
import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processmachine import METRICS_PORT
from walkcart.platform.tests.processworld import open_processes

#: Descriptors of the process, and connections of the flood.
DESCRIPTORS = 64
CONNECTIONS = 200


def open_connections(address):
    """Open silent connections; those that aren't accepted wait in the backlog."""
    streams = [socket.socket() for _ in range(CONNECTIONS)]
    for stream in streams:
        stream.setblocking(False)
        stream.connect_ex((address.host, address.port))
    return streams


def find_port(machine, port):
    match port:
        case "callers":
            return machine.callers
        case "readiness":
            return machine.readiness
        case "metrics":
            return HostPort(machine.ip, METRICS_PORT)
        case _:
            return machine.peers[0]


async def count_descriptors(machine):
    return len(os.listdir(f"/proc/{machine.process.pid}/fd"))


def run_flood(ports, folder, flooded):
    """Flood ports until `flooded(machine)`; return the status after it, and events."""

    async def run():
        async with open_processes(folder) as world:
            await world.start_leaf("leaf", "service")
            world.configure(make_route("one", "/one/", backend="service"))
            machine = world.add_machine()
            machine.limits[resource.RLIMIT_NOFILE] = DESCRIPTORS
            world.start(machine)
            await world.wait_ready(machine)
            streams = [
                stream
                for port in ports
                for stream in open_connections(find_port(machine, port))
            ]
            with trio.fail_after(20):
                while not await flooded(machine):
                    await trio.sleep(0.05)
            await trio.sleep(0.5)
            for stream in streams:
                stream.close()
            await world.wait_ready(machine)
            reply = await world.ask(machine, "/one/x")
            assert machine.ends == []
            return reply.status, machine.read_log().splitlines()

    status, lines = trio.run(run)
    return status, [json.loads(line)["event"] for line in lines]


@pytest.mark.parametrize("ports", [["callers", "readiness", "metrics"], ["peers"]])
def test_flood_that_takes_all_descriptors_is_logged_and_outlived(ports, tmp_path):
    async def flooded(machine):
        return await count_descriptors(machine) == DESCRIPTORS

    status, events = run_flood(ports, tmp_path, flooded)
    assert status == 200
    if ports != ["peers"]:
        assert "library_warning" in events


@pytest.mark.parametrize("port", ["callers", "readiness", "metrics"])
def test_flood_of_one_port_leaves_descriptors_for_others(port, tmp_path):
    async def flooded(machine):
        assert await count_descriptors(machine) < DESCRIPTORS
        return '"connections_full"' in machine.read_log()

    status, events = run_flood([port], tmp_path, flooded)
    assert status == 200
    assert "library_warning" not in events
