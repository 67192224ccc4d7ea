"""Connections up to the limit of descriptors leave the instance in service."""

import resource

import pytest
import trio

from walkcart.platform.tests.platformworld import HOST, make_route
from walkcart.platform.tests.processworld import open_processes


@pytest.mark.parametrize("descriptors", [200, 400])
@pytest.mark.parametrize("sent", [b"", b"GET /one/x HTTP/1.1\r\nhost: %b\r\n\r\n"])
def test_idle_connections_dont_take_an_instance_out_of_service(
    tmp_path, descriptors, sent
):
    async def run():
        async with open_processes(tmp_path) as world:
            await world.start_leaf("i-one", "one", records=b"body")
            world.configure(make_route("one", "/one/", backend="one"))
            machine = world.add_machine()
            machine.limits = {resource.RLIMIT_NOFILE: descriptors}
            world.start(machine)
            await world.wait_ready(machine)
            streams = []
            for _ in range(600):
                stream = await trio.open_tcp_stream(machine.ip, machine.callers.port)
                await stream.send_all(sent % HOST.encode() if sent else b"")
                streams.append(stream)
            replies = [await world.ask(machine, "/one/x") for _ in range(3)]
            ready = await world.is_ready(machine)
            for stream in streams:
                await trio.aclose_forcefully(stream)
            after = await world.ask(machine, "/one/x")
            statuses = [reply and reply.status for reply in (*replies, after)]
            return statuses, ready, machine.ends, machine.read_log()

    statuses, ready, ends, log = trio.run(run)
    assert (statuses, ready, ends) == ([200] * 4, True, [])
    assert "Traceback" not in log
    assert log.count("connections_full") >= 1


def test_idle_connections_to_the_readiness_check_dont_use_up_descriptors(tmp_path):
    async def run():
        async with open_processes(tmp_path) as world:
            await world.start_leaf("i-one", "one", records=b"body")
            world.configure(make_route("one", "/one/", backend="one"))
            machine = world.add_machine()
            machine.limits = {resource.RLIMIT_NOFILE: 200}
            world.start(machine)
            await world.wait_ready(machine)
            streams = [
                await trio.open_tcp_stream(machine.ip, machine.readiness.port)
                for _ in range(400)
            ]
            ready = await world.is_ready(machine)
            reply = await world.ask(machine, "/one/x")
            for stream in streams:
                await trio.aclose_forcefully(stream)
            return ready, reply and reply.status, machine.ends

    assert trio.run(run) == (True, 200, [])
