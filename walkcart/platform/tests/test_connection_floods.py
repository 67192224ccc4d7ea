"""Connections that say nothing use up a process's descriptors for a while."""

import json
import os
import resource
import socket

import pytest
import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import METRICS_PORT, open_processes

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


@pytest.mark.parametrize("port", ["callers", "readiness", "metrics", "peers"])
def test_flood_of_silent_connections_is_logged_and_outlived(port, tmp_path):
    async def run():
        async with open_processes(tmp_path) as world:
            await world.start_leaf("leaf", "service")
            world.configure(make_route("one", "/one/", backend="service"))
            machine = world.add_machine()
            machine.limits[resource.RLIMIT_NOFILE] = DESCRIPTORS
            world.start(machine)
            await world.wait_ready(machine)
            streams = open_connections(find_port(machine, port))
            folder = f"/proc/{machine.process.pid}/fd"
            with trio.fail_after(20):
                while len(os.listdir(folder)) < DESCRIPTORS:
                    await trio.sleep(0.05)
            await trio.sleep(0.5)
            for stream in streams:
                stream.close()
            await world.wait_ready(machine)
            reply = await world.ask(machine, "/one/x")
            return reply.status, machine.ends, machine.read_log().splitlines()

    status, ends, lines = trio.run(run)
    assert (status, ends) == (200, [])
    events = [json.loads(line)["event"] for line in lines]
    if port != "peers":
        assert "library_warning" in events
