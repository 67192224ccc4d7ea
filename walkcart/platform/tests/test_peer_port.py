"""Programs that aren't instances connect to the port for peers of real processes."""

import json

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


async def attack(folder, act):
    """Let `act` use the port of one of two instances, and see what comes of it."""
    async with open_processes(folder) as world:
        await world.start_leaf("leaf", "service")
        world.configure(make_route("one", "/one/", backend="service"))
        machines = [world.add_machine(name) for name in ("one", "two")]
        for machine in machines:
            world.start(machine)
        for machine in machines:
            await world.wait_ready(machine)
        async with trio.open_nursery() as nursery:
            act(nursery, machines[0].peers[0])
        for machine in machines:
            await world.wait_ready(machine, seconds=5)
        replies = [await world.ask(machine, "/one/x") for machine in machines]
        assert [reply.status for reply in replies] == [200, 200]
        assert [machine.ends for machine in machines] == [[], []]
        lines = machines[0].read_log().splitlines()
        return machines[0].find_memory_peak(), [json.loads(line) for line in lines]


def test_bytes_that_are_no_messages_cost_only_themselves(tmp_path):
    def act(nursery, address):
        for data in BAD_PEER_BYTES:
            nursery.start_soon(send_bytes, address, data, SECONDS)
        nursery.start_soon(send_endless, address, PEER_HANDSHAKE, frame(b"x" * 60_000))

    peak, events = trio.run(attack, tmp_path, act)
    assert peak < MAX_MEMORY
    names = {event["event"] for event in events}
    assert "peer_bad_message" in names
    assert "task_failed" not in names
