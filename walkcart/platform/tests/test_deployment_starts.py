"""Starts in every order, and in series, with settings as on the deployments."""

import signal
import socket
from itertools import permutations
from random import Random

import pytest
import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.deploymentsettings import (
    DEPLOYMENTS,
    make_deployment_settings,
)
from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processmachine import CALLERS_PORT, READINESS_PORT
from walkcart.platform.tests.processworld import (
    POLL_INTERVAL,
    START_SECONDS,
    open_processes,
)
from walkcart.platform.tests.test_busy_addresses import find_events
from walkcart.wire.network import TcpNetwork

#: Seconds between two parts of the platform that come up one after the other.
STEP_SECONDS = 1.0
#: Quick restarts of one instance.
RESTARTS = 10
ORDERS = list(permutations(("store", "leafs", "instances")))


def add_machines(world, deployment, random, store):
    """Add a machine in each data centre."""
    machines = []
    for number, data_centre in enumerate(deployment.regions):
        machine = world.add_machine(f"front-{data_centre}-{number}")
        machine.settings = make_deployment_settings(
            deployment, machine.name, machine.ip, data_centre, store, random
        )
        machines.append(machine)
    return machines


async def start_leafs(world, deployment):
    """Start a leaf in each data centre, and then store the configuration."""
    for data_centre in deployment.regions:
        await world.start_leaf(f"i-{data_centre}", "service", data_centre)
    await trio.sleep(STEP_SECONDS / 2)
    world.configure(make_route("one", "/one/", backend="service"))


def count_instances(world):
    """Return the number of instances that are registered."""
    return sum(key.startswith("walkcart/instances/") for key in world.store.rows)


def reserve_port():
    """Return a port that is free at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


@pytest.mark.parametrize(
    ("deployment", "order"),
    [(DEPLOYMENTS[n % 3], order) for n, order in enumerate(ORDERS)],
    ids=lambda value: "-".join(value) if isinstance(value, tuple) else value.name,
)
def test_instances_start_in_every_order_with_the_platform(tmp_path, deployment, order):
    random = Random(f"{deployment.name} {order}")
    store = HostPort("127.0.0.1", reserve_port())

    async def run():
        async with open_processes(tmp_path) as world:
            machines = add_machines(world, deployment, random, store)
            for part in order:
                match part:
                    case "store":
                        await world.nursery.start(
                            world.store.make_server().run, TcpNetwork(), store
                        )
                    case "leafs":
                        await start_leafs(world, deployment)
                    case "instances":
                        for machine in machines:
                            world.start(machine)
                await trio.sleep(STEP_SECONDS)
            for machine in machines:
                await world.wait_ready(machine)
            replies = [await world.ask(machine, "/one/x") for machine in machines]
            codes = [await world.end(machine) for machine in machines[:1]]
            invalid = [find_events(machine, "setting_invalid") for machine in machines]
            ends = [machine.ends for machine in machines]
            return [reply.status for reply in replies], ends, codes, invalid

    statuses, ends, codes, invalid = trio.run(run)
    assert statuses == [200] * 3
    assert ends == [[]] * 3
    assert codes == [0]
    assert invalid == [[]] * 3


async def use_connections(address, scope, count=3):
    """Keep connections of callers open and in use until cancelled."""

    async def use():
        request = (
            b"GET /one/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: a\r\n\r\n"
        )
        while True:
            try:
                async with await TcpNetwork().connect(address) as stream:
                    while True:
                        await stream.send_all(request)
                        if not await stream.receive_some(65536):
                            break
                        await trio.sleep(POLL_INTERVAL)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(POLL_INTERVAL)

    with scope:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(use)


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda value: value.name)
def test_instance_that_is_restarted_in_series_always_comes_back(tmp_path, deployment):
    random = Random(deployment.name)

    async def run():
        async with open_processes(tmp_path) as world:
            await start_leafs(world, deployment)
            machine = add_machines(world, deployment, random, world.store_address)[0]
            scope = trio.CancelScope()
            world.nursery.start_soon(use_connections, machine.callers, scope)
            codes = []
            for _ in range(RESTARTS):
                world.start(machine)
                await trio.sleep(random.uniform(0.0, 0.8))
                number = random.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM))
                codes.append((number, await world.end(machine, number)))
            world.start(machine)
            await world.wait_ready(machine)
            reply = await world.ask(machine, "/one/x")
            scope.cancel()
            return codes, reply.status, machine.ends

    codes, status, ends = trio.run(run)
    # Before the interpreter runs the program, a signal ends it by itself.
    assert all(code in (0, -number) for number, code in codes), codes
    assert (status, ends) == (200, [])


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda value: value.name)
def test_instance_starts_while_its_predecessor_still_stops(tmp_path, deployment):
    random = Random(deployment.name)

    async def run():
        async with open_processes(tmp_path) as world:
            await start_leafs(world, deployment)
            machine = add_machines(world, deployment, random, world.store_address)[0]
            scope = trio.CancelScope()
            world.start(machine)
            await world.wait_ready(machine)
            world.nursery.start_soon(use_connections, machine.callers, scope)
            successor = world.add_machine("successor", ip=machine.ip)
            successor.settings = machine.settings
            machine.kept = False
            machine.process.send_signal(signal.SIGTERM)
            world.start(successor)
            with trio.fail_after(START_SECONDS):
                while (code := machine.process.poll()) is None:
                    await trio.sleep(POLL_INTERVAL)
            await world.wait_ready(successor)
            reply = await world.ask(successor, "/one/x")
            scope.cancel()
            return code, reply.status, successor.starts, successor.ends

    assert trio.run(run) == (0, 200, 1, [])


def test_instances_on_one_address_start_beside_each_other(tmp_path):
    deployment, random = DEPLOYMENTS[1], Random(1)

    async def run():
        async with open_processes(tmp_path) as world:
            await start_leafs(world, deployment)
            machines = add_machines(world, deployment, random, world.store_address)
            address = machines[0].ip
            for number, machine in enumerate(machines):
                text = machine.settings.replace(machine.ip, address)
                text = text.replace(f":{CALLERS_PORT}", f":{7100 + number}")
                # They share the range for other instances and the metrics port.
                machine.settings = text.replace(
                    f":{READINESS_PORT}", f":{7200 + number}"
                )
                world.start(machine)
            with trio.fail_after(START_SECONDS):
                while count_instances(world) < len(machines):
                    await trio.sleep(POLL_INTERVAL)
            return [(machine.starts, machine.ends) for machine in machines]

    assert trio.run(run) == [(1, [])] * 3
