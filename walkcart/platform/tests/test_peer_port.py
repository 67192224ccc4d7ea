"""Programs that aren't instances connect to the port for peers of real processes."""

import json
from contextlib import suppress

import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.soakinput import (
    BAD_PEER_BYTES,
    PEER_HANDSHAKE,
    frame,
    send_bytes,
    send_endless,
)

#: Memory that a process may take, in bytes: the limit of the platform's machines.
MAX_MEMORY = 300 << 20
SECONDS = 2.0


async def attack(folder, act, records=None):
    """Let `act` use the port of one of two instances, and see what comes of it.

    Args:
        folder: folder for settings files and logs.
        act: starts tasks, given a nursery and the address of the port.
        records: makes keys of further instances to store, if given.
    """
    async with open_processes(folder) as world:
        await world.start_leaf("leaf", "service")
        world.configure(make_route("one", "/one/", backend="service"))
        machines = [world.add_machine(name) for name in ("one", "two")]
        for machine in machines:
            world.start(machine)
        for machine in machines:
            await world.wait_ready(machine)
        async with trio.open_nursery() as nursery:
            if records is not None:
                for name, record in (await records(nursery)).items():
                    world.store.put(f"walkcart/instances/{name}", record)
            await act(nursery, machines[0].peers[0])
            nursery.cancel_scope.cancel()
        for machine in machines:
            await world.wait_ready(machine, seconds=5)
        replies = [await world.ask(machine, "/one/x") for machine in machines]
        assert [reply.status for reply in replies] == [200, 200]
        assert [machine.ends for machine in machines] == [[], []]
        lines = machines[0].read_log().splitlines()
        return machines[0].find_memory_peak(), [json.loads(line) for line in lines]


def test_bytes_that_are_no_messages_cost_only_themselves(tmp_path):
    async def act(nursery, address):
        async with trio.open_nursery() as senders:
            for data in BAD_PEER_BYTES:
                senders.start_soon(send_bytes, address, data, SECONDS)
            chunk = frame(b"x" * 60_000)
            senders.start_soon(send_endless, address, PEER_HANDSHAKE, chunk)

    peak, events = trio.run(attack, tmp_path, act)
    assert peak < MAX_MEMORY
    names = {event["event"] for event in events}
    assert "peer_bad_message" in names
    assert "task_failed" not in names


async def greet_and_close(stream):
    """Answer the handshake of a connection, then close it."""
    async with stream:
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"\x00SP\x00\x00\x11\x00\x00")
            await stream.receive_some(8)


def test_listed_instances_that_close_each_connection_end_no_process(tmp_path):
    async def make_records(nursery):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, greet_and_close, listeners)
        port = listeners[0].socket.getsockname()[1]
        return {
            f"ghost-{number}": {
                "name": f"ghost-{number}",
                "started": "1",
                "data_centre": "north-a",
                "region": "north",
                "peer_address": f"127.0.0.1:{port}",
            }
            for number in range(30)
        }

    async def act(nursery, address):
        await trio.sleep(8)

    trio.run(attack, tmp_path, act, make_records)
