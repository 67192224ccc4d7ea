"""Instances whose addresses are in use when they start, or not there yet."""

import json
import resource
import socket
from contextlib import closing

import pytest
import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processmachine import (
    CALLERS_PORT,
    METRICS_PORT,
    PEER_PORTS,
    READINESS_PORT,
)
from walkcart.platform.tests.processworld import (
    POLL_INTERVAL,
    START_SECONDS,
    open_processes,
)
from walkcart.wire.http import HttpRequest


def hold(ip, port):
    """Listen on a port, as another program does; it accepts no connection."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.listen(1)
    return sock


def run_processes(folder, act):
    """Run `act(world, machine)` beside a leaf, with a machine that isn't started."""

    async def run():
        async with open_processes(folder) as world:
            await world.start_leaf("i-one", "service")
            world.configure(make_route("one", "/one/", backend="service"))
            return await act(world, world.add_machine())

    return trio.run(run)


def find_events(machine, name):
    """Return the log lines of an event."""
    lines = machine.read_log().splitlines(keepends=True)
    # A line that is being written has no end yet; tracebacks aren't log lines.
    whole = [line for line in lines if line.startswith("{") and line.endswith("}\n")]
    return [line for line in map(json.loads, whole) if line["event"] == name]


async def wait_event(machine, name):
    """Wait until an event is logged."""
    with trio.fail_after(START_SECONDS):
        while not find_events(machine, name):
            await trio.sleep(POLL_INTERVAL)


@pytest.mark.parametrize(
    ("ports", "purpose"),
    [
        ([CALLERS_PORT], "callers"),
        ([READINESS_PORT], "readiness"),
        (range(PEER_PORTS[0], PEER_PORTS[1] + 1), "other instances"),
    ],
    ids=["callers", "readiness", "peers"],
)
def test_start_waits_for_an_address_in_use(tmp_path, ports, purpose):
    async def act(world, machine):
        held = [hold(machine.ip, port) for port in ports]
        world.start(machine)
        await wait_event(machine, "address_busy")
        for sock in held:
            sock.close()
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        busy = find_events(machine, "address_busy")
        return reply.status, machine.starts, machine.ends, busy

    status, starts, ends, busy = run_processes(tmp_path, act)
    assert (status, starts, ends) == (200, 1, [])
    assert {line["purpose"] for line in busy} == {purpose}
    assert "in use" in busy[0]["detail"]


def test_readiness_fails_while_the_address_for_callers_is_in_use(tmp_path):
    async def act(world, machine):
        with closing(hold(machine.ip, CALLERS_PORT)):
            world.start(machine)
            with trio.fail_after(START_SECONDS):
                while "walkcart/instances/one" not in world.store.rows:
                    await trio.sleep(POLL_INTERVAL)
            request = HttpRequest("GET", "/api/ready")
            before = await world.exchange(machine.readiness, request, 2.0)
        await world.wait_ready(machine)
        return before.status, machine.ends

    assert run_processes(tmp_path, act) == (503, [])


def test_start_takes_the_first_free_port_of_the_range(tmp_path):
    async def act(world, machine):
        held = [hold(machine.ip, PEER_PORTS[0] + number) for number in range(3)]
        world.start(machine)
        await world.wait_ready(machine)
        for sock in held:
            sock.close()
        return [line["address"] for line in find_events(machine, "listening")]

    addresses = run_processes(tmp_path, act)
    assert any(text.endswith(f":{PEER_PORTS[0] + 3}") for text in addresses)


def test_metrics_port_in_use_does_not_prevent_a_start(tmp_path):
    async def act(world, machine):
        with closing(hold(machine.ip, METRICS_PORT)):
            world.start(machine)
            await world.wait_ready(machine)
            reply = await world.ask(machine, "/one/x")
            await wait_event(machine, "address_busy")
        with trio.fail_after(START_SECONDS):
            while all(
                line["purpose"] != "metrics"
                for line in find_events(machine, "listening")
            ):
                await trio.sleep(POLL_INTERVAL)
        return reply.status, machine.ends, find_events(machine, "address_busy")

    status, ends, busy = run_processes(tmp_path, act)
    assert (status, ends) == (200, [])
    assert {line["purpose"] for line in busy} == {"metrics"}


@pytest.mark.parametrize("text", ["ninety", "", "-1", "70000", "9109.0"])
def test_invalid_metrics_port_does_not_prevent_a_start(tmp_path, text):
    async def act(world, machine):
        machine.environment["WALKCART_METRICS_PORT"] = text
        world.start(machine)
        await world.wait_ready(machine)
        return machine.ends, find_events(machine, "setting_invalid")

    ends, invalid = run_processes(tmp_path, act)
    assert ends == []
    assert [(line["setting"], line["value"]) for line in invalid] == [
        ("WALKCART_METRICS_PORT", text)
    ]


def test_instances_on_one_address_share_no_metrics_port_and_serve(tmp_path):
    async def act(world, machine):
        other = world.add_machine("two", ip=machine.ip)
        other.settings = (
            other.settings.replace(f":{CALLERS_PORT}", ":7100")
            .replace(f":{READINESS_PORT}", ":7101")
            .replace("7010, 7025", "7110, 7125")
        )
        world.start(machine)
        world.start(other)
        await world.wait_ready(machine)
        with trio.fail_after(START_SECONDS):
            while "walkcart/instances/two" not in world.store.rows:
                await trio.sleep(POLL_INTERVAL)
        return machine.ends, other.ends, other.starts

    assert run_processes(tmp_path, act) == ([], [], 1)


def test_stop_while_waiting_for_an_address_ends_the_process_at_once(tmp_path):
    async def act(world, machine):
        # An address that no machine has, as it is reserved for documentation.
        machine.settings = machine.settings.replace(machine.ip, "192.0.2.1")
        world.start(machine)
        await wait_event(machine, "address_busy")
        start = trio.current_time()
        code = await world.end(machine)
        return code, trio.current_time() - start, find_events(machine, "process_ended")

    code, elapsed, ended = run_processes(tmp_path, act)
    assert code == 0
    assert elapsed < 2
    assert [(line["reason"], line["serving"]) for line in ended] == [("SIGTERM", False)]


def test_start_without_enough_descriptors_waits(tmp_path):
    async def act(world, machine):
        machine.limits[resource.RLIMIT_NOFILE] = 12
        world.start(machine)
        await wait_event(machine, "address_busy")
        return await world.end(machine), machine.ends

    assert run_processes(tmp_path, act) == (0, [])


@pytest.mark.parametrize("address", ["listen.front", "listen.ready", "ip"])
def test_address_that_is_invalid_on_the_machine_does_not_end_the_start(
    tmp_path, address
):
    # A link-local address without an interface: EINVAL.
    replaced = {
        "listen.front": ('front = "{ip}:7000"', 'front = "[fe80::1]:7000"'),
        "listen.ready": ('ready = "{ip}:7001"', 'ready = "[fe80::1]:7001"'),
        "ip": ('\nip = "{ip}"', '\nip = "fe80::1"'),
    }

    async def act(world, machine):
        old, new = replaced[address]
        old = old.format(ip=machine.ip)
        assert old in machine.settings
        machine.settings = machine.settings.replace(old, new)
        world.start(machine)
        await wait_event(machine, "address_busy")
        await trio.sleep(1.0)
        ends = list(machine.ends)
        return ends, await world.end(machine), find_events(machine, "address_busy")

    ends, code, busy = run_processes(tmp_path, act)
    assert (ends, code) == ([], 0)
    assert "fe80::1" in busy[0]["address"]
    assert "Invalid argument" in busy[0]["detail"]


@pytest.mark.parametrize("port", [CALLERS_PORT, READINESS_PORT, METRICS_PORT])
def test_other_port_of_the_instance_in_the_range_for_peers_is_passed_over(
    tmp_path, port
):
    async def act(world, machine):
        machine.settings = machine.settings.replace(
            f"[{PEER_PORTS[0]}, {PEER_PORTS[1]}]", f"[{port}, {port + 3}]"
        )
        world.start(machine)
        await world.wait_ready(machine)
        reply = await world.ask(machine, "/one/x")
        busy = find_events(machine, "address_busy")
        return reply.status, machine.ends, busy, find_events(machine, "listening")

    status, ends, busy, listening = run_processes(tmp_path, act)
    assert (status, ends, busy) == (200, [], [])
    assert len({line["address"] for line in listening}) == 4
